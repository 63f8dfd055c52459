/* Functions shared by the scale-out sources: scale_out_requests.c (the list of requests), scale_out_record.c
 * (the records in the key-value store) and scale_out_call.c (the leader's calls to the cloud). scale_out.c
 * drives them. */
#ifndef AMBERPIN_CLOUD_SCALE_OUT_INTERNAL_H
#define AMBERPIN_CLOUD_SCALE_OUT_INTERNAL_H

#include "amberpin/cloud/scale_out.h"

/* Sets the state of the request and logs the change. */
void scale_out_set_state(struct amb_scale_out_request *request, enum amb_scale_out_state to,
                         const char *cause);
/* Appends the request to the list, which takes ownership of it. */
void scale_out_append(struct amb_node *node, struct amb_scale_out_request *request);
/* Allocates a call for the request, and marks the request as in flight until scale_out_call_take. */
struct amb_cloud_call *scale_out_call_new(struct amb_node *node, struct amb_scale_out_request *request);
/* Returns the request that an answer belongs to, and sets *node. NULL: the term is over, or the request was
 * removed. Frees the call. */
struct amb_scale_out_request *scale_out_call_take(void *arg, struct amb_node **node);

/* Writes the record of the request. */
void scale_out_write_record(struct amb_node *node, struct amb_scale_out_request *request);
/* Removes the record of the request, and the request itself once the removal is confirmed. */
void scale_out_remove_record(struct amb_node *node, struct amb_scale_out_request *request);

/* Sends the request to the cloud. */
void scale_out_send(struct amb_node *node, struct amb_scale_out_request *request);

#endif
