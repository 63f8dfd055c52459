#include "connection.h"

#include "amberpin/base/log.h"
#include "amberpin/http/parser.h"

#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>

static const char *reason_phrase(int status) {
    switch (status) {
    case AMB_HTTP_OK: return "OK";
    case AMB_HTTP_CREATED: return "Created";
    case AMB_HTTP_BAD_REQUEST: return "Bad Request";
    case AMB_HTTP_NOT_FOUND: return "Not Found";
    case AMB_HTTP_METHOD_NOT_ALLOWED: return "Method Not Allowed";
    case AMB_HTTP_CONTENT_TOO_LARGE: return "Content Too Large";
    case AMB_HTTP_MISDIRECTED_REQUEST: return "Misdirected Request";
    case AMB_HTTP_UNPROCESSABLE_CONTENT: return "Unprocessable Content";
    case AMB_HTTP_TOO_MANY_REQUESTS: return "Too Many Requests";
    case AMB_HTTP_SERVICE_UNAVAILABLE: return "Service Unavailable";
    default: return "Status";
    }
}

/* ---- the server's list of connections ---- */

static void list_remove(struct amb_http_connection *connection) {
    struct amb_http_server *server = connection->server;
    *(connection->prev ? &connection->prev->next : &server->least_recent) = connection->next;
    *(connection->next ? &connection->next->prev : &server->most_recent) = connection->prev;
}

static void list_append(struct amb_http_connection *connection) {
    struct amb_http_server *server = connection->server;
    connection->prev = server->most_recent;
    connection->next = NULL;
    *(server->most_recent ? &server->most_recent->next : &server->least_recent) = connection;
    server->most_recent = connection;
}

/* ---- connection states ---- */

void amb_http_connection_close(struct amb_http_connection *connection) {
    amb_timer_stop(&connection->idle_timer);
    amb_http_stream_close(&connection->stream);
    list_remove(connection);
    connection->server->connection_count--;
    if (connection->request) connection->request->connection = NULL;
    free(connection);
}

static void on_idle_timeout(void *arg) {
    amb_http_connection_close(arg);
}

static void set_state(struct amb_http_connection *connection, enum amb_http_connection_state state) {
    connection->state = state;
    list_remove(connection);
    list_append(connection);
    if (state == AMB_HTTP_CONNECTION_ANSWERING)
        amb_timer_stop(&connection->idle_timer);
    else
        amb_timer_set_after(&connection->idle_timer, connection->server->idle_ms, on_idle_timeout,
                            connection);
}

/* ---- responses ---- */

static void queue_response(struct amb_http_connection *connection, int status, const char *type,
                           const void *body, size_t len, int retry_after_s) {
    struct amb_buf *output = &connection->stream.output;
    amb_buf_append_format(output, "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n", status, reason_phrase(status),
                          len);
    if (len) amb_buf_append_format(output, "Content-Type: %s\r\n", type);
    if (retry_after_s > 0) amb_buf_append_format(output, "Retry-After: %d\r\n", retry_after_s);
    if (connection->close_after_response) amb_buf_append_text(output, "Connection: close\r\n");
    amb_buf_append_text(output, "\r\n");
    amb_buf_append(output, body, len);
}

/* Writes as much of the output as possible now. May close the connection. */
static void flush(struct amb_http_connection *connection) {
    struct amb_http_stream *stream = &connection->stream;
    if (amb_http_stream_write(stream) == AMB_HTTP_STREAM_ENDED) {
        amb_http_connection_close(connection);
        return;
    }
    if (!stream->output.len && connection->state == AMB_HTTP_CONNECTION_CLOSING) {
        amb_http_connection_close(connection);
        return;
    }
    amb_loop_mod(&stream->watch, EPOLLIN | (stream->output.len ? (uint32_t)EPOLLOUT : 0u));
}

/* ---- requests ---- */

static void refuse_request(struct amb_http_connection *connection, int status) {
    connection->close_after_response = true;
    queue_response(connection, status, "text/plain", NULL, 0, 0);
    set_state(connection, AMB_HTTP_CONNECTION_CLOSING);
    flush(connection);
}

