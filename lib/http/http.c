#include "amberpin/http/http.h"

#include "amberpin/base/log.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum { READ_CHUNK = 16 * 1024 };

/* ---- parser ---- */

static bool is_token_character(unsigned char character) {
    return character > 32 && character < 127 && !strchr("()<>@,;:\\\"/[]?={}", character);
}

static int parse_request_line(const char *text, size_t len, struct amb_http_message *message) {
    size_t i = 0;
    while (i < len && is_token_character((unsigned char)text[i])) i++;
    if (!i || i >= sizeof message->method || i >= len || text[i] != ' ') return -400;
    memcpy(message->method, text, i);
    message->method[i] = 0;
    size_t start = ++i;
    while (i < len && (unsigned char)text[i] > 32 && text[i] != 127) i++;
    if (i == start || text[start] != '/' || len - i != 9 || memcmp(text + i, " HTTP/1.", 8)) return -400;
    if (text[i + 8] != '1' && text[i + 8] != '0') return -400;
    if (text[i + 8] == '0') message->closes = true;
    message->path = text + start;
    message->path_len = i - start;
    const char *query = memchr(message->path, '?', message->path_len);
    if (query) {
        message->query = query + 1;
        message->query_len = message->path_len - (size_t)(query + 1 - message->path);
        message->path_len = (size_t)(query - message->path);
    }
    return 0;
}

static int parse_status_line(const char *text, size_t len, struct amb_http_message *message) {
    if (len < 12 || memcmp(text, "HTTP/1.", 7) || text[8] != ' ') return -400;
    for (int i = 9; i < 12; i++) {
        if (text[i] < '0' || text[i] > '9') return -400;
        message->status = message->status * 10 + (text[i] - '0');
    }
    return 0;
}

static bool equals_ignoring_case(const char *text, size_t len, const char *word) {
    return strlen(word) == len && !strncasecmp(text, word, len);
}

static int parse_number(const char *text, size_t len, long *out) {
    long value = 0;
    if (!len || len > 9) return -400;
    for (size_t i = 0; i < len; i++) {
        if (text[i] < '0' || text[i] > '9') return -400;
        value = value * 10 + (text[i] - '0');
    }
    *out = value;
    return 0;
}

static int parse_header(const char *text, size_t len, struct amb_http_message *message,
                        long *content_length) {
    const char *colon = memchr(text, ':', len);
    if (!colon || colon == text) return -400;
    size_t name_len = (size_t)(colon - text);
    for (size_t i = 0; i < name_len; i++)
        if (!is_token_character((unsigned char)text[i])) return -400;
    const char *value = colon + 1, *end = text + len;
    while (value < end && (*value == ' ' || *value == '\t')) value++;
    while (end > value && (end[-1] == ' ' || end[-1] == '\t')) end--;
    size_t value_len = (size_t)(end - value);
    long number;
    if (equals_ignoring_case(text, name_len, "content-length")) {
        if (parse_number(value, value_len, &number) || (*content_length >= 0 && *content_length != number))
            return -400;
        *content_length = number;
    } else if (equals_ignoring_case(text, name_len, "transfer-encoding")) {
        return -501;
    } else if (equals_ignoring_case(text, name_len, "connection")) {
        if (equals_ignoring_case(value, value_len, "close")) message->closes = true;
    } else if (equals_ignoring_case(text, name_len, "retry-after")) {
        if (!parse_number(value, value_len, &number)) message->retry_after_s = (int)number;
    }
    return 0;
}

long amb_http_parse(const char *data, size_t len, bool is_response, size_t max_body_bytes,
                    struct amb_http_message *message) {
    memset(message, 0, sizeof *message);
    message->is_response = is_response;
    size_t head_bytes = len < AMB_HTTP_HEAD_MAX ? len : AMB_HTTP_HEAD_MAX;
    const char *end = head_bytes >= 4 ? memmem(data, head_bytes, "\r\n\r\n", 4) : NULL;
    if (!end) return len >= AMB_HTTP_HEAD_MAX ? -431 : 0;
    long length = -1;
    const char *line = data;
    for (bool first = true; line < end; first = false) {
        const char *eol = memmem(line, (size_t)(end + 2 - line), "\r\n", 2);
        size_t line_len = (size_t)(eol - line);
        int error;
        if (!first)
            error = parse_header(line, line_len, message, &length);
        else if (is_response)
            error = parse_status_line(line, line_len, message);
        else
            error = parse_request_line(line, line_len, message);
        if (error) return error;
        line = eol + 2;
    }
    if (!is_response && !message->path) return -400;
    if (length > (long)max_body_bytes) return -413;
    message->body_start = (size_t)(end + 4 - data);
    message->body_len = length < 0 ? 0 : (size_t)length;
    size_t total = message->body_start + message->body_len;
    return len < total ? 0 : (long)total;
}

