#define _GNU_SOURCE
#include "core.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

ms_t now_ms(void) {
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return (ms_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void *alloc(size_t n) {
    void *p = calloc(1, n ? n : 1);
    if (!p) abort();
    return p;
}

void buf_add(struct buf *b, const void *data, size_t len) {
    if (b->len + len + 1 > b->cap) {
        b->cap = (b->len + len + 64) * 2;
        b->data = realloc(b->data, b->cap);
        if (!b->data) abort();
    }
    if (len) memcpy(b->data + b->len, data, len);
    b->len += len;
    b->data[b->len] = 0;
}

void buf_free(struct buf *b) {
    free(b->data);
    memset(b, 0, sizeof *b);
}

/* ---- CBOR: reading ---- */

struct reader { const unsigned char *at, *end; int depth; };

static bool read_head(struct reader *r, int *major, int *info, uint64_t *n) {
    if (r->at >= r->end) return false;
    *major = *r->at >> 5;
    *info = *r->at++ & 31;
    int bytes = *info < 24 ? 0 : *info == 24 ? 1 : *info == 25 ? 2 : *info == 26 ? 4 : *info == 27 ? 8 : -1;
    if (*info == 31) { *n = 0; return true; }
    if (bytes < 0 || r->end - r->at < bytes) return false;
    *n = bytes ? 0 : (uint64_t)*info;
    for (int i = 0; i < bytes; i++) *n = *n << 8 | *r->at++;
    return true;
}

static double half(uint64_t n) {
    int exponent = (int)(n >> 10 & 31), fraction = (int)(n & 1023);
    double value = exponent ? (1024 + fraction) : fraction;
    int shift = (exponent ? exponent : 1) - 25;
    for (; shift > 0; shift--) value *= 2;
    for (; shift < 0; shift++) value /= 2;
    return n >> 15 & 1 ? -value : value;
}

static struct val *read_val(struct reader *r);

static bool read_items(struct reader *r, struct val *v, uint64_t n, bool open, int per) {
    size_t cap = 0;
    for (uint64_t i = 0; open || i < n; i++) {
        if (open && r->at < r->end && *r->at == 0xff) { r->at++; break; }
        for (int k = 0; k < per; k++) {
            size_t at = v->count * (size_t)per + (size_t)k;
            if (at >= cap) { cap = cap ? cap * 2 : 8; v->items = realloc(v->items, cap * sizeof *v->items); }
            v->items[at] = read_val(r);
            if (!v->items[at]) return false;
        }
        v->count++;
    }
    return true;
}

static struct val *read_val(struct reader *r) {
    int major, info;
    uint64_t n;
    const unsigned char *start = r->at;
    if (++r->depth > 200 || !read_head(r, &major, &info, &n)) return NULL;
    struct val *v = alloc(sizeof *v);
    bool ok = true;
    switch (major) {
    case 0: v->kind = K_UINT; v->uint = n; break;
    case 1: v->kind = K_INT; v->real = -1.0 - (double)n; break;
    case 3:
        ok = info != 31 && (uint64_t)(r->end - r->at) >= n;
        if (!ok) break;
        v->kind = K_TEXT;
        v->text = alloc(n + 1);
        memcpy(v->text, r->at, n);
        r->at += n;
        break;
    case 4: v->kind = K_LIST; ok = read_items(r, v, n, info == 31, 1); break;
    case 5: v->kind = K_MAP; ok = read_items(r, v, n, info == 31, 2); break;
    case 7:
        if (info == 20 || info == 21) { v->kind = K_BOOL; v->truth = info == 21; }
        else if (info == 22 || info == 23) v->kind = K_NULL;
        else if (info == 25) { v->kind = K_REAL; v->real = half(n); }
        else if (info == 26) { uint32_t b = (uint32_t)n; float f; memcpy(&f, &b, 4); v->kind = K_REAL; v->real = (double)f; }
        else if (info == 27) { memcpy(&v->real, &n, 8); v->kind = K_REAL; }
        else ok = false;
        break;
    default: ok = false;
    }
    r->depth--;
    v->raw = start;
    v->raw_len = (size_t)(r->at - start);
    if (ok) return v;
    v->count = 0; /* what was read of a broken value is not freed */
    val_free(v);
    return NULL;
}

struct val *cbor_parse(const void *data, size_t len) {
    struct reader r = {data, (const unsigned char *)data + len, 0};
    return len ? read_val(&r) : NULL;
}

void val_free(struct val *v) {
    if (!v) return;
    size_t items = v->kind == K_MAP ? 2 * v->count : v->count;
    for (size_t i = 0; i < items; i++) val_free(v->items[i]);
    free(v->items);
    free(v->text);
    free(v);
}

const struct val *map_get(const struct val *map, const char *key) {
    if (!map || map->kind != K_MAP) return NULL;
    for (size_t i = 0; i < map->count; i++)
        if (map->items[2 * i]->kind == K_TEXT && !strcmp(map->items[2 * i]->text, key)) return map->items[2 * i + 1];
    return NULL;
}

const char *map_text(const struct val *map, const char *key) {
    const struct val *v = map_get(map, key);
    return v && v->kind == K_TEXT ? v->text : "";
}

uint64_t map_uint(const struct val *map, const char *key) {
    const struct val *v = map_get(map, key);
    return v && v->kind == K_UINT ? v->uint : 0;
}

double map_number(const struct val *map, const char *key) {
    const struct val *v = map_get(map, key);
    if (!v) return 0;
    return v->kind == K_UINT ? (double)v->uint : v->kind == K_REAL || v->kind == K_INT ? v->real : 0;
}

bool map_has(const struct val *map, const char *key) {
    const struct val *v = map_get(map, key);
    return v && v->kind != K_NULL;
}

/* ---- CBOR: writing ---- */

static void put_head(struct buf *b, int major, uint64_t n) {
    unsigned char head[9];
    int bytes = n < 24 ? 0 : n < 256 ? 1 : n < 65536 ? 2 : n < 4294967296ULL ? 4 : 8;
    head[0] = (unsigned char)(major << 5 | (bytes == 0 ? (int)n : bytes == 1 ? 24 : bytes == 2 ? 25 : bytes == 4 ? 26 : 27));
    for (int i = 0; i < bytes; i++) head[1 + i] = (unsigned char)(n >> 8 * (bytes - 1 - i));
    buf_add(b, head, (size_t)bytes + 1);
}

void put_map(struct buf *b, size_t pairs) { put_head(b, 5, pairs); }
void put_list(struct buf *b, size_t items) { put_head(b, 4, items); }
void put_uint(struct buf *b, uint64_t n) { put_head(b, 0, n); }
void put_text(struct buf *b, const char *text) {
    put_head(b, 3, strlen(text));
    buf_add(b, text, strlen(text));
}
void put_real(struct buf *b, double n) {
    unsigned char head[9] = {0xfb};
    uint64_t bits;
    memcpy(&bits, &n, 8);
    for (int i = 0; i < 8; i++) head[1 + i] = (unsigned char)(bits >> 8 * (7 - i));
    buf_add(b, head, 9);
}
void put_bool(struct buf *b, bool truth) { buf_add(b, truth ? "\xf5" : "\xf4", 1); }
void put_null(struct buf *b) { buf_add(b, "\xf6", 1); }

/* ---- timers ---- */

struct timer { ms_t at; uint64_t order; timer_fn fn; void *arg; uint64_t extra; };
static struct timer *timers;
static size_t timer_count, timer_cap;
static uint64_t timer_order;

void after(ms_t delay, timer_fn fn, void *arg, uint64_t extra) {
    if (timer_count == timer_cap) {
        timer_cap = timer_cap ? timer_cap * 2 : 64;
        timers = realloc(timers, timer_cap * sizeof *timers);
    }
    timers[timer_count++] = (struct timer){now_ms() + delay, ++timer_order, fn, arg, extra};
}

/* Returns the time until the next timer. */
static ms_t run_timers(void) {
    for (;;) {
        size_t best = timer_count;
        for (size_t i = 0; i < timer_count; i++)
            if (best == timer_count || timers[i].at < timers[best].at ||
                (timers[i].at == timers[best].at && timers[i].order < timers[best].order))
                best = i;
        if (best == timer_count) return 100;
        ms_t left = timers[best].at - now_ms();
        if (left > 0) return left < 100 ? left : 100;
        struct timer t = timers[best];
        timers[best] = timers[--timer_count];
        t.fn(t.arg, t.extra);
    }
}

/* ---- sockets ---- */

enum { FDS = 4096 };
typedef void (*fd_fn)(void *arg, short events);
static struct { fd_fn fn; void *arg; short events; } watched[FDS];
static int fd_top;

static void watch_fd(int fd, short events, fd_fn fn, void *arg) {
    if (fd >= FDS) abort();
    watched[fd].fn = fn;
    watched[fd].arg = arg;
    watched[fd].events = events;
    if (fd >= fd_top) fd_top = fd + 1;
}

static void close_fd(int fd) {
    watched[fd].fn = NULL;
    close(fd);
}

static void set_nonblocking(int fd) {
    int one = 1;
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
    fcntl(fd, F_SETFD, FD_CLOEXEC);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

static int bind_loopback(int port, int *bound) {
    struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port), .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof a;
    int one = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (fd < 0 || bind(fd, (struct sockaddr *)&a, size) < 0 || getsockname(fd, (struct sockaddr *)&a, &size) < 0) {
        perror("bind");
        exit(2);
    }
    *bound = ntohs(a.sin_port);
    return fd;
}

int reserve_port(void) {
    int port;
    bind_loopback(0, &port);
    return port;
}

static int listen_on(int *port) {
    int fd = bind_loopback(*port, port);
    if (listen(fd, 256) < 0) { perror("listen"); exit(2); }
    set_nonblocking(fd);
    return fd;
}

static int connect_to(int port) {
    struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port), .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    set_nonblocking(fd);
    if (connect(fd, (struct sockaddr *)&a, sizeof a) < 0 && errno != EINPROGRESS) { close(fd); return -1; }
    return fd;
}

/* false: the other side has ended */
static bool read_some(int fd, struct buf *in) {
    char chunk[16384];
    for (;;) {
        ssize_t n = read(fd, chunk, sizeof chunk);
        if (n > 0) { buf_add(in, chunk, (size_t)n); continue; }
        return n < 0 && (errno == EAGAIN || errno == EINTR);
    }
}

static void drop_front(struct buf *b, size_t n) {
    memmove(b->data, b->data + n, b->len - n);
    b->len -= n;
}

static bool write_some(int fd, struct buf *out) {
    while (out->len) {
        ssize_t n = send(fd, out->data, out->len, MSG_NOSIGNAL);
        if (n < 0) return errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
        drop_front(out, (size_t)n);
    }
    return true;
}

/* Returns the bytes of a whole message, 0 if it is not complete. */
static size_t whole_message(const struct buf *in, size_t *body, size_t *body_len, bool *closes) {
    if (in->len < 4) return 0;
    char *end = memmem(in->data, in->len, "\r\n\r\n", 4);
    if (!end) return 0;
    *body = (size_t)(end - (char *)in->data) + 4;
    *body_len = 0;
    *closes = false;
    for (char *line = (char *)in->data; line < end; line = strstr(line, "\r\n") + 2) {
        if (!strncasecmp(line, "content-length:", 15)) *body_len = strtoul(line + 15, NULL, 10);
        if (!strncasecmp(line, "connection: close", 17)) *closes = true;
    }
    return in->len >= *body + *body_len ? *body + *body_len : 0;
}

/* ---- server ---- */

struct listener { int fd; serve_fn fn; void *arg; };
struct conn { int fd; uint64_t id; struct listener *listener; struct buf in, out; bool busy, closes, ended; };
static uint64_t conn_ids;

static void conn_end(struct conn *c) {
    if (c->ended) return;
    close_fd(c->fd);
    buf_free(&c->in);
    buf_free(&c->out);
    c->ended = true;
    if (!c->busy) free(c); /* else the request still refers to it */
}

static void conn_advance(struct conn *c) {
    size_t body, body_len;
    bool closes;
    size_t taken = c->busy ? 0 : whole_message(&c->in, &body, &body_len, &closes);
    if (!taken) return;
    struct request *r = alloc(sizeof *r);
    r->conn = c;
    sscanf((char *)c->in.data, "%11s %511s", r->method, r->path);
    r->body = alloc(body_len + 1);
    memcpy(r->body, c->in.data + body, body_len);
    r->len = body_len;
    drop_front(&c->in, taken);
    c->busy = true;
    c->closes = closes;
    c->listener->fn(c->listener->arg, r);
}

static void on_conn(void *arg, short events) {
    struct conn *c = arg;
    bool open = true;
    if (events & (POLLIN | POLLHUP | POLLERR)) open = read_some(c->fd, &c->in);
    if (open && events & POLLOUT) open = write_some(c->fd, &c->out);
    if (!open) { conn_end(c); return; }
    watched[c->fd].events = (short)(POLLIN | (c->out.len ? POLLOUT : 0));
    conn_advance(c);
}

static void on_listener(void *arg, short events) {
    struct listener *l = arg;
    (void)events;
    for (;;) {
        int fd = accept(l->fd, NULL, NULL);
        if (fd < 0) return;
        set_nonblocking(fd);
        struct conn *c = alloc(sizeof *c);
        c->fd = fd;
        c->id = ++conn_ids;
        c->listener = l;
        watch_fd(fd, POLLIN, on_conn, c);
    }
}

int serve(serve_fn fn, void *arg) {
    struct listener *l = alloc(sizeof *l);
    int port = 0;
    l->fd = listen_on(&port);
    l->fn = fn;
    l->arg = arg;
    watch_fd(l->fd, POLLIN, on_listener, l);
    return port;
}

void drop(struct request *r) {
    struct conn *c = r->conn;
    free(r->body);
    free(r);
    c->busy = false;
    if (c->ended) free(c);
    else conn_end(c);
}

void reply(struct request *r, int status, const struct buf *body) {
    struct conn *c = r->conn;
    char head[128];
    free(r->body);
    free(r);
    c->busy = false;
    if (c->ended) { free(c); return; }
    int n = snprintf(head, sizeof head, "HTTP/1.1 %d x\r\nContent-Length: %zu\r\n%s\r\n", status, body ? body->len : 0,
                     c->closes ? "Connection: close\r\n" : "");
    buf_add(&c->out, head, (size_t)n);
    if (body && body->len) buf_add(&c->out, body->data, body->len);
    if (!write_some(c->fd, &c->out) || (c->closes && !c->out.len)) { conn_end(c); return; }
    watched[c->fd].events = (short)(POLLIN | (c->out.len ? POLLOUT : 0));
    conn_advance(c);
}

/* ---- client ---- */

struct client { int fd; struct buf in, out; bool busy; uint64_t serial; done_fn done; void *arg; };

struct client *client_new(void) {
    struct client *c = alloc(sizeof *c);
    c->fd = -1;
    return c;
}

bool client_is_open(const struct client *c) { return c->fd >= 0; }
bool client_is_busy(const struct client *c) { return c->busy; }

static void client_end(struct client *c) {
    if (c->fd >= 0) close_fd(c->fd);
    c->fd = -1;
    buf_free(&c->in);
    buf_free(&c->out);
}

static void client_finish(struct client *c, int status, const char *body, size_t len) {
    if (!c->busy) return;
    c->busy = false;
    c->serial++;
    c->done(c->arg, status, body, len);
}

void client_close(struct client *c) {
    client_end(c);
    client_finish(c, 0, NULL, 0);
}

static void on_client(void *arg, short events) {
    struct client *c = arg;
    bool open = !(events & POLLERR);
    if (open && events & POLLOUT) open = write_some(c->fd, &c->out);
    if (open && events & (POLLIN | POLLHUP)) open = read_some(c->fd, &c->in);
    if (c->fd >= 0) watched[c->fd].events = (short)(POLLIN | (c->out.len ? POLLOUT : 0));
    size_t body, body_len;
    bool closes;
    size_t taken = c->busy ? whole_message(&c->in, &body, &body_len, &closes) : 0;
    if (!taken) {
        if (!open) client_close(c);
        return;
    }
    struct buf in = c->in;
    memset(&c->in, 0, sizeof c->in);
    int status = 0;
    sscanf((char *)in.data, "HTTP/1.%*d %d", &status);
    if (!open || closes) client_end(c);
    client_finish(c, status, (char *)in.data + body, body_len);
    buf_free(&in);
}

static void on_client_timeout(void *arg, uint64_t serial) {
    struct client *c = arg;
    if (c->busy && c->serial == serial) client_close(c);
}

static void client_failed(void *arg, uint64_t serial) { on_client_timeout(arg, serial); }

void client_call(struct client *c, int port, const char *method, const char *path, const struct buf *body, ms_t timeout,
                 done_fn done, void *arg) {
    char head[700];
    if (c->busy) abort();
    c->busy = true;
    c->serial++;
    c->done = done;
    c->arg = arg;
    if (c->fd < 0) {
        c->fd = connect_to(port);
        if (c->fd >= 0) watch_fd(c->fd, POLLIN | POLLOUT, on_client, c);
    }
    if (c->fd < 0) { after(0, client_failed, c, c->serial); return; }
    int n = snprintf(head, sizeof head, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/cbor\r\nContent-Length: %zu\r\n\r\n",
                     method, path, body ? body->len : 0);
    buf_add(&c->out, head, (size_t)n);
    if (body && body->len) buf_add(&c->out, body->data, body->len);
    watched[c->fd].events = POLLIN | POLLOUT;
    after(timeout, on_client_timeout, c, c->serial);
}

/* ---- proxy ---- */

struct link { struct proxy *proxy; struct link *next; int fd[2]; struct buf out[2]; bool ended[2]; bool dead; };
struct proxy { int fd, port, target; enum proxy_mode mode; struct link *links; };
struct side { struct link *link; int which; };

static void link_end(struct link *l) {
    for (int i = 0; i < 2; i++) {
        if (l->fd[i] >= 0) close_fd(l->fd[i]);
        l->fd[i] = -1;
        buf_free(&l->out[i]);
    }
    l->dead = true;
}

static void link_pump(struct link *l) {
    if (l->dead || l->proxy->mode == PROXY_HOLD) return;
    for (int i = 0; i < 2; i++)
        if (!write_some(l->fd[i], &l->out[i])) { link_end(l); return; }
    for (int i = 0; i < 2; i++)
        if (l->ended[i] && !l->out[1 - i].len) { link_end(l); return; }
    for (int i = 0; i < 2; i++)
        watched[l->fd[i]].events = (short)((l->ended[i] ? 0 : POLLIN) | (l->out[i].len ? POLLOUT : 0));
}

static void on_side(void *arg, short events) {
    struct side *s = arg;
    struct link *l = s->link;
    if (l->dead) return;
    if (events & (POLLIN | POLLHUP | POLLERR) && !l->ended[s->which] && !read_some(l->fd[s->which], &l->out[1 - s->which])) {
        l->ended[s->which] = true;
        watched[l->fd[s->which]].fn = NULL; /* otherwise the end is reported for ever while packets are held */
    }
    link_pump(l);
}

static void on_proxy(void *arg, short events) {
    struct proxy *p = arg;
    (void)events;
    int fd = accept(p->fd, NULL, NULL);
    if (fd < 0) return;
    set_nonblocking(fd);
    int to = connect_to(p->target);
    if (to < 0) { close(fd); return; }
    struct link *l = alloc(sizeof *l);
    l->proxy = p;
    l->next = p->links;
    p->links = l;
    l->fd[0] = fd;
    l->fd[1] = to;
    for (int i = 0; i < 2; i++) {
        struct side *s = alloc(sizeof *s);
        s->link = l;
        s->which = i;
        watch_fd(l->fd[i], POLLIN, on_side, s);
    }
}

struct proxy *proxy_new(int *port, int target_port) {
    struct proxy *p = alloc(sizeof *p);
    p->fd = listen_on(&p->port);
    p->target = target_port;
    watch_fd(p->fd, POLLIN, on_proxy, p);
    *port = p->port;
    return p;
}

void proxy_set(struct proxy *p, enum proxy_mode mode) {
    if (p->mode == mode) return;
    if (p->mode == PROXY_REFUSE) {
        p->fd = listen_on(&p->port);
        watch_fd(p->fd, POLLIN, on_proxy, p);
    }
    p->mode = mode;
    if (mode == PROXY_REFUSE) {
        close_fd(p->fd);
        for (struct link *l = p->links; l; l = l->next) if (!l->dead) link_end(l);
    }
    if (mode == PROXY_PASS) for (struct link *l = p->links; l; l = l->next) link_pump(l);
}

/* ---- loop ---- */

void loop_until(ms_t end, bool (*finished)(void)) {
    static struct pollfd fds[FDS];
    while (now_ms() < end && !(finished && finished())) {
        ms_t wait = run_timers();
        int count = 0;
        for (int fd = 0; fd < fd_top; fd++)
            if (watched[fd].fn) fds[count++] = (struct pollfd){fd, watched[fd].events, 0};
        if (poll(fds, (nfds_t)count, (int)wait) <= 0) continue;
        for (int i = 0; i < count; i++)
            if (fds[i].revents && watched[fds[i].fd].fn) watched[fds[i].fd].fn(watched[fds[i].fd].arg, fds[i].revents);
    }
}
