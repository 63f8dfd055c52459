/* Parses HTTP/1.1 messages whose Content-Length gives the size of the body; chunked bodies are rejected. */
#ifndef AMBERPIN_HTTP_PARSER_H
#define AMBERPIN_HTTP_PARSER_H

#include <stdbool.h>
#include <stddef.h>

enum { AMB_HTTP_HEAD_MAX = 8192 }; /* bytes, including the empty line that ends the head */

/* A parsed message. Its pointers and offsets refer to the input, which the caller owns. */
struct amb_http_message {
    bool is_response;
    int status;        /* responses only */
    char method[12];   /* requests only */
    const char *path;  /* requests only; no terminating zero */
    size_t path_len;   /* without the query */
    const char *query; /* after '?', or NULL */
    size_t query_len;
    size_t body_start, body_len;
    bool closes; /* the sender closes the connection after this message */
    int retry_after_s;
};

/* Parses one message at the start of data, whose body may have up to max_body_bytes. Returns the number of
 * bytes of the message, 0 if more input is needed, or the negated status that describes the error (400, 413,
 * 431, 501). */
long amb_http_parse(const char *data, size_t len, bool is_response, size_t max_body_bytes,
                    struct amb_http_message *message);

#endif
