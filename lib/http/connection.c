#include "connection.h"

#include "amberpin/base/log.h"
#include "amberpin/http/parser.h"
#include "input_limit.h"

#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>

enum { INPUT_RETRY_AFTER_S = 1 };

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
    amb_http_input_count(connection);
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

static void discard_input(struct amb_http_connection *connection) {
    amb_buf_free(&connection->stream.input);
    amb_http_input_count(connection);
}

static void refuse_request(struct amb_http_connection *connection, int status, int retry_after_s) {
    connection->close_after_response = true;
    discard_input(connection);
    queue_response(connection, status, "text/plain", NULL, 0, retry_after_s);
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
        refuse_request(connection, (int)-taken, 0);
        return;
    }
    connection->request = request_new(connection, &message);
    connection->close_after_response = message.closes;
    amb_buf_drop_front(input, (size_t)taken);
    if (!input->len) amb_buf_free(input); /* hundreds of idle connections must not keep buffers */
    connection->input_since = 0;
    amb_http_input_count(connection);
    set_state(connection, AMB_HTTP_CONNECTION_ANSWERING);
    char *body = connection->request->body;
    server->handler(server->handler_arg, connection->request);
    free(body);
}

/* The most input of a connection. Clients do not pipeline requests, so more than one request can have is
 * abuse. */
static size_t max_input(const struct amb_http_connection *connection) {
    return connection->server->max_body_bytes + AMB_HTTP_HEAD_MAX + AMB_HTTP_READ_BYTES;
}

/* Returns whether the connection is still usable. */
static bool read_input(struct amb_http_connection *connection) {
    struct amb_http_stream *stream = &connection->stream;
    bool is_open = amb_http_stream_read(stream, max_input(connection)) == AMB_HTTP_STREAM_OPEN;
    bool is_too_much = stream->input.len > max_input(connection);
    if (connection->state == AMB_HTTP_CONNECTION_CLOSING)
        discard_input(connection);
    else
        amb_http_input_count(connection);
    return is_open && !is_too_much;
}

/* May close the connection. */
static void handle_event(struct amb_http_connection *connection, uint32_t events) {
    bool is_usable = !(events & EPOLLERR);
    if (is_usable && (events & (EPOLLIN | EPOLLHUP))) is_usable = read_input(connection);
    if (!is_usable)
        amb_http_connection_close(connection);
    else if (events & EPOLLOUT)
        flush(connection);
    else
        read_request(connection);
}

/* Refuses requests that arrive in part until the rest is within the server's limit. May close any connection.
 */
static void enforce_input_limit(struct amb_http_server *server) {
    struct amb_http_connection *slowest;
    while ((slowest = amb_http_input_over_limit(server)) != NULL) {
        if (slowest->state == AMB_HTTP_CONNECTION_READING)
            refuse_request(slowest, AMB_HTTP_SERVICE_UNAVAILABLE, INPUT_RETRY_AFTER_S);
        else /* sends more while a request of its is answered */
            amb_http_connection_close(slowest);
    }
}

static void on_event(struct amb_fd_watch *watch, uint32_t events) {
    struct amb_http_connection *connection = watch->arg;
    struct amb_http_server *server = connection->server;
    handle_event(connection, events);
    enforce_input_limit(server);
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
