/* Bounds the memory of requests that have arrived in part, over all connections of a server. */
#ifndef AMBERPIN_HTTP_INPUT_LIMIT_H
#define AMBERPIN_HTTP_INPUT_LIMIT_H

#include "connection.h"

/* Counts the connection's input anew, after it has changed. */
void amb_http_input_count(struct amb_http_connection *connection);
/* Returns the connection whose request has been arriving for the longest time if the server holds more input
 * than its limit; otherwise NULL. Its caller is the slowest: one that sends at once is not kept from being
 * served by those that do not. */
struct amb_http_connection *amb_http_input_over_limit(const struct amb_http_server *server);

#endif
