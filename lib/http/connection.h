/* Server side of a connection, which carries one request at a time. */
#ifndef AMBERPIN_HTTP_CONNECTION_H
#define AMBERPIN_HTTP_CONNECTION_H

#include "amberpin/http/http.h"
#include "stream.h"

enum amb_http_connection_state {
    AMB_HTTP_CONNECTION_READING,   /* reads a request, or waits for one */
    AMB_HTTP_CONNECTION_ANSWERING, /* the handler has the request */
    AMB_HTTP_CONNECTION_CLOSING,   /* closes once the rest of the response is written */
};

struct amb_http_connection {
    struct amb_http_stream stream;
    struct amb_http_server *server;
    enum amb_http_connection_state state;
    struct amb_http_req *request; /* the one that the handler has; NULL: none */
    size_t input_bytes;           /* as counted in the server's */
    amb_ms input_since; /* when the first byte of the request that arrives was read; 0: none arrives */
    struct amb_timer idle_timer;
    bool close_after_response;
    struct amb_http_connection *prev, *next; /* in the server's list */
};

struct amb_http_server {
    struct amb_fd_watch listener;
    int max_connections, connection_count;
    size_t max_body_bytes;
    amb_ms idle_ms;
    size_t max_input_bytes; /* limit of input_bytes */
    size_t input_bytes;     /* that connections have allocated for requests that have arrived in part */
    amb_http_handler handler;
    void *handler_arg;
    /* Connections, ordered by the time of their last change of state. */
    struct amb_http_connection *least_recent, *most_recent;
};

/* Serves the requests that arrive on this socket, and takes ownership of it. */
void amb_http_connection_open(struct amb_http_server *server, int fd);
/* Closes and frees the connection. A request that the handler still has stays valid; its reply is
 * discarded. */
void amb_http_connection_close(struct amb_http_connection *connection);

#endif
