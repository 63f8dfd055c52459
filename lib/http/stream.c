#include "stream.h"

#include "decimal.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum { HOST_BYTES = 64, PORT_MAX = 65535 };

bool amb_http_parse_address(const char *text, struct sockaddr_in *address) {
    char host[HOST_BYTES];
    const char *colon = strrchr(text, ':');
    if (!colon || (size_t)(colon - text) >= sizeof host) return false;
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = 0;
    long port;
    if (!amb_http_parse_decimal(colon + 1, strlen(colon + 1), &port) || port > PORT_MAX) return false;
    memset(address, 0, sizeof *address);
    address->sin_family = AF_INET;
    address->sin_port = htons((uint16_t)port);
    return inet_pton(AF_INET, host, &address->sin_addr) == 1;
}

int amb_http_open_socket(void) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) return fd;
    int enabled = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    return fd;
}

static bool may_try_again(void) {
    return errno == EAGAIN || errno == EINTR;
}

enum amb_http_stream_state amb_http_stream_read(struct amb_http_stream *stream, size_t max_bytes) {
    static char chunk[AMB_HTTP_READ_BYTES];
    for (;;) {
        ssize_t received = read(stream->watch.fd, chunk, sizeof chunk);
        if (received > 0) amb_buf_append(&stream->input, chunk, (size_t)received);
        if (received == (ssize_t)sizeof chunk && stream->input.len <= max_bytes) continue;
        if (received > 0) return AMB_HTTP_STREAM_OPEN;
        return received < 0 && may_try_again() ? AMB_HTTP_STREAM_OPEN : AMB_HTTP_STREAM_ENDED;
    }
}

enum amb_http_stream_state amb_http_stream_write(struct amb_http_stream *stream) {
    struct amb_buf *output = &stream->output;
    while (output->len) {
        ssize_t sent = write(stream->watch.fd, output->data, output->len);
        if (sent < 0) return may_try_again() ? AMB_HTTP_STREAM_OPEN : AMB_HTTP_STREAM_ENDED;
        amb_buf_drop_front(output, (size_t)sent);
    }
    return AMB_HTTP_STREAM_OPEN;
}

void amb_http_stream_close(struct amb_http_stream *stream) {
    if (stream->watch.fd >= 0) {
        amb_loop_del(&stream->watch);
        close(stream->watch.fd);
        stream->watch.fd = -1;
    }
    amb_buf_free(&stream->input);
    amb_buf_free(&stream->output);
}