/* ---- connections: shared by server and client ---- */

static const char *reason_phrase(int status) {
    switch (status) {
    case 200: return "OK";
    case 201: return "Created";
    case 400: return "Bad Request";
    case 404: return "Not Found";
    case 405: return "Method Not Allowed";
    case 413: return "Content Too Large";
    case 421: return "Misdirected Request";
    case 422: return "Unprocessable Content";
    case 429: return "Too Many Requests";
    case 503: return "Service Unavailable";
    default: return "Status";
    }
}

static bool parse_address(const char *text, struct sockaddr_in *address) {
    char host[64];
    const char *colon = strrchr(text, ':');
    if (!colon || (size_t)(colon - text) >= sizeof host) return false;
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = 0;
    long port;
    if (parse_number(colon + 1, strlen(colon + 1), &port) || port > 65535) return false;
    memset(address, 0, sizeof *address);
    address->sin_family = AF_INET;
    address->sin_port = htons((uint16_t)port);
    return inet_pton(AF_INET, host, &address->sin_addr) == 1;
}

/* Reads what there is. Returns false when the connection is over. */
static bool read_available(int fd, struct amb_buf *input) {
    static char chunk[READ_CHUNK];
    for (;;) {
        ssize_t received = read(fd, chunk, sizeof chunk);
        if (received > 0) amb_buf_append(input, chunk, (size_t)received);
        if (received == (ssize_t)sizeof chunk) continue;
        if (received > 0) return true;
        return received < 0 && (errno == EAGAIN || errno == EINTR);
    }
}

/* Writes what it can. Returns false when the connection is over. */
static bool write_pending(int fd, struct amb_buf *output) {
    while (output->len) {
        ssize_t sent = write(fd, output->data, output->len);
        if (sent < 0) return errno == EAGAIN || errno == EINTR;
        amb_buf_drop_front(output, (size_t)sent);
    }
    return true;
}

/* ---- server ---- */

enum connection_state { CONNECTION_READING, CONNECTION_ANSWERING, CONNECTION_CLOSING };

struct amb_http_connection {
    struct amb_fd_watch watch;
    struct amb_http_server *server;
    enum connection_state state;
    struct amb_buf input, output;
    struct amb_http_req *request;
    struct amb_timer idle_timer;
    bool close_after;
    struct amb_http_connection *prev, *next; /* least recently used first */
};

struct amb_http_server {
    struct amb_fd_watch watch;
    int max_connections, connection_count;
    size_t max_body_bytes;
    amb_ms idle_ms;
    amb_http_handler handler;
    void *arg;
    struct amb_http_connection *least_recent, *most_recent;
};

static void connection_unlink(struct amb_http_connection *connection) {
    struct amb_http_server *server = connection->server;
    *(connection->prev ? &connection->prev->next : &server->least_recent) = connection->next;
    *(connection->next ? &connection->next->prev : &server->most_recent) = connection->prev;
}

static void connection_append(struct amb_http_connection *connection) {
    struct amb_http_server *server = connection->server;
    connection->prev = server->most_recent;
    connection->next = NULL;
    *(server->most_recent ? &server->most_recent->next : &server->least_recent) = connection;
    server->most_recent = connection;
}

static void connection_close(struct amb_http_connection *connection) {
    amb_timer_stop(&connection->idle_timer);
    amb_loop_del(&connection->watch);
    close(connection->watch.fd);
    connection_unlink(connection);
    connection->server->connection_count--;
    if (connection->request) connection->request->connection = NULL;
    amb_buf_free(&connection->input);
    amb_buf_free(&connection->output);
    free(connection);
}

static void on_idle_timeout(void *arg) {
    connection_close(arg);
}

static void connection_set_state(struct amb_http_connection *connection, enum connection_state state) {
    connection->state = state;
    connection_unlink(connection);
    connection_append(connection);
    if (state == CONNECTION_ANSWERING)
        amb_timer_stop(&connection->idle_timer);
    else
        amb_timer_in(&connection->idle_timer, connection->server->idle_ms, on_idle_timeout, connection);
}