static struct amb_http_req *request_new(struct amb_http_connection *connection,
                                        const struct amb_http_message *message) {
    struct amb_http_req *request = amb_alloc(sizeof *request);
    request->connection = connection;
    if (amb_log_is_enabled(AMB_LOG_DEBUG)) request->arrived_at = amb_now();
    memcpy(request->method, message->method, sizeof request->method);
    size_t path_max = sizeof request->path - 1;
    memcpy(request->path, message->path, message->path_len < path_max ? message->path_len : path_max);
    request->body = amb_alloc(message->body_len + 1);
    memcpy(request->body, connection->stream.input.data + message->body_start, message->body_len);
    request->body_len = message->body_len;
    return request;
}

/* Passes the next request to the handler if it has arrived completely. Input after it is kept until the
 * request is answered. May close the connection. */
static void read_request(struct amb_http_connection *connection) {
    struct amb_http_server *server = connection->server;
    struct amb_buf *input = &connection->stream.input;
    if (connection->state != AMB_HTTP_CONNECTION_READING || !input->len) return;
    struct amb_http_message message;
    long taken = amb_http_parse(input->data, input->len, false, server->max_body_bytes, &message);
    if (!taken) return;
    if (taken < 0) {
        refuse_request(connection, (int)-taken);
        return;
    }
    connection->request = request_new(connection, &message);
    connection->close_after_response = message.closes;
    amb_buf_drop_front(input, (size_t)taken);
    if (!input->len) amb_buf_free(input); /* hundreds of idle connections must not keep buffers */
    set_state(connection, AMB_HTTP_CONNECTION_ANSWERING);
    server->handler(server->handler_arg, connection->request);
}

/* Clients do not pipeline requests, so more buffered input than one request can have is abuse. */
static bool has_too_much_input(const struct amb_http_connection *connection) {
    size_t request_max = connection->server->max_body_bytes + AMB_HTTP_HEAD_MAX;
    return connection->stream.input.len > request_max + AMB_HTTP_READ_BYTES;
}

static void on_event(struct amb_fd_watch *watch, uint32_t events) {
    struct amb_http_connection *connection = watch->arg;
    bool is_open = !(events & EPOLLERR);
    if (is_open && (events & (EPOLLIN | EPOLLHUP)))
        is_open = amb_http_stream_read(&connection->stream) == AMB_HTTP_STREAM_OPEN;
    if (!is_open || has_too_much_input(connection)) {
        amb_http_connection_close(connection);
        return;
    }
    if (events & EPOLLOUT)
        flush(connection); /* which may free the connection */
    else
        read_request(connection);
}

void amb_http_connection_open(struct amb_http_server *server, int fd) {
    struct amb_http_connection *connection = amb_alloc(sizeof *connection);
    connection->stream.watch = (struct amb_fd_watch){fd, on_event, connection, 0};
    connection->server = server;
    list_append(connection);
    server->connection_count++;
    if (amb_loop_add(&connection->stream.watch, EPOLLIN) < 0) {
        amb_http_connection_close(connection);
        return;
    }
    set_state(connection, AMB_HTTP_CONNECTION_READING);
}

/* ---- replies ---- */

/* bench/waits.c parses these lines. */
static void log_response(const struct amb_http_req *request, int status) {
    amb_debug("request %s %s: %d after %lld ms%s", request->method, request->path, status,
              (long long)(amb_now() - request->arrived_at), request->deferred ? ", kept" : "");
}

void amb_http_reply(struct amb_http_req *request, int status, const char *type, const void *body, size_t len,
                    int retry_after_s) {
    struct amb_http_connection *connection = request->connection;
    if (amb_log_is_enabled(AMB_LOG_DEBUG)) log_response(request, status);
    free(request->body);
    free(request);
    if (!connection) return;
    connection->request = NULL;
    queue_response(connection, status, type, body, len, retry_after_s);
    set_state(connection,
              connection->close_after_response ? AMB_HTTP_CONNECTION_CLOSING : AMB_HTTP_CONNECTION_READING);
    if (connection->state == AMB_HTTP_CONNECTION_READING && connection->stream.input.len)
        read_request(connection);
    else
        flush(connection);
}
