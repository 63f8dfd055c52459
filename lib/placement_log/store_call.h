/* The context of a request to the key-value store about a job or one of its blocks. The job, or this
 * controller's leadership, may be gone when the request ends: so the context holds names and no pointers to
 * them. */
#ifndef AMBERPIN_LIB_PLACEMENT_LOG_STORE_CALL_H
#define AMBERPIN_LIB_PLACEMENT_LOG_STORE_CALL_H

#include "amberpin/kvstore/client.h"
#include "amberpin/model/model.h"

struct amb_node;
struct amb_placement_log_call;

/* A context for a request about this block, or about the job as a whole. Owned by the request; freed by one
 * of the take functions. */
struct amb_placement_log_call *amb_placement_log_call_new(struct amb_node *node,
                                                          const struct amb_placement_block *block);
struct amb_placement_log_call *amb_placement_log_call_new_for_job(struct amb_node *node,
                                                                  const struct amb_job *job);
/* What the request was about, and the node that sent it. NULL: the node does not lead any more under the term
 * of the request, or the job is not active any more. Frees the context. */
struct amb_placement_block *amb_placement_log_call_take_block(struct amb_placement_log_call *call,
                                                              struct amb_node **node);
struct amb_job *amb_placement_log_call_take_job(struct amb_placement_log_call *call, struct amb_node **node);

/* A transaction was refused because a comparison failed, with this response: resigns if it was the comparison
 * with the leader key. */
void amb_placement_log_handle_conflict(struct amb_node *node, const cbor_item_t *body);

#endif
