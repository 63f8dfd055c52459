/* A call to the state service about a job's record. The job, or the lead, may be gone when the call ends:
 * what it was about is found again by name. For the modules of the record only. */
#ifndef AMBERPIN_RECORD_CALL_H
#define AMBERPIN_RECORD_CALL_H

#include "amberpin/kvstore/client.h"
#include "amberpin/model/model.h"

struct amb_node;
struct amb_placement_log_call;

/* The argument of a call about this block, or about the job as a whole. */
struct amb_placement_log_call *amb_placement_log_call_new(struct amb_node *node,
                                                          const struct amb_placement_block *block);
struct amb_placement_log_call *amb_placement_log_call_new_for_job(struct amb_node *node,
                                                                  const struct amb_job *job);
/* What the call was about, if this node still leads under the term of the call and has it; else NULL. Frees
 * the call's memory. */
struct amb_placement_block *amb_placement_log_call_take_block(struct amb_placement_log_call *call,
                                                              struct amb_node **node);
struct amb_job *amb_placement_log_call_take_job(struct amb_placement_log_call *call, struct amb_node **node);

/* A guard did not hold: resigns if it was that one. */
void amb_placement_log_handle_conflict(struct amb_node *node, const cbor_item_t *body);

#endif
