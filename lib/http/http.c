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

static bool is_token(unsigned char c) {
    return c > 32 && c < 127 && !strchr("()<>@,;:\\\"/[]?={}", c);
}

static int parse_request_line(const char *text, size_t len, struct amb_http_msg *out) {
    size_t i = 0;
    while (i < len && is_token((unsigned char)text[i])) i++;
    if (!i || i >= sizeof out->method || i >= len || text[i] != ' ') return -400;
    memcpy(out->method, text, i);
    out->method[i] = 0;
    size_t start = ++i;
    while (i < len && (unsigned char)text[i] > 32 && text[i] != 127) i++;
    if (i == start || text[start] != '/' || len - i != 9 || memcmp(text + i, " HTTP/1.", 8)) return -400;
    if (text[i + 8] != '1' && text[i + 8] != '0') return -400;
    if (text[i + 8] == '0') out->close = true;
    out->path = text + start;
    out->path_len = i - start;
    const char *q = memchr(out->path, '?', out->path_len);
    if (q) {
        out->query = q + 1;
        out->query_len = out->path_len - (size_t)(q + 1 - out->path);
        out->path_len = (size_t)(q - out->path);
    }
    return 0;
}

static int parse_status_line(const char *text, size_t len, struct amb_http_msg *out) {
    if (len < 12 || memcmp(text, "HTTP/1.", 7) || text[8] != ' ') return -400;
    for (int i = 9; i < 12; i++) {
        if (text[i] < '0' || text[i] > '9') return -400;
        out->status = out->status * 10 + (text[i] - '0');
    }
    return 0;
}

