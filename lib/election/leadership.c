/* Queries about leadership for other modules. */
#include "amberpin/election/election.h"

#include "amberpin/node/node.h"
#include "internal.h"

#include <string.h>

/* Redirecting an agent to a node that is down costs it seconds of its lease, so a leader that was not heard
 * from for this many heartbeat periods is not named. */
static const double LEADER_HEARD_WITHIN_HEARTBEATS = 2.5;

bool amb_election_has_leader_role(const struct amb_node *node) {
    return node->election.role >= AMB_ROLE_LEADER;
}

bool amb_election_is_leader(const struct amb_node *node) {
    amb_ms now = amb_now();
    const struct amb_election_evidence evidence = election_contact_evidence(node, now);
    return amb_election_may_answer_agents(&node->election, now, &evidence);
}

bool amb_election_may_act(const struct amb_node *node) {
    return amb_election_has_valid_lease(&node->election, amb_now());
}

bool amb_election_may_start_tasks(const struct amb_node *node) {
    return amb_election_may_act(node) && amb_election_has_recent_renewal(&node->election, amb_now());
}

static bool was_heard_recently(const struct amb_node *node, const char *member) {
    amb_ms timeout = election_heartbeat_periods(node, LEADER_HEARD_WITHIN_HEARTBEATS);
    for (uint32_t i = 0; i < node->peers.count; i++) {
        const struct amb_peer *peer = &node->peers.list[i];
        if (!strcmp(peer->member, member)) return amb_now() - peer->last_heard_at < timeout;
    }
    return false;
}

/* The member named by the leader key, or a peer that leads under a higher term; NULL: none. */
static const char *latest_known_leader(const struct amb_node *node) {
    const struct amb_election *election = &node->election;
    const char *leader = election->holder[0] ? election->holder : NULL;
    uint64_t term = election->holder_revision;
    for (uint32_t i = 0; i < node->peers.count; i++) {
        const struct amb_peer *peer = &node->peers.list[i];
        if (!peer->is_leader || peer->term <= term) continue;
        leader = peer->member;
        term = peer->term;
    }
    return leader;
}

const char *amb_election_leader_name(const struct amb_node *node) {
    if (amb_election_is_leader(node)) return node->settings.member;
    const char *leader = latest_known_leader(node);
    if (!leader || !strcmp(leader, node->settings.member)) return NULL;
    return was_heard_recently(node, leader) ? leader : NULL;
}