static void connection_queue_response(struct amb_http_connection *connection, int status, const char *type,
                                      const void *body, size_t len, int retry_after_s) {
    amb_buf_append_format(&connection->output, "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n", status,
                          reason_phrase(status), len);
    if (len) amb_buf_append_format(&connection->output, "Content-Type: %s\r\n", type);
    if (retry_after_s > 0) amb_buf_append_format(&connection->output, "Retry-After: %d\r\n", retry_after_s);
    if (connection->close_after) amb_buf_append_text(&connection->output, "Connection: close\r\n");
    amb_buf_append_text(&connection->output, "\r\n");
    amb_buf_append(&connection->output, body, len);
}

static void connection_flush(struct amb_http_connection *connection) {
    if (!write_pending(connection->watch.fd, &connection->output)) {
        connection_close(connection);
        return;
    }
    if (!connection->output.len && connection->state == CONNECTION_CLOSING) {
        connection_close(connection);
        return;
    }
    amb_loop_mod(&connection->watch, EPOLLIN | (connection->output.len ? (uint32_t)EPOLLOUT : 0u));
}

static void connection_read_request(struct amb_http_connection *connection) {
    while (connection->state == CONNECTION_READING && connection->input.len) {
        struct amb_http_message message;
        long taken = amb_http_parse(connection->input.data, connection->input.len, false,
                                    connection->server->max_body_bytes, &message);
        if (!taken) return;
        if (taken < 0) {
            connection->close_after = true;
            connection_queue_response(connection, (int)-taken, "text/plain", NULL, 0, 0);
            connection_set_state(connection, CONNECTION_CLOSING);
            connection_flush(connection);
            return;
        }
        struct amb_http_req *request = amb_alloc(sizeof *request);
        request->connection = connection;
        connection->request = request;
        if (amb_log_is_enabled(AMB_LOG_DEBUG)) request->arrived_at = amb_now();
        connection->close_after = message.closes;
        memcpy(request->method, message.method, sizeof request->method);
        size_t path_len =
            message.path_len < sizeof request->path ? message.path_len : sizeof request->path - 1;
        memcpy(request->path, message.path, path_len);
        request->body = amb_alloc(message.body_len + 1);
        memcpy(request->body, connection->input.data + message.body_start, message.body_len);
        request->body_len = message.body_len;
        amb_buf_drop_front(&connection->input, (size_t)taken);
        if (!connection->input.len)
            amb_buf_free(&connection->input); /* hundreds of idle connections must not hold buffers */
        connection_set_state(connection, CONNECTION_ANSWERING);
        connection->server->handler(connection->server->arg, request);
        return; /* the reply goes on with what is left in the input */
    }
}

static void on_connection_event(struct amb_fd_watch *watch, uint32_t events) {
    struct amb_http_connection *connection = watch->arg;
    bool is_open = !(events & EPOLLERR);
    if (is_open && (events & (EPOLLIN | EPOLLHUP))) is_open = read_available(watch->fd, &connection->input);
    /* Requests are not pipelined: more than a request's worth waiting is abuse. */
    if (!is_open ||
        connection->input.len > connection->server->max_body_bytes + AMB_HTTP_HEAD_MAX + READ_CHUNK) {
        connection_close(connection);
        return;
    }
    if (events & EPOLLOUT) {
        connection_flush(connection); /* may end conn, and then the event has nothing else to say */
        return;
    }
    if (connection->state == CONNECTION_READING) connection_read_request(connection);
}

/* bench/waits.c reads these lines. */
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
    connection_queue_response(connection, status, type, body, len, retry_after_s);
    connection_set_state(connection, connection->close_after ? CONNECTION_CLOSING : CONNECTION_READING);
    bool has_input = connection->state == CONNECTION_READING && connection->input.len > 0;
    if (has_input)
        connection_read_request(connection);
    else
        connection_flush(connection);
}

static void on_listener_event(struct amb_fd_watch *watch, uint32_t events) {
    struct amb_http_server *server = watch->arg;
    (void)events;
    for (;;) {
        int fd = accept4(watch->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) return;
        if (server->connection_count >= server->max_connections) {
            /* Full: the connection longest without a request makes way, so that idle users can't keep
             * workers and health probes out. */
            struct amb_http_connection *connection = server->least_recent;
            while (connection && connection->state == CONNECTION_ANSWERING) connection = connection->next;
            if (!connection) {
                close(fd);
                continue;
            }
            connection_close(connection);
        }
        struct amb_http_connection *connection = amb_alloc(sizeof *connection);
        connection->watch = (struct amb_fd_watch){fd, on_connection_event, connection, 0};
        connection->server = server;
        connection_append(connection);
        server->connection_count++;
        if (amb_loop_add(&connection->watch, EPOLLIN) < 0) {
            connection_close(connection);
            continue;
        }
        connection_set_state(connection, CONNECTION_READING);
    }
}