static bool same(const char *text, size_t len, const char *word) {
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

static int parse_header(const char *text, size_t len, struct amb_http_msg *out, long *length) {
    const char *colon = memchr(text, ':', len);
    if (!colon || colon == text) return -400;
    size_t name = (size_t)(colon - text);
    for (size_t i = 0; i < name; i++)
        if (!is_token((unsigned char)text[i])) return -400;
    const char *value = colon + 1, *end = text + len;
    while (value < end && (*value == ' ' || *value == '\t')) value++;
    while (end > value && (end[-1] == ' ' || end[-1] == '\t')) end--;
    size_t value_len = (size_t)(end - value);
    long number;
    if (same(text, name, "content-length")) {
        if (parse_number(value, value_len, &number) || (*length >= 0 && *length != number)) return -400;
        *length = number;
    } else if (same(text, name, "transfer-encoding")) {
        return -501;
    } else if (same(text, name, "connection")) {
        if (same(value, value_len, "close")) out->close = true;
    } else if (same(text, name, "retry-after")) {
        if (!parse_number(value, value_len, &number)) out->retry_after = (int)number;
    }
    return 0;
}

long amb_http_parse(const char *data, size_t len, bool response, size_t body_max, struct amb_http_msg *out) {
    memset(out, 0, sizeof *out);
    out->response = response;
    size_t look = len < AMB_HTTP_HEAD_MAX ? len : AMB_HTTP_HEAD_MAX;
    const char *end = look >= 4 ? memmem(data, look, "\r\n\r\n", 4) : NULL;
    if (!end) return len >= AMB_HTTP_HEAD_MAX ? -431 : 0;
    long length = -1;
    const char *line = data;
    for (bool first = true; line < end; first = false) {
        const char *eol = memmem(line, (size_t)(end + 2 - line), "\r\n", 2);
        size_t line_len = (size_t)(eol - line);
        int bad;
        if (!first)
            bad = parse_header(line, line_len, out, &length);
        else if (response)
            bad = parse_status_line(line, line_len, out);
        else
            bad = parse_request_line(line, line_len, out);
        if (bad) return bad;
        line = eol + 2;
    }
    if (!response && !out->path) return -400;
    if (length > (long)body_max) return -413;
    out->body_at = (size_t)(end + 4 - data);
    out->body_len = length < 0 ? 0 : (size_t)length;
    size_t total = out->body_at + out->body_len;
    return len < total ? 0 : (long)total;
}

/* ---- connections: shared by server and client ---- */

static const char *reason(int status) {
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

static bool parse_addr(const char *text, struct sockaddr_in *address) {
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
static bool fill(int fd, struct amb_buf *in) {
    static char chunk[READ_CHUNK];
    for (;;) {
        ssize_t n = read(fd, chunk, sizeof chunk);
        if (n > 0) amb_buf_add(in, chunk, (size_t)n);
        if (n == (ssize_t)sizeof chunk) continue;
        if (n > 0) return true;
        return n < 0 && (errno == EAGAIN || errno == EINTR);
    }
}

/* Writes what it can. Returns false when the connection is over. */
static bool drain(int fd, struct amb_buf *out) {
    while (out->len) {
        ssize_t n = write(fd, out->data, out->len);
        if (n < 0) return errno == EAGAIN || errno == EINTR;
        amb_buf_drop(out, (size_t)n);
    }
    return true;
}

/* ---- server ---- */

enum conn_state { CONN_READING, CONN_ANSWERING, CONN_CLOSING };

struct amb_conn {
    struct amb_watch watch;
    struct amb_server *server;
    enum conn_state state;
    struct amb_buf in, out;
    struct amb_http_req *req;
    struct amb_timer idle;
    bool close_after;
    struct amb_conn *prev, *next; /* least recently used first */
};

struct amb_server {
    struct amb_watch watch;
    int max, open;
    size_t body_max;
    amb_ms idle_ms;
    amb_http_handler fn;
    void *arg;
    struct amb_conn *first, *last;
};

static void conn_unlink(struct amb_conn *conn) {
    struct amb_server *server = conn->server;
    *(conn->prev ? &conn->prev->next : &server->first) = conn->next;
    *(conn->next ? &conn->next->prev : &server->last) = conn->prev;
}

static void conn_append(struct amb_conn *conn) {
    struct amb_server *server = conn->server;
    conn->prev = server->last;
    conn->next = NULL;
    *(server->last ? &server->last->next : &server->first) = conn;
    server->last = conn;
}

static void conn_end(struct amb_conn *conn) {
    amb_timer_stop(&conn->idle);
    amb_loop_del(&conn->watch);
    close(conn->watch.fd);
    conn_unlink(conn);
    conn->server->open--;
    if (conn->req) conn->req->conn = NULL;
    amb_buf_free(&conn->in);
    amb_buf_free(&conn->out);
    free(conn);
}

static void conn_idle(void *arg) {
    conn_end(arg);
}

static void conn_state(struct amb_conn *conn, enum conn_state to) {
    conn->state = to;
    conn_unlink(conn);
    conn_append(conn);
    if (to == CONN_ANSWERING)
        amb_timer_stop(&conn->idle);
    else
        amb_timer_in(&conn->idle, conn->server->idle_ms, conn_idle, conn);
}

static void conn_answer(struct amb_conn *conn, int status, const char *type, const void *body, size_t len,
                        int retry_after_s) {
    amb_buf_fmt(&conn->out, "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n", status, reason(status), len);
    if (len) amb_buf_fmt(&conn->out, "Content-Type: %s\r\n", type);
    if (retry_after_s > 0) amb_buf_fmt(&conn->out, "Retry-After: %d\r\n", retry_after_s);
    if (conn->close_after) amb_buf_str(&conn->out, "Connection: close\r\n");
    amb_buf_str(&conn->out, "\r\n");
    amb_buf_add(&conn->out, body, len);
}

static void conn_flush(struct amb_conn *conn) {
    if (!drain(conn->watch.fd, &conn->out)) {
        conn_end(conn);
        return;
    }
    if (!conn->out.len && conn->state == CONN_CLOSING) {
        conn_end(conn);
        return;
    }
    amb_loop_mod(&conn->watch, EPOLLIN | (conn->out.len ? (uint32_t)EPOLLOUT : 0u));
}

static void conn_advance(struct amb_conn *conn) {
    while (conn->state == CONN_READING && conn->in.len) {
        struct amb_http_msg msg;
        long taken = amb_http_parse(conn->in.data, conn->in.len, false, conn->server->body_max, &msg);
        if (!taken) return;
        if (taken < 0) {
            conn->close_after = true;
            conn_answer(conn, (int)-taken, "text/plain", NULL, 0, 0);
            conn_state(conn, CONN_CLOSING);
            conn_flush(conn);
            return;
        }
        struct amb_http_req *request = amb_alloc(sizeof *request);
        request->conn = conn;
        conn->req = request;
        if (amb_log_on(AMB_DEBUG)) request->arrived_at = amb_now();
        conn->close_after = msg.close;
        memcpy(request->method, msg.method, sizeof request->method);
        size_t path_len = msg.path_len < sizeof request->path ? msg.path_len : sizeof request->path - 1;
        memcpy(request->path, msg.path, path_len);
        request->body = amb_alloc(msg.body_len + 1);
        memcpy(request->body, conn->in.data + msg.body_at, msg.body_len);
        request->body_len = msg.body_len;
        amb_buf_drop(&conn->in, (size_t)taken);
        if (!conn->in.len) amb_buf_free(&conn->in); /* hundreds of idle connections must not hold buffers */
        conn_state(conn, CONN_ANSWERING);
        conn->server->fn(conn->server->arg, request);
        return; /* the reply goes on with what is left in the input */
    }
}

static void conn_event(struct amb_watch *watch, uint32_t events) {
    struct amb_conn *conn = watch->arg;
    bool alive = !(events & EPOLLERR);
    if (alive && (events & (EPOLLIN | EPOLLHUP))) alive = fill(watch->fd, &conn->in);
    /* Requests are not pipelined: more than a request's worth waiting is abuse. */
    if (!alive || conn->in.len > conn->server->body_max + AMB_HTTP_HEAD_MAX + READ_CHUNK) {
        conn_end(conn);
        return;
    }
    if (events & EPOLLOUT) {
        conn_flush(conn); /* may end conn, and then the event has nothing else to say */
        return;
    }
    if (conn->state == CONN_READING) conn_advance(conn);
}

/* bench/waits.c reads these lines. */
static void log_answer(const struct amb_http_req *request, int status) {
    amb_debug("request %s %s: %d after %lld ms%s", request->method, request->path, status,
              (long long)(amb_now() - request->arrived_at), request->kept ? ", kept" : "");
}

void amb_http_reply(struct amb_http_req *request, int status, const char *type, const void *body, size_t len,
                    int retry_after_s) {
    struct amb_conn *conn = request->conn;
    if (amb_log_on(AMB_DEBUG)) log_answer(request, status);
    free(request->body);
    free(request);
    if (!conn) return;
    conn->req = NULL;
    conn_answer(conn, status, type, body, len, retry_after_s);
    conn_state(conn, conn->close_after ? CONN_CLOSING : CONN_READING);
    bool more = conn->state == CONN_READING && conn->in.len > 0;
    if (more)
        conn_advance(conn);
    else
        conn_flush(conn);
}

static void server_event(struct amb_watch *watch, uint32_t events) {
    struct amb_server *server = watch->arg;
    (void)events;
    for (;;) {
        int fd = accept4(watch->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) return;
        if (server->open >= server->max) {
            /* Full: the connection longest without a request makes way, so that idle users can't keep
             * workers and health probes out. */
            struct amb_conn *conn = server->first;
            while (conn && conn->state == CONN_ANSWERING) conn = conn->next;
            if (!conn) {
                close(fd);
                continue;
            }
            conn_end(conn);
        }
        struct amb_conn *conn = amb_alloc(sizeof *conn);
        conn->watch = (struct amb_watch){fd, conn_event, conn, 0};
        conn->server = server;
        conn_append(conn);
        server->open++;
        if (amb_loop_add(&conn->watch, EPOLLIN) < 0) {
            conn_end(conn);
            continue;
        }
        conn_state(conn, CONN_READING);
    }
}

struct amb_server *amb_server_open(const char *addr, int max, size_t body_max, amb_ms idle_ms,
                                   amb_http_handler fn, void *arg) {
    struct sockaddr_in address;
    if (!parse_addr(addr, &address)) {
        errno = EINVAL;
        return NULL;
    }
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) return NULL;
    int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one); /* accepted sockets inherit it */
    if (bind(fd, (struct sockaddr *)&address, sizeof address) < 0 || listen(fd, max) < 0) {
        close(fd);
        return NULL;
    }
    struct amb_server *server = amb_alloc(sizeof *server);
    server->watch = (struct amb_watch){fd, server_event, server, 0};
    server->max = max;
    server->body_max = body_max;
    server->idle_ms = idle_ms;
    server->fn = fn;
    server->arg = arg;
    amb_loop_add(&server->watch, EPOLLIN);
    return server;
}

/* ---- client ---- */

enum call_state { CALL_CONNECTING, CALL_SENDING, CALL_WAITING, CALL_SPARE };

struct amb_call { /* a connection of ours, with at most one request under way */
    struct amb_watch watch;
    enum call_state state;
    struct sockaddr_in addr;
    struct amb_buf in, out;
    struct amb_timer deadline;
    amb_http_done fn;
    void *arg;
    struct amb_call *prev, *next; /* spare ones, newest first */
};

static struct amb_call *spares;
static int client_open, client_max = 128;
static size_t response_max = (size_t)8 * 1024 * 1024;

void amb_http_client_limit(int max_connections) {
    client_max = max_connections;
}

void amb_http_response_limit(size_t bytes) {
    response_max = bytes;
}

static void spare_unlink(struct amb_call *call) {
    *(call->prev ? &call->prev->next : &spares) = call->next;
    if (call->next) call->next->prev = call->prev;
    call->prev = call->next = NULL;
}

static void call_end(struct amb_call *call) {
    if (call->state == CALL_SPARE) spare_unlink(call);
    amb_timer_stop(&call->deadline);
    if (call->watch.fd >= 0) {
        amb_loop_del(&call->watch);
        close(call->watch.fd);
        client_open--;
    }
    amb_buf_free(&call->in);
    amb_buf_free(&call->out);
    free(call);
}

static void call_end_with(struct amb_call *call, int status) {
    amb_http_done fn = call->state == CALL_SPARE ? NULL : call->fn;
    void *arg = call->arg;
    call_end(call);
    if (fn) fn(arg, status, NULL, 0);
}

static void call_fail(struct amb_call *call) {
    call_end_with(call, 0);
}

static void call_too_long(struct amb_call *call) {
    amb_info("an answer of more than %zu bytes is not read", response_max);
    call_end_with(call, AMB_HTTP_ANSWER_TOO_LONG);
}

static void call_expired(void *arg) {
    call_fail(arg);
}

static void call_state(struct amb_call *call, enum call_state to) {
    call->state = to;
    if (to == CALL_SPARE) {
        call->prev = NULL;
        call->next = spares;
        if (spares) spares->prev = call;
        spares = call;
        amb_timer_in(&call->deadline, 10000, call_expired, call);
        amb_buf_free(&call->in);
        amb_buf_free(&call->out);
    }
}

static void call_read(struct amb_call *call) {
    bool open = fill(call->watch.fd, &call->in);
    if (call->state == CALL_SPARE) {
        call_fail(call);
        return;
    }
    if (call->in.len > response_max) {
        call_too_long(call);
        return;
    }
    struct amb_http_msg msg;
    long taken = amb_http_parse(call->in.data ? call->in.data : "", call->in.len, true, response_max, &msg);
    if (taken == -413) {
        call_too_long(call);
        return;
    }
    if (taken < 0 || (!taken && !open)) {
        call_fail(call);
        return;
    }
    if (!taken) return;
    struct amb_buf in = call->in;
    memset(&call->in, 0, sizeof call->in);
    amb_http_done fn = call->fn;
    void *arg = call->arg;
    amb_timer_stop(&call->deadline);
    if (open && !msg.close && (size_t)taken == in.len)
        call_state(call, CALL_SPARE);
    else
        call_end(call);
    fn(arg, msg.status, in.data + msg.body_at, msg.body_len);
    amb_buf_free(&in);
}

/* Sends what it can, and waits for the answer, or for room for the rest. False: the connection is over. */
static bool call_send(struct amb_call *call) {
    if (!drain(call->watch.fd, &call->out)) return false;
    if (!call->out.len) call_state(call, CALL_WAITING);
    amb_loop_mod(&call->watch, call->out.len ? EPOLLOUT : EPOLLIN);
    return true;
}

static void call_write(struct amb_call *call) {
    if (call->state == CALL_CONNECTING) {
        int err = 0;
        socklen_t n = sizeof err;
        getsockopt(call->watch.fd, SOL_SOCKET, SO_ERROR, &err, &n);
        if (err) {
            call_fail(call);
            return;
        }
        call_state(call, CALL_SENDING);
    }
    if (call->state == CALL_SENDING && !call_send(call)) call_fail(call);
}

static void call_event(struct amb_watch *watch, uint32_t events) {
    struct amb_call *call = watch->arg;
    if ((events & (EPOLLERR | EPOLLHUP)) && !(events & EPOLLIN)) {
        call_fail(call);
        return;
    }
    if (events & EPOLLIN) {
        call_read(call);
        return;
    }
    if (events & EPOLLOUT) call_write(call);
}

static bool call_connect(struct amb_call *call) {
    if (client_open >= client_max && spares) {
        struct amb_call *oldest = spares;
        while (oldest->next) oldest = oldest->next;
        call_end(oldest);
    }
    if (client_open >= client_max) return false;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) return false;
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (connect(fd, (struct sockaddr *)&call->addr, sizeof call->addr) < 0 && errno != EINPROGRESS) {
        close(fd);
        return false;
    }
    call->watch = (struct amb_watch){fd, call_event, call, 0};
    if (amb_loop_add(&call->watch, EPOLLOUT) < 0) {
        close(fd);
        call->watch.fd = -1;
        return false;
    }
    client_open++;
    return true;
}

