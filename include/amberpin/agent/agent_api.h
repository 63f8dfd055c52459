/* The HTTP interface for the machines' agents. */
#ifndef AMBERPIN_AGENT_API_H
#define AMBERPIN_AGENT_API_H

#include "amberpin/http/http.h"

struct amb_node;

/* Handles an agent's request; the response may be sent later. Returns false if the request is not an agent's,
 * and leaves it to the caller. */
bool amb_agent_handle_request(struct amb_node *node, struct amb_http_req *request);

#endif
