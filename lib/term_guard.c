#include "amberpin/term_guard.h"

#include "amberpin/node.h"

void amb_guard_term(struct amb_txn *txn, const struct amb_node *node) {
    amb_txn_guard(txn, AMB_LEADER_KEY, node->election.term);
}