struct amb_call *amb_http_call(const char *addr, const char *method, const char *path, const char *type,
                               const void *body, size_t len, amb_ms timeout, amb_http_done fn, void *arg) {
    struct sockaddr_in address;
    memset(&address, 0, sizeof address);
    bool known = parse_addr(addr, &address);
    struct amb_call *call = spares;
    while (call &&
           (call->addr.sin_port != address.sin_port || call->addr.sin_addr.s_addr != address.sin_addr.s_addr))
        call = call->next;
    bool open = call != NULL;
    if (open) {
        spare_unlink(call);
        call->state = CALL_SENDING;
    } else {
        call = amb_alloc(sizeof *call);
        call->watch.fd = -1;
        call->addr = address;
        if (known) known = call_connect(call);
    }
    call->fn = fn;
    call->arg = arg;
    amb_buf_fmt(&call->out, "%s ", method);
    amb_buf_str(&call->out, path);
    amb_buf_fmt(&call->out, " HTTP/1.1\r\nHost: %s\r\nContent-Length: %zu\r\n", addr, len);
    if (len) amb_buf_fmt(&call->out, "Content-Type: %s\r\n", type);
    amb_buf_str(&call->out, "\r\n");
    amb_buf_add(&call->out, body, len);
    if (open) known = call_send(call);
    /* A call that can't even begin fails from the loop like any other: never inside this function. */
    amb_timer_in(&call->deadline, known ? timeout : 0, call_expired, call);
    return call;
}
