/* Collects evidence for the election's state machine: the node's contact with the store, its peers and its
 * agents. */
#include "internal.h"

#include "amberpin/election/peer_confirmation.h"
#include "amberpin/node/node.h"

static bool expects_agent_heartbeats(const struct amb_node *node) {
    for (const struct amb_machine *machine = node->fleet.machines; machine; machine = machine->hh.next)
        if (machine->state == AMB_MACHINE_UP || machine->task_count) return true;
    return false;
}

/* A leader that no agent reaches serves nobody while it holds the lease. Another node should lead if agents
 * reach that node, or if this node reaches no peer either. */
static bool is_unreachable_by_agents(const struct amb_node *node, amb_ms now) {
    amb_ms silence = amb_election_silence_timeout(node);
    if (node->election.role != AMB_ROLE_LEADER || !node->controller.restored_at) return false;
    if (now - node->controller.leader_since < silence) return false;
    if (now - node->fleet.last_heartbeat_at < silence) return false;
    return expects_agent_heartbeats(node) && amb_election_has_better_connected_peer(node, now);
}

struct amb_election_evidence election_contact_evidence(const struct amb_node *node, amb_ms now) {
    return (struct amb_election_evidence){.watch_sent_at = node->watch.last_read_sent_at,
                                          .peers_queried_at = amb_election_peers_confirmed_at(node, now)};
}

struct amb_election_evidence election_full_evidence(const struct amb_node *node, amb_ms now) {
    struct amb_election_evidence evidence = election_contact_evidence(node, now);
    evidence.unreachable = is_unreachable_by_agents(node, now);
    return evidence;
}
