/* Parser of HTTP/1.1 messages with a body of stated length; chunked bodies are refused. */
#ifndef AMBERPIN_HTTP_PARSER_H
#define AMBERPIN_HTTP_PARSER_H

#include <stdbool.h>
#include <stddef.h>

enum { AMB_HTTP_HEAD_MAX = 8192 }; /* bytes, with the empty line that ends the head */

/* A parsed message. Its pointers and offsets are into the input, which the caller keeps. */
struct amb_http_message {
    bool is_response;
    int status;        /* responses */
    char method[12];   /* requests */
    const char *path;  /* requests; not terminated */
    size_t path_len;   /* without the query */
    const char *query; /* after '?', or NULL */
    size_t query_len;
    size_t body_start, body_len;
    bool closes; /* the sender closes the connection after this message */
    int retry_after_s;
};

/* Looks for one message at the start of data, whose body may have max_body_bytes. Returns the bytes that it
 * takes, 0 when more input is needed, or the negative of the status that tells its sender what is wrong with
 * it (400, 413, 431, 501). */
long amb_http_parse(const char *data, size_t len, bool is_response, size_t max_body_bytes,
                    struct amb_http_message *message);

#endif
