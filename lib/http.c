#include "amberpin/http.h"

#include "amberpin/log.h"

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

enum { RESPONSE_MAX = 8 * 1024 * 1024, READ_CHUNK = 16 * 1024 };

/* ---- parser ---- */

static bool is_token(unsigned char c) {
    return c > 32 && c < 127 && !strchr("()<>@,;:\\\"/[]?={}", c);
}

static int parse_request_line(const char *p, size_t n, struct amb_http_msg *out) {
    size_t i = 0;
    while (i < n && is_token((unsigned char)p[i])) i++;
    if (!i || i >= sizeof out->method || i >= n || p[i] != ' ') return -400;
    memcpy(out->method, p, i);
    out->method[i] = 0;
    size_t start = ++i;
    while (i < n && (unsigned char)p[i] > 32 && p[i] != 127) i++;
    if (i == start || p[start] != '/' || n - i != 9 || memcmp(p + i, " HTTP/1.", 8)) return -400;
    if (p[i + 8] != '1' && p[i + 8] != '0') return -400;
    if (p[i + 8] == '0') out->close = true;
    out->path = p + start;
    out->path_len = i - start;
    const char *q = memchr(out->path, '?', out->path_len);
    if (q) {
        out->query = q + 1;
        out->query_len = out->path_len - (size_t)(q + 1 - out->path);
        out->path_len = (size_t)(q - out->path);
    }
    return 0;
}

static int parse_status_line(const char *p, size_t n, struct amb_http_msg *out) {
    if (n < 12 || memcmp(p, "HTTP/1.", 7) || p[8] != ' ') return -400;
    for (int i = 9; i < 12; i++) {
        if (p[i] < '0' || p[i] > '9') return -400;
        out->status = out->status * 10 + (p[i] - '0');
    }
    return 0;
}

static bool same(const char *p, size_t n, const char *word) {
    return strlen(word) == n && !strncasecmp(p, word, n);
}

static int parse_number(const char *p, size_t n, long *out) {
    long v = 0;
    if (!n || n > 9) return -400;
    for (size_t i = 0; i < n; i++) {
        if (p[i] < '0' || p[i] > '9') return -400;
        v = v * 10 + (p[i] - '0');
    }
    *out = v;
    return 0;
}

