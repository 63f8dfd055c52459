/* Non-blocking HTTP/1.1 server and client on the event loop. */
#ifndef AMBERPIN_HTTP_H
#define AMBERPIN_HTTP_H

#include "amberpin/base/loop.h"

/* Statuses that the service sends or distinguishes. */
enum amb_http_status {
    AMB_HTTP_NO_RESPONSE = 0, /* no response: the request may have been carried out, or may be later */
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
    /* Reported in place of a status: the response exceeds the limit of
       amb_http_client_set_max_response_bytes and was not read. */
    AMB_HTTP_RESPONSE_TOO_LARGE = 1000,
};

/* ---- server ---- */

struct amb_http_server;
struct amb_http_connection;

/* A request as passed to a handler; amb_http_reply frees it. */
struct amb_http_req {
    struct amb_http_connection *connection; /* NULL once the connection is closed */
    char method[12];
    char path[512]; /* without the query */
    /* Followed by a zero byte that body_len does not count; may contain zero bytes. Valid until the handler
       returns, so that a request whose reply is held back does not keep it. */
    char *body;
    size_t body_len;
    amb_ms arrived_at; /* when it was read; set only while debug logging is enabled */
    bool deferred;     /* its reply was held back until there was something to send */
};

/* Takes ownership of the request and must reply to it exactly once, now or later. */
typedef void (*amb_http_handler)(void *arg, struct amb_http_req *request);

/* Listens at addr ("A.B.C.D:PORT") and accepts at most max_connections. A request whose body is longer than
 * max_body_bytes is answered with 413; a connection without a request is closed after idle_ms. Returns NULL,
 * with errno set, if it cannot listen. The server exists until the process ends. */
struct amb_http_server *amb_server_open(const char *addr, int max_connections, size_t max_body_bytes,
                                        amb_ms idle_ms, amb_http_handler handler, void *arg);
/* Sets the limit of the memory that all requests hold that have arrived in part, in bytes; at least twice
 * max_body_bytes. Beyond it, the request that has been arriving for the longest time is answered with 503 and
 * Retry-After. Without this call there is no limit. */
void amb_server_set_max_input_bytes(struct amb_http_server *server, size_t bytes);
/* Replies with len bytes of body of Content-Type `type`, and frees the request. retry_after_s is the
 * Retry-After header; 0 omits it. */
void amb_http_reply(struct amb_http_req *request, int status, const char *type, const void *body, size_t len,
                    int retry_after_s);
/* Replies with a body of CBOR, which it frees, and frees the request. NULL: no body. */
void amb_http_reply_cbor(struct amb_http_req *request, int status, struct amb_buf *body, int retry_after_s);

/* ---- client ---- */

struct amb_http_client_connection;

/* Receives the outcome of a request: its status, or a value of enum amb_http_status in place of one. The body
 * is valid until the function returns. */
typedef void (*amb_http_done)(void *arg, int status, const char *body, size_t len);

/* Sends a request to addr ("A.B.C.D:PORT") over an idle connection, or a new one. on_done is called exactly
 * once, from the loop, never from within this function. */
struct amb_http_client_connection *amb_http_call(const char *addr, const char *method, const char *path,
                                                 const char *type, const void *body, size_t len,
                                                 amb_ms timeout_ms, amb_http_done on_done, void *arg);
/* Sets the limit of the client's open connections. A call beyond it ends with AMB_HTTP_NO_RESPONSE. */
void amb_http_client_set_max_connections(int connections);
/* Sets the limit of a response's size in bytes, including its head. */
void amb_http_client_set_max_response_bytes(size_t bytes);

#endif
