/* Bounds the memory of requests that have arrived in part, over all connections of a server. */
#ifndef AMBERPIN_HTTP_INPUT_LIMIT_H
#define AMBERPIN_HTTP_INPUT_LIMIT_H

#include "connection.h"

/* Counts the connection's input anew, after it has changed. */
void amb_http_input_count(struct amb_http_connection *connection);
/* While the server holds more input than its limit, refuses the request that has been arriving for the
 * longest time: its caller is the slowest, and one that sends at once is not kept from being served by those
 * that do not. May close any connection of the server. */
void amb_http_input_enforce_limit(struct amb_http_server *server);

#endif
