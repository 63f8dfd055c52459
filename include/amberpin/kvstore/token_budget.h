/* How the members of the cluster divide what the key-value store allows them together: requests and changes a
 * second. One half of the changes is for users, whichever node they come to; the other half is for what the
 * leader, the followers and the holders of single-holder duties record. */
#ifndef AMBERPIN_TOKEN_BUDGET_H
#define AMBERPIN_TOKEN_BUDGET_H

#include "amberpin/kvstore/store.h"

/* Takes the share of a leader or of a follower: the leader writes most. */
void amb_store_set_leadership(struct amb_store *store, bool is_leader);

/* Whether single-holder duties are in use, and which part (0 to 1) of all holders' writes the duties held
 * here may use. */
void amb_store_set_duty_share(struct amb_store *store, bool in_use, double share);

/* The store has been seen to have lowered its limits, which is for good; `evidence` goes to the log. */
void amb_store_lower_limits(struct amb_store *store, const char *evidence);

/* Whether a write for a user could be sent now, and leave a part of the users' bucket (reserved_share, 0 to
 * 1) for jobs that are more important. */
bool amb_store_can_write_for_user(struct amb_store *store, uint32_t write_count, double reserved_share);

/* Some node's write for a user has been seen among the changes. */
void amb_store_count_user_write(struct amb_store *store);

/* The leader's: lends write tokens that one half does not need to the other. Returns how many went to the
 * users' half, for every node to apply; negative: were taken from it. */
double amb_store_lend_tokens(struct amb_store *store);

/* Applies to the users' half what the leader has lent to it, or taken from it if negative. */
void amb_store_apply_token_loan(struct amb_store *store, double tokens);

#endif
