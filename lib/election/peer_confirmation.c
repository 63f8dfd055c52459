#include "amberpin/election/peer_confirmation.h"

#include "amberpin/node/node.h"
#include "internal.h"

static const double SILENCE_HEARTBEATS = 3;

amb_ms election_heartbeat_periods(const struct amb_node *node, double count) {
    return (amb_ms)(node->settings.heartbeat_s * (count * 1000));
}

amb_ms amb_election_silence_timeout(const struct amb_node *node) {
    return election_heartbeat_periods(node, SILENCE_HEARTBEATS);
}

bool amb_election_peer_reaches_store(const struct amb_node *node, amb_ms now) {
    for (uint32_t i = 0; i < node->peers.count; i++) {
        const struct amb_peer *peer = &node->peers.list[i];
        if (peer->store_reachable && now - peer->last_heard_at < amb_election_silence_timeout(node))
            return true;
    }
    return false;
}

amb_ms amb_election_peers_confirmed_at(const struct amb_node *node, amb_ms now) {
    amb_ms oldest = now;
    for (uint32_t i = 0; i < node->peers.count; i++) {
        const struct amb_peer *peer = &node->peers.list[i];
        if (peer->confirmed_at < oldest) oldest = peer->confirmed_at;
    }
    return oldest;
}

/* A node that knows this term and does not lead never again answers an agent under an older term: to lead it
 * would have to be elected, which gives it a newer term. */
amb_ms amb_election_peers_fenced_at(const struct amb_node *node) {
    amb_ms fenced_at = node->controller.leader_since;
    for (uint32_t i = 0; i < node->peers.count; i++) {
        const struct amb_peer *peer = &node->peers.list[i];
        if (peer->fenced_term != node->election.term) return 0;
        if (peer->fenced_at > fenced_at) fenced_at = peer->fenced_at;
    }
    return fenced_at;
}

bool amb_election_has_better_connected_peer(const struct amb_node *node, amb_ms now) {
    bool any_heard = false;
    for (uint32_t i = 0; i < node->peers.count; i++) {
        const struct amb_peer *peer = &node->peers.list[i];
        if (now - peer->last_heard_at > amb_election_silence_timeout(node)) continue;
        any_heard = true;
        if (peer->receives_agent_heartbeats) return true;
    }
    return node->peers.count && !any_heard;
}
