/* Shared part of server and client connections: a non-blocking TCP socket in the event loop, the input read
 * from it and the output still to be written to it. */
#ifndef AMBERPIN_HTTP_STREAM_H
#define AMBERPIN_HTTP_STREAM_H

#include "amberpin/base/loop.h"

#include <netinet/in.h>

enum { AMB_HTTP_READ_BYTES = 16 * 1024 }; /* per read from a socket */

struct amb_http_stream {
    struct amb_fd_watch watch; /* its fd is -1 if there is no socket */
    struct amb_buf input, output;
};

enum amb_http_stream_state { AMB_HTTP_STREAM_OPEN, AMB_HTTP_STREAM_ENDED };

/* Parses "A.B.C.D:PORT". Returns false for any other text. */
bool amb_http_parse_address(const char *text, struct sockaddr_in *address);
/* Opens a socket with TCP_NODELAY. Returns -1, with errno set, on failure. */
int amb_http_open_socket(void);

/* Appends what can be read now to the input, until it is longer than max_bytes. */
enum amb_http_stream_state amb_http_stream_read(struct amb_http_stream *stream, size_t max_bytes);
/* Writes as much of the output as the socket accepts now. */
enum amb_http_stream_state amb_http_stream_write(struct amb_http_stream *stream);
/* Closes the socket if there is one, and frees the buffers. */
void amb_http_stream_close(struct amb_http_stream *stream);

#endif
