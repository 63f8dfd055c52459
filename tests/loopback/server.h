/* Small HTTP server for the stand-ins, on the project's event loop and parser. Unlike the library's server it
 * passes the query to its handler, takes a port that the kernel chooses, and can leave a request unanswered.
 */
#ifndef AMBERPIN_TESTS_LOOPBACK_SERVER_H
#define AMBERPIN_TESTS_LOOPBACK_SERVER_H

#include "amberpin/base/util.h"

enum { PROOF_PATH = 400, PROOF_ADDRESS = 32 };

struct proof_connection;

struct proof_request {
    struct proof_connection *connection; /* NULL: the client has closed it */
    char method[12];
    char path[PROOF_PATH]; /* with the query */
    char *body;
    size_t len;
};

typedef void (*proof_handler)(void *arg, struct proof_request *request);

/* Listens on loopback and writes its address, with the port that the kernel chose, to `address`. */
void proof_serve(char address[PROOF_ADDRESS], proof_handler handler, void *arg);

/* Both free the request. */
void proof_reply(struct proof_request *request, int status, const void *body, size_t len);
void proof_leave_unanswered(struct proof_request *request); /* the client waits until its timeout */

#endif
