/* How the members of the cluster divide the requests and writes per second that the key-value store allows
 * all of them together. One half of the writes is for users, whichever node they send their requests to. The
 * other half is for the records of the leader, the followers and the holders of single-holder duties. */
#ifndef AMBERPIN_TOKEN_BUDGET_H
#define AMBERPIN_TOKEN_BUDGET_H

#include "amberpin/kvstore/store.h"

/* Takes the share of a leader or of a follower. The leader's is larger. */
void amb_store_set_leadership(struct amb_store *store, bool is_leader);

/* Sets whether single-holder duties are in use, and which share (0 to 1) of all holders' writes the duties
 * held by this node may use. */
void amb_store_set_duty_share(struct amb_store *store, bool in_use, double share);

/* Call this when the store was found to have lowered its limits, which is permanent. `evidence` is for the
 * log. */
void amb_store_lower_limits(struct amb_store *store, const char *evidence);

/* Whether a write for a user could be sent now and still leave a share of the users' bucket (reserved_share,
 * 0 to 1) for more important jobs. */
bool amb_store_can_write_for_user(struct amb_store *store, uint32_t write_count, double reserved_share);

/* Counts a write that some node made for a user and that the watch reported. */
void amb_store_count_user_write(struct amb_store *store);

/* On the leader: lends write tokens that one half does not need to the other half. Returns the number of
 * tokens moved to the users' half, which every node must apply; negative: they were taken from it. */
double amb_store_lend_tokens(struct amb_store *store);

/* Adds the tokens that the leader has lent to the users' half; negative: removes those that it has taken. */
void amb_store_apply_token_loan(struct amb_store *store, double tokens);

#endif
