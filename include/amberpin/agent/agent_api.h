/* HTTP requests of the machines' agents. */
#ifndef AMBERPIN_AGENT_API_H
#define AMBERPIN_AGENT_API_H

#include "amberpin/http/http.h"

struct amb_node;

/* Handles the request, now or later, if it is one of an agent. False: it is not, and is still to be handled.
 */
bool amb_agent_handle_request(struct amb_node *node, struct amb_http_req *request);

#endif