struct amb_http_server *amb_server_open(const char *addr, int max_connections, size_t max_body_bytes,
                                        amb_ms idle_ms, amb_http_handler handler, void *arg) {
    struct sockaddr_in address;
    if (!parse_address(addr, &address)) {
        errno = EINVAL;
        return NULL;
    }
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) return NULL;
    int enabled = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled); /* accepted sockets inherit it */
    if (bind(fd, (struct sockaddr *)&address, sizeof address) < 0 || listen(fd, max_connections) < 0) {
        close(fd);
        return NULL;
    }
    struct amb_http_server *server = amb_alloc(sizeof *server);
    server->watch = (struct amb_fd_watch){fd, on_listener_event, server, 0};
    server->max_connections = max_connections;
    server->max_body_bytes = max_body_bytes;
    server->idle_ms = idle_ms;
    server->handler = handler;
    server->arg = arg;
    amb_loop_add(&server->watch, EPOLLIN);
    return server;
}

/* ---- client ---- */

enum client_state { CLIENT_CONNECTING, CLIENT_SENDING, CLIENT_WAITING, CLIENT_IDLE };

struct amb_http_client_connection { /* a connection of ours, with at most one request under way */
    struct amb_fd_watch watch;
    enum client_state state;
    struct sockaddr_in address;
    struct amb_buf input, output;
    struct amb_timer deadline;
    amb_http_done on_done;
    void *arg;
    struct amb_http_client_connection *prev, *next; /* spare ones, newest first */
};

static struct amb_http_client_connection *idle_connections;
static int open_connections, max_open_connections = 128;
static size_t max_response_bytes = (size_t)8 * 1024 * 1024;

void amb_http_client_limit(int connections) {
    max_open_connections = connections;
}

void amb_http_response_limit(size_t bytes) {
    max_response_bytes = bytes;
}

static void idle_unlink(struct amb_http_client_connection *client) {
    *(client->prev ? &client->prev->next : &idle_connections) = client->next;
    if (client->next) client->next->prev = client->prev;
    client->prev = client->next = NULL;
}

static void client_close(struct amb_http_client_connection *client) {
    if (client->state == CLIENT_IDLE) idle_unlink(client);
    amb_timer_stop(&client->deadline);
    if (client->watch.fd >= 0) {
        amb_loop_del(&client->watch);
        close(client->watch.fd);
        open_connections--;
    }
    amb_buf_free(&client->input);
    amb_buf_free(&client->output);
    free(client);
}

static void client_finish(struct amb_http_client_connection *client, int status) {
    amb_http_done on_done = client->state == CLIENT_IDLE ? NULL : client->on_done;
    void *arg = client->arg;
    client_close(client);
    if (on_done) on_done(arg, status, NULL, 0);
}

static void client_fail(struct amb_http_client_connection *client) {
    client_finish(client, 0);
}

static void client_fail_too_large(struct amb_http_client_connection *client) {
    amb_info("an answer of more than %zu bytes is not read", max_response_bytes);
    client_finish(client, AMB_HTTP_RESPONSE_TOO_LARGE);
}

static void on_deadline(void *arg) {
    client_fail(arg);
}

static void client_set_state(struct amb_http_client_connection *client, enum client_state state) {
    client->state = state;
    if (state == CLIENT_IDLE) {
        client->prev = NULL;
        client->next = idle_connections;
        if (idle_connections) idle_connections->prev = client;
        idle_connections = client;
        amb_timer_in(&client->deadline, 10000, on_deadline, client);
        amb_buf_free(&client->input);
        amb_buf_free(&client->output);
    }
}

