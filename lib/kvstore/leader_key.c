#include "amberpin/kvstore/leader_key.h"

#include "amberpin/node/node.h"

void amb_txn_require_leadership(struct amb_txn *transaction, const struct amb_node *node) {
    amb_txn_compare(transaction, AMB_LEADER_KEY, node->election.term);
}
