/* The leader's key in the key-value store, whose revision is the leader's term, and the compare that ties a
 * write to it. */
#ifndef AMBERPIN_LEADER_KEY_H
#define AMBERPIN_LEADER_KEY_H

#include "amberpin/kvstore/transaction.h"

#define AMB_LEADER_KEY "a/leader"

struct amb_node;

/* For whatever a leader writes: the transaction is not committed once another node leads. */
void amb_txn_require_leadership(struct amb_txn *transaction, const struct amb_node *node);

#endif
