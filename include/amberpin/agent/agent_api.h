/* Workers' requests. */
#ifndef AMBERPIN_WORKER_API_H
#define AMBERPIN_WORKER_API_H

#include "amberpin/http/http.h"

struct amb_node;

/* False: it is no worker's request. */
bool amb_agent_handle_request(struct amb_node *node, struct amb_http_req *request);

#endif
