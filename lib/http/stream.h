/* What the server's and the client's connections have in common: a non-blocking TCP socket in the event loop,
 * what was read from it, and what is still to be written to it. */
#ifndef AMBERPIN_HTTP_STREAM_H
#define AMBERPIN_HTTP_STREAM_H

#include "amberpin/base/loop.h"

#include <netinet/in.h>

enum { AMB_HTTP_READ_BYTES = 16 * 1024 }; /* read from a socket at a time */

struct amb_http_stream {
    struct amb_fd_watch watch; /* its fd is -1 when there is no socket */
    struct amb_buf input, output;
};

enum amb_http_stream_state { AMB_HTTP_STREAM_OPEN, AMB_HTTP_STREAM_ENDED };

/* Reads "A.B.C.D:PORT". False: the text is something else. */
bool amb_http_parse_address(const char *text, struct sockaddr_in *address);
/* A new socket that sends small writes at once. -1: none, with errno set. */
int amb_http_open_socket(void);

/* Appends all that can be read now to the input. */
enum amb_http_stream_state amb_http_stream_read(struct amb_http_stream *stream);
/* Writes as much of the output as the socket takes now. */
enum amb_http_stream_state amb_http_stream_write(struct amb_http_stream *stream);
/* Closes the socket if there is one, and frees the buffers. */
void amb_http_stream_close(struct amb_http_stream *stream);

#endif
