/* What operators see of duties, and may ask for, on the listener for other controllers. */
#ifndef AMBERPIN_DUTY_DUTY_STATUS_H
#define AMBERPIN_DUTY_DUTY_STATUS_H

#include <stdbool.h>

struct amb_http_req;
struct amb_node;

/* Answers GET /duties and POST /duties/handover. False: the request is for something else. */
bool amb_duties_handle_request(struct amb_node *node, struct amb_http_req *request);

#endif