static int parse_header(const char *p, size_t n, struct amb_http_msg *out, long *length) {
    const char *colon = memchr(p, ':', n);
    if (!colon || colon == p) return -400;
    size_t name = (size_t)(colon - p);
    for (size_t i = 0; i < name; i++)
        if (!is_token((unsigned char)p[i])) return -400;
    const char *v = colon + 1, *end = p + n;
    while (v < end && (*v == ' ' || *v == '\t')) v++;
    while (end > v && (end[-1] == ' ' || end[-1] == '\t')) end--;
    size_t vn = (size_t)(end - v);
    long number;
    if (same(p, name, "content-length")) {
        if (parse_number(v, vn, &number) || (*length >= 0 && *length != number)) return -400;
        *length = number;
    } else if (same(p, name, "transfer-encoding")) {
        return -501;
    } else if (same(p, name, "connection")) {
        if (same(v, vn, "close")) out->close = true;
    } else if (same(p, name, "retry-after")) {
        if (!parse_number(v, vn, &number)) out->retry_after = (int)number;
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
    const char *p = data;
    for (int line = 0; p < end; line++) {
        const char *eol = memmem(p, (size_t)(end + 2 - p), "\r\n", 2);
        size_t n = (size_t)(eol - p);
        int bad = line ? parse_header(p, n, out, &length)
                       : (response ? parse_status_line(p, n, out) : parse_request_line(p, n, out));
        if (bad) return bad;
        p = eol + 2;
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

static bool parse_addr(const char *s, struct sockaddr_in *a) {
    char host[64];
    const char *colon = strrchr(s, ':');
    if (!colon || (size_t)(colon - s) >= sizeof host) return false;
    memcpy(host, s, (size_t)(colon - s));
    host[colon - s] = 0;
    long port;
    if (parse_number(colon + 1, strlen(colon + 1), &port) || port > 65535) return false;
    memset(a, 0, sizeof *a);
    a->sin_family = AF_INET;
    a->sin_port = htons((uint16_t)port);
    return inet_pton(AF_INET, host, &a->sin_addr) == 1;
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

static void conn_unlink(struct amb_conn *c) {
    struct amb_server *s = c->server;
    *(c->prev ? &c->prev->next : &s->first) = c->next;
    *(c->next ? &c->next->prev : &s->last) = c->prev;
}

static void conn_append(struct amb_conn *c) {
    struct amb_server *s = c->server;
    c->prev = s->last;
    c->next = NULL;
    *(s->last ? &s->last->next : &s->first) = c;
    s->last = c;
}

static void conn_end(struct amb_conn *c) {
    amb_timer_stop(&c->idle);
    amb_loop_del(&c->watch);
    close(c->watch.fd);
    conn_unlink(c);
    c->server->open--;
    if (c->req) c->req->conn = NULL;
    amb_buf_free(&c->in);
    amb_buf_free(&c->out);
    free(c);
}

static void conn_idle(void *arg) {
    conn_end(arg);
}

static void conn_state(struct amb_conn *c, enum conn_state to) {
    c->state = to;
    conn_unlink(c);
    conn_append(c);
    if (to == CONN_ANSWERING)
        amb_timer_stop(&c->idle);
    else
        amb_timer_in(&c->idle, c->server->idle_ms, conn_idle, c);
}

static void conn_answer(struct amb_conn *c, int status, const char *type, const void *body, size_t len,
                        int retry_after_s) {
    amb_buf_fmt(&c->out, "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n", status, reason(status), len);
    if (len) amb_buf_fmt(&c->out, "Content-Type: %s\r\n", type);
    if (retry_after_s > 0) amb_buf_fmt(&c->out, "Retry-After: %d\r\n", retry_after_s);
    if (c->close_after) amb_buf_str(&c->out, "Connection: close\r\n");
    amb_buf_str(&c->out, "\r\n");
    amb_buf_add(&c->out, body, len);
}

static void conn_flush(struct amb_conn *c) {
    if (!drain(c->watch.fd, &c->out)) {
        conn_end(c);
        return;
    }
    if (!c->out.len && c->state == CONN_CLOSING) {
        conn_end(c);
        return;
    }
    amb_loop_mod(&c->watch, EPOLLIN | (c->out.len ? (uint32_t)EPOLLOUT : 0u));
}

static void conn_advance(struct amb_conn *c) {
    while (c->state == CONN_READING && c->in.len) {
        struct amb_http_msg m;
        long n = amb_http_parse(c->in.data, c->in.len, false, c->server->body_max, &m);
        if (!n) return;
        if (n < 0) {
            c->close_after = true;
            conn_answer(c, (int)-n, "text/plain", NULL, 0, 0);
            conn_state(c, CONN_CLOSING);
            conn_flush(c);
            return;
        }
        struct amb_http_req *req = amb_alloc(sizeof *req);
        req->conn = c;
        c->req = req;
        if (amb_log_on(AMB_DEBUG)) req->arrived_at = amb_now();
        c->close_after = m.close;
        memcpy(req->method, m.method, sizeof req->method);
        size_t pn = m.path_len < sizeof req->path ? m.path_len : sizeof req->path - 1;
        memcpy(req->path, m.path, pn);
        req->body = amb_alloc(m.body_len + 1);
        memcpy(req->body, c->in.data + m.body_at, m.body_len);
        req->body_len = m.body_len;
        amb_buf_drop(&c->in, (size_t)n);
        if (!c->in.len) amb_buf_free(&c->in); /* hundreds of idle connections must not hold buffers */
        conn_state(c, CONN_ANSWERING);
        c->server->fn(c->server->arg, req);
        return; /* the reply goes on with what is left in the input */
    }
}

static void conn_event(struct amb_watch *w, uint32_t events) {
    struct amb_conn *c = w->arg;
    bool alive = !(events & EPOLLERR);
    if (alive && (events & (EPOLLIN | EPOLLHUP))) alive = fill(w->fd, &c->in);
    /* Requests are not pipelined: more than a request's worth waiting is abuse. */
    if (!alive || c->in.len > c->server->body_max + AMB_HTTP_HEAD_MAX + READ_CHUNK) {
        conn_end(c);
        return;
    }
    if (events & EPOLLOUT) {
        conn_flush(c); /* may end c, and then the event has nothing else to say */
        return;
    }
    if (c->state == CONN_READING) conn_advance(c);
}

/* bench/waits.c reads these lines. */
static void log_answer(const struct amb_http_req *req, int status) {
    amb_debug("request %s %s: %d after %lld ms%s", req->method, req->path, status,
              (long long)(amb_now() - req->arrived_at), req->kept ? ", kept" : "");
}

void amb_http_reply(struct amb_http_req *req, int status, const char *type, const void *body, size_t len,
                    int retry_after_s) {
    struct amb_conn *c = req->conn;
    if (amb_log_on(AMB_DEBUG)) log_answer(req, status);
    free(req->body);
    free(req);
    if (!c) return;
    c->req = NULL;
    conn_answer(c, status, type, body, len, retry_after_s);
    conn_state(c, c->close_after ? CONN_CLOSING : CONN_READING);
    bool more = c->state == CONN_READING && c->in.len > 0;
    if (more)
        conn_advance(c);
    else
        conn_flush(c);
}

static void server_event(struct amb_watch *w, uint32_t events) {
    struct amb_server *s = w->arg;
    (void)events;
    for (;;) {
        int fd = accept4(w->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) return;
        if (s->open >= s->max) {
            /* Full: the connection longest without a request makes way, so that idle users can't keep
             * workers and health probes out. */
            struct amb_conn *c = s->first;
            while (c && c->state == CONN_ANSWERING) c = c->next;
            if (!c) {
                close(fd);
                continue;
            }
            conn_end(c);
        }
        struct amb_conn *c = amb_alloc(sizeof *c);
        c->watch = (struct amb_watch){fd, conn_event, c, 0};
        c->server = s;
        conn_append(c);
        s->open++;
        if (amb_loop_add(&c->watch, EPOLLIN) < 0) {
            conn_end(c);
            continue;
        }
        conn_state(c, CONN_READING);
    }
}

struct amb_server *amb_server_open(const char *addr, int max, size_t body_max, amb_ms idle_ms,
                                   amb_http_handler fn, void *arg) {
    struct sockaddr_in a;
    if (!parse_addr(addr, &a)) {
        errno = EINVAL;
        return NULL;
    }
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) return NULL;
    int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one); /* accepted sockets inherit it */
    if (bind(fd, (struct sockaddr *)&a, sizeof a) < 0 || listen(fd, 256) < 0) {
        close(fd);
        return NULL;
    }
    struct amb_server *s = amb_alloc(sizeof *s);
    s->watch = (struct amb_watch){fd, server_event, s, 0};
    s->max = max;
    s->body_max = body_max;
    s->idle_ms = idle_ms;
    s->fn = fn;
    s->arg = arg;
    amb_loop_add(&s->watch, EPOLLIN);
    return s;
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

void amb_http_client_limit(int max_connections) {
    client_max = max_connections;
}

static void spare_unlink(struct amb_call *c) {
    *(c->prev ? &c->prev->next : &spares) = c->next;
    if (c->next) c->next->prev = c->prev;
    c->prev = c->next = NULL;
}

static void call_end(struct amb_call *c) {
    if (c->state == CALL_SPARE) spare_unlink(c);
    amb_timer_stop(&c->deadline);
    if (c->watch.fd >= 0) {
        amb_loop_del(&c->watch);
        close(c->watch.fd);
        client_open--;
    }
    amb_buf_free(&c->in);
    amb_buf_free(&c->out);
    free(c);
}

static void call_fail(struct amb_call *c) {
    amb_http_done fn = c->state == CALL_SPARE ? NULL : c->fn;
    void *arg = c->arg;
    call_end(c);
    if (fn) fn(arg, 0, NULL, 0);
}

static void call_expired(void *arg) {
    call_fail(arg);
}

static void call_state(struct amb_call *c, enum call_state to) {
    c->state = to;
    if (to == CALL_SPARE) {
        c->prev = NULL;
        c->next = spares;
        if (spares) spares->prev = c;
        spares = c;
        amb_timer_in(&c->deadline, 10000, call_expired, c);
        amb_buf_free(&c->in);
        amb_buf_free(&c->out);
    }
}

static void call_read(struct amb_call *c) {
    bool open = fill(c->watch.fd, &c->in);
    if (c->state == CALL_SPARE || c->in.len > RESPONSE_MAX) {
        call_fail(c);
        return;
    }
    struct amb_http_msg m;
    long n = amb_http_parse(c->in.data ? c->in.data : "", c->in.len, true, RESPONSE_MAX, &m);
    if (n < 0 || (!n && !open)) {
        call_fail(c);
        return;
    }
    if (!n) return;
    struct amb_buf in = c->in;
    memset(&c->in, 0, sizeof c->in);
    amb_http_done fn = c->fn;
    void *arg = c->arg;
    amb_timer_stop(&c->deadline);
    if (open && !m.close && (size_t)n == in.len)
        call_state(c, CALL_SPARE);
    else
        call_end(c);
    fn(arg, m.status, in.data + m.body_at, m.body_len);
    amb_buf_free(&in);
}

/* Sends what it can, and waits for the answer, or for room for the rest. False: the connection is over. */
static bool call_send(struct amb_call *c) {
    if (!drain(c->watch.fd, &c->out)) return false;
    if (!c->out.len) call_state(c, CALL_WAITING);
    amb_loop_mod(&c->watch, c->out.len ? EPOLLOUT : EPOLLIN);
    return true;
}

static void call_write(struct amb_call *c) {
    if (c->state == CALL_CONNECTING) {
        int err = 0;
        socklen_t n = sizeof err;
        getsockopt(c->watch.fd, SOL_SOCKET, SO_ERROR, &err, &n);
        if (err) {
            call_fail(c);
            return;
        }
        call_state(c, CALL_SENDING);
    }
    if (c->state == CALL_SENDING && !call_send(c)) call_fail(c);
}

static void call_event(struct amb_watch *w, uint32_t events) {
    struct amb_call *c = w->arg;
    if ((events & (EPOLLERR | EPOLLHUP)) && !(events & EPOLLIN)) {
        call_fail(c);
        return;
    }
    if (events & EPOLLIN) {
        call_read(c);
        return;
    }
    if (events & EPOLLOUT) call_write(c);
}

static bool call_connect(struct amb_call *c) {
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
    if (connect(fd, (struct sockaddr *)&c->addr, sizeof c->addr) < 0 && errno != EINPROGRESS) {
        close(fd);
        return false;
    }
    c->watch = (struct amb_watch){fd, call_event, c, 0};
    if (amb_loop_add(&c->watch, EPOLLOUT) < 0) {
        close(fd);
        c->watch.fd = -1;
        return false;
    }
    client_open++;
    return true;
}

struct amb_call *amb_http_call(const char *addr, const char *method, const char *path, const char *type,
                               const void *body, size_t len, amb_ms timeout, amb_http_done fn, void *arg) {
    struct sockaddr_in a;
    memset(&a, 0, sizeof a);
    bool known = parse_addr(addr, &a);
    struct amb_call *c = spares;
    while (c && (c->addr.sin_port != a.sin_port || c->addr.sin_addr.s_addr != a.sin_addr.s_addr)) c = c->next;
    bool open = c != NULL;
    if (open) {
        spare_unlink(c);
        c->state = CALL_SENDING;
    } else {
        c = amb_alloc(sizeof *c);
        c->watch.fd = -1;
        c->addr = a;
        if (known) known = call_connect(c);
    }
    c->fn = fn;
    c->arg = arg;
    amb_buf_fmt(&c->out, "%s ", method);
    amb_buf_str(&c->out, path);
    amb_buf_fmt(&c->out, " HTTP/1.1\r\nHost: %s\r\nContent-Length: %zu\r\n", addr, len);
    if (len) amb_buf_fmt(&c->out, "Content-Type: %s\r\n", type);
    amb_buf_str(&c->out, "\r\n");
    amb_buf_add(&c->out, body, len);
    if (open) known = call_send(c);
    /* A call that can't even begin fails from the loop like any other: never inside this function. */
    amb_timer_in(&c->deadline, known ? timeout : 0, call_expired, c);
    return c;
}