static void client_read(struct amb_http_client_connection *client) {
    bool is_open = read_available(client->watch.fd, &client->input);
    if (client->state == CLIENT_IDLE) {
        client_fail(client);
        return;
    }
    if (client->input.len > max_response_bytes) {
        client_fail_too_large(client);
        return;
    }
    struct amb_http_message message;
    long taken = amb_http_parse(client->input.data ? client->input.data : "", client->input.len, true,
                                max_response_bytes, &message);
    if (taken == -413) {
        client_fail_too_large(client);
        return;
    }
    if (taken < 0 || (!taken && !is_open)) {
        client_fail(client);
        return;
    }
    if (!taken) return;
    struct amb_buf input = client->input;
    memset(&client->input, 0, sizeof client->input);
    amb_http_done on_done = client->on_done;
    void *arg = client->arg;
    amb_timer_stop(&client->deadline);
    if (is_open && !message.closes && (size_t)taken == input.len)
        client_set_state(client, CLIENT_IDLE);
    else
        client_close(client);
    on_done(arg, message.status, input.data + message.body_start, message.body_len);
    amb_buf_free(&input);
}

/* Sends what it can, and waits for the answer, or for room for the rest. False: the connection is over. */
static bool client_send(struct amb_http_client_connection *client) {
    if (!write_pending(client->watch.fd, &client->output)) return false;
    if (!client->output.len) client_set_state(client, CLIENT_WAITING);
    amb_loop_mod(&client->watch, client->output.len ? EPOLLOUT : EPOLLIN);
    return true;
}

static void client_write(struct amb_http_client_connection *client) {
    if (client->state == CLIENT_CONNECTING) {
        int error = 0;
        socklen_t error_size = sizeof error;
        getsockopt(client->watch.fd, SOL_SOCKET, SO_ERROR, &error, &error_size);
        if (error) {
            client_fail(client);
            return;
        }
        client_set_state(client, CLIENT_SENDING);
    }
    if (client->state == CLIENT_SENDING && !client_send(client)) client_fail(client);
}

static void on_client_event(struct amb_fd_watch *watch, uint32_t events) {
    struct amb_http_client_connection *client = watch->arg;
    if ((events & (EPOLLERR | EPOLLHUP)) && !(events & EPOLLIN)) {
        client_fail(client);
        return;
    }
    if (events & EPOLLIN) {
        client_read(client);
        return;
    }
    if (events & EPOLLOUT) client_write(client);
}

static bool client_connect(struct amb_http_client_connection *client) {
    if (open_connections >= max_open_connections && idle_connections) {
        struct amb_http_client_connection *oldest = idle_connections;
        while (oldest->next) oldest = oldest->next;
        client_close(oldest);
    }
    if (open_connections >= max_open_connections) return false;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) return false;
    int enabled = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    if (connect(fd, (struct sockaddr *)&client->address, sizeof client->address) < 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return false;
    }
    client->watch = (struct amb_fd_watch){fd, on_client_event, client, 0};
    if (amb_loop_add(&client->watch, EPOLLOUT) < 0) {
        close(fd);
        client->watch.fd = -1;
        return false;
    }
    open_connections++;
    return true;
}

struct amb_http_client_connection *amb_http_call(const char *addr, const char *method, const char *path,
                                                 const char *type, const void *body, size_t len,
                                                 amb_ms timeout_ms, amb_http_done on_done, void *arg) {
    struct sockaddr_in address;
    memset(&address, 0, sizeof address);
    bool can_begin = parse_address(addr, &address);
    struct amb_http_client_connection *client = idle_connections;
    while (client && (client->address.sin_port != address.sin_port ||
                      client->address.sin_addr.s_addr != address.sin_addr.s_addr))
        client = client->next;
    bool is_reused = client != NULL;
    if (is_reused) {
        idle_unlink(client);
        client->state = CLIENT_SENDING;
    } else {
        client = amb_alloc(sizeof *client);
        client->watch.fd = -1;
        client->address = address;
        if (can_begin) can_begin = client_connect(client);
    }
    client->on_done = on_done;
    client->arg = arg;
    amb_buf_append_format(&client->output, "%s ", method);
    amb_buf_append_text(&client->output, path);
    amb_buf_append_format(&client->output, " HTTP/1.1\r\nHost: %s\r\nContent-Length: %zu\r\n", addr, len);
    if (len) amb_buf_append_format(&client->output, "Content-Type: %s\r\n", type);
    amb_buf_append_text(&client->output, "\r\n");
    amb_buf_append(&client->output, body, len);
    if (is_reused) can_begin = client_send(client);
    /* A call that can't even begin fails from the loop like any other: never inside this function. */
    amb_timer_in(&client->deadline, can_begin ? timeout_ms : 0, on_deadline, client);
    return client;
}
