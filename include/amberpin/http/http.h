/* HTTP/1.1: a parser, a server and a client, all without blocking. */
#ifndef AMBERPIN_HTTP_H
#define AMBERPIN_HTTP_H

#include "amberpin/base/loop.h"

enum { AMB_HTTP_HEAD_MAX = 8192 };

/* In place of a status: the answer is longer than amb_http_response_limit allows, and was not read. */
enum { AMB_HTTP_RESPONSE_TOO_LARGE = 1000 };

struct amb_http_message {
    bool is_response;
    int status;        /* responses */
    char method[12];   /* requests */
    const char *path;  /* requests; not terminated, points into the input */
    size_t path_len;   /* without the query */
    const char *query; /* after '?', or NULL */
    size_t query_len;
    size_t body_start, body_len; /* within the input */
    bool closes;
    int retry_after_s;
};

/* Looks for one message at the start of data. Returns the bytes it takes, 0 when more input is needed, or
 * the negative of the status that tells the sender what is wrong with it. */
long amb_http_parse(const char *data, size_t len, bool is_response, size_t max_body_bytes,
                    struct amb_http_message *message);

struct amb_http_req { /* lives until answered; conn is NULL once the peer has gone */
    struct amb_http_connection *connection;
    char method[12];
    char path[512];
    char *body;
    size_t body_len;
    amb_ms arrived_at; /* when it was read; only while the debug log is on */
    bool deferred;     /* its answer was kept until there was something to say */
};

struct amb_http_server;
typedef void (*amb_http_handler)(void *arg, struct amb_http_req *req);

/* idle_ms: a connection without a request is closed after it; max: connections at most. */
/* max: connections; body_max: bytes of a request's body, or else 413. */
struct amb_http_server *amb_server_open(const char *addr, int max_connections, size_t max_body_bytes,
                                        amb_ms idle_ms, amb_http_handler handler, void *arg);
void amb_http_reply(struct amb_http_req *request, int status, const char *type, const void *body, size_t len,
                    int retry_after_s);
/* With a body of CBOR, which it frees; NULL: none. */
void amb_http_reply_cbor(struct amb_http_req *request, int status, struct amb_buf *body, int retry_after_s);

/* status 0: no answer, the request may have been carried out or may be later. */
typedef void (*amb_http_done)(void *arg, int status, const char *body, size_t len);

struct amb_http_client_connection;
struct amb_http_client_connection *amb_http_call(const char *addr, const char *method, const char *path,
                                                 const char *type, const void *body, size_t len,
                                                 amb_ms timeout_ms, amb_http_done on_done, void *arg);
void amb_http_client_limit(int connections);
void amb_http_response_limit(size_t bytes); /* of an answer, with its head */

#endif
