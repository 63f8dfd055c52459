/* The context of a request to the key-value store about a job or one of its blocks. The job may be inactive,
 * or this controller may have lost the leadership, when the request ends. So the context holds the term, the
 * job's name and the block's id, but no pointers to the job or the block. */
#ifndef AMBERPIN_LIB_PLACEMENT_LOG_STORE_CALL_H
#define AMBERPIN_LIB_PLACEMENT_LOG_STORE_CALL_H

#include "amberpin/kvstore/client.h"
#include "amberpin/model/model.h"

struct amb_node;
struct amb_placement_log_call;

/* Create a context for a request about this block, or about the job as a whole. The request owns it; one of
 * the take functions frees it. */
struct amb_placement_log_call *amb_placement_log_call_new(struct amb_node *node,
                                                          const struct amb_placement_block *block);
struct amb_placement_log_call *amb_placement_log_call_new_for_job(struct amb_node *node,
                                                                  const struct amb_job *job);
/* Return the block or the job that the request was about, and the node that sent it; free the context. NULL
 * means that the node no longer leads under the term of the request, or that the job is no longer active. */
struct amb_placement_block *amb_placement_log_call_take_block(struct amb_placement_log_call *call,
                                                              struct amb_node **node);
struct amb_job *amb_placement_log_call_take_job(struct amb_placement_log_call *call, struct amb_node **node);

/* Handles the response to a transaction that was refused because a comparison failed. The controller resigns
 * if it was the comparison with the leader key. */
void amb_placement_log_handle_conflict(struct amb_node *node, const struct amb_cbor_item *body);

#endif
