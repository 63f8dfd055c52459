/* The users' interface: /v1/jobs and what is below it. */
#ifndef AMBERPIN_USER_API_H
#define AMBERPIN_USER_API_H

#include "amberpin/http/http.h"

struct amb_node;

/* Takes the request over and answers it, now or later. False: it is not of this interface, and stays the
 * caller's. */
bool amb_api_handle_request(struct amb_node *node, struct amb_http_req *http_request);

#endif
