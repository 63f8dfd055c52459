/* Small event loop, HTTP/1.1 and CBOR for the stand-ins of this review. Depends on libc only. */
#ifndef REVIEW_CORE_H
#define REVIEW_CORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef long long ms_t;
ms_t now_ms(void); /* steady clock */

struct buf { unsigned char *data; size_t len, cap; };
void buf_add(struct buf *b, const void *data, size_t len);
void buf_free(struct buf *b);

/* ---- CBOR ---- */
enum kind { K_NULL, K_BOOL, K_UINT, K_INT, K_REAL, K_TEXT, K_LIST, K_MAP };
struct val {
    enum kind kind;
    bool truth;
    uint64_t uint;
    double real;
    char *text;           /* with a terminating zero */
    struct val **items;   /* of a map: keys and values in turn */
    size_t count;         /* items of a list, pairs of a map */
    const unsigned char *raw; /* the encoded value within the parsed bytes */
    size_t raw_len;
};
struct val *cbor_parse(const void *data, size_t len); /* NULL: not valid */
void val_free(struct val *v);
const struct val *map_get(const struct val *map, const char *key);
const char *map_text(const struct val *map, const char *key);       /* "" if there is none */
uint64_t map_uint(const struct val *map, const char *key);          /* 0 if there is none */
double map_number(const struct val *map, const char *key);          /* 0 if there is none */
bool map_has(const struct val *map, const char *key);               /* present and not null */
void put_map(struct buf *b, size_t pairs);
void put_list(struct buf *b, size_t items);
void put_text(struct buf *b, const char *text);
void put_uint(struct buf *b, uint64_t n);
void put_real(struct buf *b, double n);
void put_bool(struct buf *b, bool truth);
void put_null(struct buf *b);

/* ---- timers ---- */
typedef void (*timer_fn)(void *arg, uint64_t extra);
void after(ms_t delay, timer_fn fn, void *arg, uint64_t extra);

/* ---- server ---- */
struct conn;
struct request { struct conn *conn; uint64_t conn_id; char method[12]; char path[512]; char *body; size_t len; };
typedef void (*serve_fn)(void *arg, struct request *request);
/* Listens on a free loopback port and returns it. The handler owns the request and answers it once. */
int serve(serve_fn fn, void *arg);
void reply(struct request *request, int status, const struct buf *body); /* frees the request */
void drop(struct request *request); /* frees the request without an answer */

/* ---- client ---- */
struct client;
typedef void (*done_fn)(void *arg, int status, const char *body, size_t len); /* status 0: no response */
struct client *client_new(void);
bool client_is_open(const struct client *c);
bool client_is_busy(const struct client *c);
void client_close(struct client *c); /* a call under way gets status 0 */
/* Uses the open connection, or opens one to the port. One call at a time. */
void client_call(struct client *c, int port, const char *method, const char *path, const struct buf *body,
                 ms_t timeout, done_fn done, void *arg);

/* ---- TCP proxy ---- */
enum proxy_mode { PROXY_PASS, PROXY_HOLD, PROXY_REFUSE };
struct proxy;
struct proxy *proxy_new(int *port, int target_port);
void proxy_set(struct proxy *p, enum proxy_mode mode);

int reserve_port(void); /* a free port that stays bound, without listening, for another process */
void loop_until(ms_t end, bool (*finished)(void));

#endif
