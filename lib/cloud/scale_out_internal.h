/* What the files of scale out share: scale_out_requests.c (the list), scale_out_record.c (the records in the
 * key-value store), scale_out_call.c (the leader's calls to the cloud). scale_out.c drives them. */
#ifndef AMBERPIN_CLOUD_SCALE_OUT_INTERNAL_H
#define AMBERPIN_CLOUD_SCALE_OUT_INTERNAL_H

#include "amberpin/cloud/scale_out.h"

/* Changes the state, and says so in the log. */
void scale_out_set_state(struct amb_scale_out_request *request, enum amb_scale_out_state to,
                         const char *cause);
/* Adds the request, which the list then owns, behind those that wait longer. */
void scale_out_append(struct amb_node *node, struct amb_scale_out_request *request);
/* A call for the request, which is in flight until scale_out_call_take. */
struct amb_cloud_call *scale_out_call_new(struct amb_node *node, struct amb_scale_out_request *request);
/* The request that an answer is for, and its node; NULL: the term is over, or the request was removed. Frees
 * the call. */
struct amb_scale_out_request *scale_out_call_take(void *arg, struct amb_node **node);

/* Writes the request's record. */
void scale_out_write_record(struct amb_node *node, struct amb_scale_out_request *request);
/* Removes the request's record; once it is gone, the request is removed too. */
void scale_out_remove_record(struct amb_node *node, struct amb_scale_out_request *request);

/* Requests the machines of the cloud. */
void scale_out_send(struct amb_node *node, struct amb_scale_out_request *request);

#endif
