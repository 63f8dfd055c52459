/* The leader's key in the state service, whose stamp is the leader's term, and the guard that ties a write to
 * it. */
#ifndef AMBERPIN_TERM_GUARD_H
#define AMBERPIN_TERM_GUARD_H

#include "amberpin/kvstore/client.h"

#define AMB_LEADER_KEY "a/leader"

struct amb_node;

/* For whatever a leader writes: it is not carried out once another leads. */
void amb_txn_require_leadership(struct amb_txn *transaction, const struct amb_node *node);

#endif
