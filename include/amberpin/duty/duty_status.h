/* Status of duties and requests for handovers, for operators, on the listener for other controllers. */
#ifndef AMBERPIN_DUTY_DUTY_STATUS_H
#define AMBERPIN_DUTY_DUTY_STATUS_H

#include <stdbool.h>

struct amb_http_req;
struct amb_node;

/* Handles GET /duties and POST /duties/handover. Returns false if the request is for another path or method.
 */
bool amb_duties_handle_request(struct amb_node *node, struct amb_http_req *request);

#endif
