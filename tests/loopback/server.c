#include "server.h"

#include "amberpin/base/log.h"
#include "amberpin/http/http.h"
#include "amberpin/http/parser.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum { BODY_MOST = 256 * 1024, CHUNK = 16 * 1024, BACKLOG = 64 };

struct server {
    struct amb_fd_watch watch;
    proof_handler handler;
    void *arg;
};

struct proof_connection {
    struct amb_fd_watch watch;
    struct server *server;
    struct amb_buf in, out;
    struct proof_request *request; /* the one that the handler has; NULL: none */
    bool busy;                     /* a request was received and is not answered, and may never be */
};

static void end_connection(struct proof_connection *connection) {
    if (connection->request) connection->request->connection = NULL;
    amb_loop_del(&connection->watch);
    close(connection->watch.fd);
    amb_buf_free(&connection->in);
    amb_buf_free(&connection->out);
    free(connection);
}

static bool read_all(struct proof_connection *connection) {
    char chunk[CHUNK];
    for (;;) {
        ssize_t count = read(connection->watch.fd, chunk, sizeof chunk);
        if (count > 0) amb_buf_append(&connection->in, chunk, (size_t)count);
        if (count <= 0) return count < 0 && (errno == EAGAIN || errno == EINTR);
    }
}

static bool write_some(struct proof_connection *connection) {
    while (connection->out.len) {
        ssize_t count = send(connection->watch.fd, connection->out.data, connection->out.len, MSG_NOSIGNAL);
        if (count < 0) return errno == EAGAIN || errno == EINTR;
        amb_buf_drop_front(&connection->out, (size_t)count);
    }
    return true;
}

static struct proof_request *request_of(struct proof_connection *connection,
                                        const struct amb_http_message *msg) {
    struct proof_request *request = amb_alloc(sizeof *request);
    request->connection = connection;
    memcpy(request->method, msg->method, sizeof request->method);
    size_t len = msg->path_len + (msg->query ? 1 + msg->query_len : 0);
    snprintf(request->path, sizeof request->path, "%.*s", (int)len, msg->path);
    request->body = amb_alloc(msg->body_len + 1);
    if (msg->body_len) memcpy(request->body, connection->in.data + msg->body_start, msg->body_len);
    request->len = msg->body_len;
    return request;
}

/* Passes the next complete request to the handler unless one is under way. May end the connection. */
static void advance(struct proof_connection *connection) {
    struct amb_http_message msg;
    if (connection->busy || !connection->in.len) return;
    long taken = amb_http_parse(connection->in.data, connection->in.len, false, BODY_MOST, &msg);
    if (!taken) return;
    if (taken < 0) {
        end_connection(connection);
        return;
    }
    struct proof_request *request = request_of(connection, &msg);
    amb_buf_drop_front(&connection->in, (size_t)taken);
    connection->request = request;
    connection->busy = true;
    connection->server->handler(connection->server->arg, request);
}

static void on_connection(struct amb_fd_watch *watch, uint32_t events) {
    struct proof_connection *connection = watch->arg;
    bool open = !(events & EPOLLERR) && read_all(connection);
    if (open && (events & EPOLLOUT)) {
        open = write_some(connection);
        if (!connection->out.len) amb_loop_mod(watch, EPOLLIN);
    }
    if (!open)
        end_connection(connection);
    else
        advance(connection);
}

static void on_listener(struct amb_fd_watch *watch, uint32_t events) {
    (void)events;
    for (;;) {
        int fd = accept4(watch->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) return;
        struct proof_connection *connection = amb_alloc(sizeof *connection);
        connection->server = watch->arg;
        connection->watch = (struct amb_fd_watch){fd, on_connection, connection, 0};
        amb_loop_add(&connection->watch, EPOLLIN);
    }
}

void proof_serve(char address[PROOF_ADDRESS], proof_handler handler, void *arg) {
    struct sockaddr_in bound = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof bound;
    int one = 1;
    struct server *server = amb_alloc(sizeof *server);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (fd < 0 || bind(fd, (struct sockaddr *)&bound, size) < 0 || listen(fd, BACKLOG) < 0 ||
        getsockname(fd, (struct sockaddr *)&bound, &size) < 0) {
        amb_error("stand-in: can't listen: %s", strerror(errno));
        exit(1);
    }
    *server = (struct server){{fd, on_listener, server, 0}, handler, arg};
    amb_loop_add(&server->watch, EPOLLIN);
    snprintf(address, PROOF_ADDRESS, "127.0.0.1:%u", ntohs(bound.sin_port));
}

static void free_request(struct proof_request *request) {
    free(request->body);
    free(request);
}

void proof_reply(struct proof_request *request, int status, const void *body, size_t len) {
    struct proof_connection *connection = request->connection;
    free_request(request);
    if (!connection) return;
    connection->request = NULL;
    connection->busy = false;
    amb_buf_append_format(&connection->out, "HTTP/1.1 %d Status\r\nContent-Length: %zu\r\n\r\n", status, len);
    if (len) amb_buf_append(&connection->out, body, len);
    /* On a write error the event loop ends the connection later: the caller may still use it. */
    if (!write_some(connection)) amb_buf_free(&connection->out);
    amb_loop_mod(&connection->watch, EPOLLIN | (connection->out.len ? (uint32_t)EPOLLOUT : 0U));
}

void proof_leave_unanswered(struct proof_request *request) {
    if (request->connection) request->connection->request = NULL;
    free_request(request);
}
