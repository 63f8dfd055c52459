#include "amberpin/kvstore/leader_key.h"

#include "amberpin/node/node.h"

void amb_guard_term(struct amb_txn *txn, const struct amb_node *node) {
    amb_txn_guard(txn, AMB_LEADER_KEY, node->election.term);
}
