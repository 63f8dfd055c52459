/* The users' interface: /v1/jobs and what is below it. */
#ifndef AMBERPIN_USER_API_H
#define AMBERPIN_USER_API_H

#include "amberpin/http/http.h"

struct amb_node;

/* Answers the request now or later; false: it is not of this interface. */
bool amb_api_handle_request(struct amb_node *node, struct amb_http_req *user_request);

#endif
