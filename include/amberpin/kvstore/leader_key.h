/* The leader key in the key-value store. Its revision is the leader's term, and a compare of that revision
 * makes a transaction conditional on the leadership. */
#ifndef AMBERPIN_LEADER_KEY_H
#define AMBERPIN_LEADER_KEY_H

#include "amberpin/kvstore/transaction.h"

#define AMB_LEADER_KEY "a/leader"

struct amb_node;

/* Adds a compare by which the transaction fails once another node leads. Every write of a leader needs it. */
void amb_txn_require_leadership(struct amb_txn *transaction, const struct amb_node *node);

#endif
