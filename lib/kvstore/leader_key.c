#include "amberpin/kvstore/leader_key.h"

#include "amberpin/node/node.h"

void amb_guard_term(struct amb_txn *transaction, const struct amb_node *node) {
    amb_txn_guard(transaction, AMB_LEADER_KEY, node->election.term);
}
