/* HTTP client: connections with at most one request in progress on each, kept open for a while when idle. */
#include "amberpin/base/log.h"
#include "amberpin/http/http.h"
#include "amberpin/http/parser.h"
#include "stream.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    IDLE_MS = 10000, /* an idle connection is closed after this time */
    DEFAULT_MAX_CONNECTIONS = 128,
    DEFAULT_MAX_RESPONSE_BYTES = 8 * 1024 * 1024,
};

enum client_state { CLIENT_CONNECTING, CLIENT_SENDING, CLIENT_WAITING, CLIENT_IDLE };

struct amb_http_client_connection {
    struct amb_http_stream stream;
    enum client_state state;
    struct sockaddr_in address;
    struct amb_timer deadline; /* of the request, or of the idle period */
    amb_http_done on_done;
    void *arg;
    struct amb_http_client_connection *prev, *next; /* in the list of idle connections, most recent first */
};

static struct amb_http_client_connection *idle_connections;
static int open_connections, max_open_connections = DEFAULT_MAX_CONNECTIONS;
static size_t max_response_bytes = DEFAULT_MAX_RESPONSE_BYTES;

void amb_http_client_set_max_connections(int connections) {
    max_open_connections = connections;
}

void amb_http_client_set_max_response_bytes(size_t bytes) {
    max_response_bytes = bytes;
}

/* ---- idle connections ---- */

static void idle_remove(struct amb_http_client_connection *client) {
    *(client->prev ? &client->prev->next : &idle_connections) = client->next;
    if (client->next) client->next->prev = client->prev;
    client->prev = client->next = NULL;
}

static void idle_push(struct amb_http_client_connection *client) {
    client->prev = NULL;
    client->next = idle_connections;
    if (idle_connections) idle_connections->prev = client;
    idle_connections = client;
}

static bool is_same_address(const struct sockaddr_in *left, const struct sockaddr_in *right) {
    return left->sin_port == right->sin_port && left->sin_addr.s_addr == right->sin_addr.s_addr;
}

/* Takes an idle connection to this address off the list. Returns NULL if there is none. */
static struct amb_http_client_connection *idle_take(const struct sockaddr_in *address) {
    struct amb_http_client_connection *client = idle_connections;
    while (client && !is_same_address(&client->address, address)) client = client->next;
    if (client) idle_remove(client);
    return client;
}

/* ---- end of a request or connection ---- */

static void client_close(struct amb_http_client_connection *client) {
    if (client->state == CLIENT_IDLE) idle_remove(client);
    amb_timer_stop(&client->deadline);
    if (client->stream.watch.fd >= 0) open_connections--;
    amb_http_stream_close(&client->stream);
    free(client);
}

static void client_finish(struct amb_http_client_connection *client, int status) {
    amb_http_done on_done = client->state == CLIENT_IDLE ? NULL : client->on_done;
    void *arg = client->arg;
    client_close(client);
    if (on_done) on_done(arg, status, NULL, 0);
}

static void client_fail(struct amb_http_client_connection *client) {
    client_finish(client, AMB_HTTP_NO_RESPONSE);
}

static void client_fail_too_large(struct amb_http_client_connection *client) {
    amb_info("response discarded: it is larger than %zu bytes", max_response_bytes);
    client_finish(client, AMB_HTTP_RESPONSE_TOO_LARGE);
}

static void on_deadline(void *arg) {
    client_fail(arg);
}

static void client_keep_idle(struct amb_http_client_connection *client) {
    client->state = CLIENT_IDLE;
    idle_push(client);
    amb_timer_set_after(&client->deadline, IDLE_MS, on_deadline, client);
    amb_buf_free(&client->stream.input);
    amb_buf_free(&client->stream.output);
}

/* ---- responses ---- */

/* Keeps or closes the connection, then passes the response to on_done. The input is detached from the
 * connection first, because on_done may make the next call over it. */
static void client_complete(struct amb_http_client_connection *client, const struct amb_http_message *message,
                            bool can_be_kept) {
    struct amb_buf input = client->stream.input;
    amb_http_done on_done = client->on_done;
    void *arg = client->arg;
    memset(&client->stream.input, 0, sizeof client->stream.input);
    amb_timer_stop(&client->deadline);
    if (can_be_kept)
        client_keep_idle(client);
    else
        client_close(client);
    on_done(arg, message->status, input.data + message->body_start, message->body_len);
    amb_buf_free(&input);
}

