/* HTTP/1.1: a parser, a server and a client, all without blocking. */
#ifndef AMBERPIN_HTTP_H
#define AMBERPIN_HTTP_H

#include "amberpin/base/loop.h"

enum { AMB_HTTP_HEAD_MAX = 8192 };

/* In place of a status: the answer is longer than amb_http_response_limit allows, and was not read. */
enum { AMB_HTTP_ANSWER_TOO_LONG = 1000 };

struct amb_http_msg {
    bool response;
    int status;        /* responses */
    char method[12];   /* requests */
    const char *path;  /* requests; not terminated, points into the input */
    size_t path_len;   /* without the query */
    const char *query; /* after '?', or NULL */
    size_t query_len;
    size_t body_at, body_len; /* within the input */
    bool close;
    int retry_after;
};

/* Looks for one message at the start of data. Returns the bytes it takes, 0 when more input is needed, or
 * the negative of the status that tells the sender what is wrong with it. */
long amb_http_parse(const char *data, size_t len, bool response, size_t body_max, struct amb_http_msg *out);

struct amb_http_req { /* lives until answered; conn is NULL once the peer has gone */
    struct amb_conn *conn;
    char method[12];
    char path[512];
    char *body;
    size_t body_len;
    amb_ms arrived_at; /* when it was read; only while the debug log is on */
    bool kept;         /* its answer was kept until there was something to say */
};

struct amb_server;
typedef void (*amb_http_handler)(void *arg, struct amb_http_req *req);

/* idle_ms: a connection without a request is closed after it; max: connections at most. */
/* max: connections; body_max: bytes of a request's body, or else 413. */
struct amb_server *amb_server_open(const char *addr, int max, size_t body_max, amb_ms idle_ms,
                                   amb_http_handler fn, void *arg);
void amb_http_reply(struct amb_http_req *request, int status, const char *type, const void *body, size_t len,
                    int retry_after_s);
/* With a body of CBOR, which it frees; NULL: none. */
void amb_reply_cbor(struct amb_http_req *request, int status, struct amb_buf *body, int retry_after_s);

/* status 0: no answer, the request may have been carried out or may be later. */
typedef void (*amb_http_done)(void *arg, int status, const char *body, size_t len);

struct amb_call;
struct amb_call *amb_http_call(const char *addr, const char *method, const char *path, const char *type,
                               const void *body, size_t len, amb_ms timeout, amb_http_done fn, void *arg);
void amb_http_client_limit(int max_connections);
void amb_http_response_limit(size_t bytes); /* of an answer, with its head */

#endif
