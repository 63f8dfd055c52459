/* The users' HTTP interface: /v1/jobs and the paths below it. */
#ifndef AMBERPIN_API_USER_API_H
#define AMBERPIN_API_USER_API_H

#include "amberpin/http/http.h"

struct amb_node;

/* Handles a request to this interface and takes ownership of it; the response may be sent later. Returns
 * false if the request is for another interface; it then stays the caller's. */
bool amb_api_handle_request(struct amb_node *node, struct amb_http_req *http_request);

#endif