static void client_read(struct amb_http_client_connection *client) {
    bool is_open = amb_http_stream_read(&client->stream, max_response_bytes) == AMB_HTTP_STREAM_OPEN;
    const struct amb_buf *input = &client->stream.input;
    if (client->state == CLIENT_IDLE) { /* the server closed it, or sent unsolicited data */
        client_fail(client);
        return;
    }
    if (input->len > max_response_bytes) {
        client_fail_too_large(client);
        return;
    }
    struct amb_http_message message;
    long taken =
        amb_http_parse(input->data ? input->data : "", input->len, true, max_response_bytes, &message);
    if (taken == -AMB_HTTP_CONTENT_TOO_LARGE)
        client_fail_too_large(client);
    else if (taken < 0 || (!taken && !is_open))
        client_fail(client);
    else if (taken > 0)
        client_complete(client, &message, is_open && !message.closes && (size_t)taken == input->len);
}

/* ---- requests ---- */

/* Writes as much of the request as possible, then waits for the response or until the rest can be written. */
static enum amb_http_stream_state client_send(struct amb_http_client_connection *client) {
    struct amb_http_stream *stream = &client->stream;
    if (amb_http_stream_write(stream) == AMB_HTTP_STREAM_ENDED) return AMB_HTTP_STREAM_ENDED;
    if (!stream->output.len) client->state = CLIENT_WAITING;
    amb_loop_mod(&stream->watch, stream->output.len ? EPOLLOUT : EPOLLIN);
    return AMB_HTTP_STREAM_OPEN;
}

static int pending_socket_error(int fd) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    return error;
}

static void client_write(struct amb_http_client_connection *client) {
    if (client->state == CLIENT_CONNECTING) {
        if (pending_socket_error(client->stream.watch.fd)) {
            client_fail(client);
            return;
        }
        client->state = CLIENT_SENDING;
    }
    if (client->state == CLIENT_SENDING && client_send(client) == AMB_HTTP_STREAM_ENDED) client_fail(client);
}

static void on_event(struct amb_fd_watch *watch, uint32_t events) {
    struct amb_http_client_connection *client = watch->arg;
    if ((events & (EPOLLERR | EPOLLHUP)) && !(events & EPOLLIN))
        client_fail(client);
    else if (events & EPOLLIN)
        client_read(client);
    else if (events & EPOLLOUT)
        client_write(client);
}

/* Closes the connection that has been idle for the longest time. */
static void evict_idle_connection(void) {
    struct amb_http_client_connection *oldest = idle_connections;
    if (!oldest) return;
    while (oldest->next) oldest = oldest->next;
    client_close(oldest);
}

static bool client_connect(struct amb_http_client_connection *client) {
    if (open_connections >= max_open_connections) evict_idle_connection();
    if (open_connections >= max_open_connections) return false;
    int fd = amb_http_open_socket();
    if (fd < 0) return false;
    const struct sockaddr *address = (const struct sockaddr *)&client->address;
    if (connect(fd, address, sizeof client->address) < 0 && errno != EINPROGRESS) {
        close(fd);
        return false;
    }
    client->stream.watch = (struct amb_fd_watch){fd, on_event, client, 0};
    if (amb_loop_add(&client->stream.watch, EPOLLOUT) < 0) {
        close(fd);
        client->stream.watch.fd = -1;
        return false;
    }
    open_connections++;
    return true;
}

static struct amb_http_client_connection *client_new(const struct sockaddr_in *address) {
    struct amb_http_client_connection *client = amb_alloc(sizeof *client);
    client->state = CLIENT_CONNECTING;
    client->stream.watch.fd = -1;
    client->address = *address;
    return client;
}

struct amb_http_client_connection *amb_http_call(const char *addr, const char *method, const char *path,
                                                 const char *type, const void *body, size_t len,
                                                 amb_ms timeout_ms, amb_http_done on_done, void *arg) {
    struct sockaddr_in address;
    memset(&address, 0, sizeof address);
    bool can_begin = amb_http_parse_address(addr, &address);
    struct amb_http_client_connection *client = idle_take(&address);
    bool is_reused = client != NULL;
    if (is_reused) {
        client->state = CLIENT_SENDING;
    } else {
        client = client_new(&address);
        can_begin = can_begin && client_connect(client);
    }
    client->on_done = on_done;
    client->arg = arg;
    struct amb_buf *output = &client->stream.output;
    amb_buf_append_format(output, "%s ", method);
    amb_buf_append_text(output, path);
    amb_buf_append_format(output, " HTTP/1.1\r\nHost: %s\r\nContent-Length: %zu\r\n", addr, len);
    if (len) amb_buf_append_format(output, "Content-Type: %s\r\n", type);
    amb_buf_append_text(output, "\r\n");
    amb_buf_append(output, body, len);
    if (is_reused) can_begin = client_send(client) == AMB_HTTP_STREAM_OPEN;
    /* A call that cannot be started fails through the timer too, because on_done must not run within this
     * function. */
    amb_timer_set_after(&client->deadline, can_begin ? timeout_ms : 0, on_deadline, client);
    return client;
}
