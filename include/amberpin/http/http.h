/* HTTP/1.1 server and client on the event loop, without blocking. */
#ifndef AMBERPIN_HTTP_H
#define AMBERPIN_HTTP_H

#include "amberpin/base/loop.h"

/* Statuses that the service gives or tells apart. */
enum amb_http_status {
    AMB_HTTP_NO_RESPONSE = 0, /* the request may have been carried out, or may be later */
    AMB_HTTP_OK = 200,
    AMB_HTTP_CREATED = 201,
    AMB_HTTP_BAD_REQUEST = 400,
    AMB_HTTP_NOT_FOUND = 404,
    AMB_HTTP_METHOD_NOT_ALLOWED = 405,
    AMB_HTTP_CONFLICT = 409,
    AMB_HTTP_CONTENT_TOO_LARGE = 413,
    AMB_HTTP_MISDIRECTED_REQUEST = 421,
    AMB_HTTP_UNPROCESSABLE_CONTENT = 422,
    AMB_HTTP_TOO_MANY_REQUESTS = 429,
    AMB_HTTP_HEAD_TOO_LARGE = 431,
    AMB_HTTP_NOT_IMPLEMENTED = 501,
    AMB_HTTP_SERVICE_UNAVAILABLE = 503,
    /* In place of a status: the response is longer than amb_http_client_set_max_response_bytes allows, and
       was not read. */
    AMB_HTTP_RESPONSE_TOO_LARGE = 1000,
};

/* ---- server ---- */

struct amb_http_server;
struct amb_http_connection;

/* A request that a handler was given; amb_http_reply frees it. */
struct amb_http_req {
    struct amb_http_connection *connection; /* NULL once the peer has gone */
    char method[12];
    char path[512]; /* without the query */
    char *body;     /* terminated, for the convenience of readers; may hold zeros */
    size_t body_len;
    amb_ms arrived_at; /* when it was read; only while the debug log is on */
    bool deferred;     /* its reply was put off until there was something to say */
};

/* Takes the request over: it must be replied to once, now or later. */
typedef void (*amb_http_handler)(void *arg, struct amb_http_req *request);

/* Listens at addr ("A.B.C.D:PORT") for at most max_connections. A request whose body is longer than
 * max_body_bytes is answered 413; a connection without a request is closed after idle_ms. NULL, with errno
 * set: it can't listen. The server lives as long as the process. */
struct amb_http_server *amb_server_open(const char *addr, int max_connections, size_t max_body_bytes,
                                        amb_ms idle_ms, amb_http_handler handler, void *arg);
/* Replies with len bytes of body (type: its Content-Type), and frees the request. retry_after_s 0: not
 * said. */
void amb_http_reply(struct amb_http_req *request, int status, const char *type, const void *body, size_t len,
                    int retry_after_s);
/* The same with a body of CBOR, which it frees; NULL: none. */
void amb_http_reply_cbor(struct amb_http_req *request, int status, struct amb_buf *body, int retry_after_s);

/* ---- client ---- */

struct amb_http_client_connection;

/* How a request ended: its status, or a value of enum amb_http_status in place of one. The body is good until
 * the function returns. */
typedef void (*amb_http_done)(void *arg, int status, const char *body, size_t len);

/* Sends a request to addr ("A.B.C.D:PORT") over an idle connection, or a new one. on_done is called exactly
 * once, from the loop, never from within this function. */
struct amb_http_client_connection *amb_http_call(const char *addr, const char *method, const char *path,
                                                 const char *type, const void *body, size_t len,
                                                 amb_ms timeout_ms, amb_http_done on_done, void *arg);
/* How many connections the client may have open; a call beyond it ends without a response. */
void amb_http_client_set_max_connections(int connections);
/* How many bytes a response may have, with its head. */
void amb_http_client_set_max_response_bytes(size_t bytes);

#endif
