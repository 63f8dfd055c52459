/* What the peers' last words show of this node's lead and place. Nothing is asked or changed here. */
#include "amberpin/node/node.h"

static amb_ms patience(const struct amb_node *node) {
    return (amb_ms)(node->set.report_s * 3000);
}

bool amb_peer_store_ok(const struct amb_node *node, amb_ms now) {
    for (uint32_t i = 0; i < node->peers.count; i++) {
        const struct amb_peer *peer = &node->peers.list[i];
        if (peer->store_ok && now - peer->heard_at < patience(node)) return true;
    }
    return false;
}

amb_ms amb_peer_confirmed(const struct amb_node *node, amb_ms now) {
    amb_ms oldest = now;
    for (uint32_t i = 0; i < node->peers.count; i++) {
        const struct amb_peer *peer = &node->peers.list[i];
        if (peer->confirmed_at < oldest) oldest = peer->confirmed_at;
    }
    return oldest;
}

/* A node that knows our term and does not lead answers no report under an older one, nor can it ever again:
 * it would have to be elected, under a newer. */
amb_ms amb_peer_quiet(const struct amb_node *node) {
    amb_ms since = node->ctl.leading_since;
    for (uint32_t i = 0; i < node->peers.count; i++) {
        const struct amb_peer *peer = &node->peers.list[i];
        if (peer->quiet_term != node->election.term) return 0;
        if (peer->quiet_at > since) since = peer->quiet_at;
    }
    return since;
}

bool amb_peer_better_placed(const struct amb_node *node, amb_ms now) {
    bool heard = false;
    for (uint32_t i = 0; i < node->peers.count; i++) {
        const struct amb_peer *peer = &node->peers.list[i];
        if (now - peer->heard_at > patience(node)) continue;
        heard = true;
        if (peer->reports_arrive) return true;
    }
    return node->peers.count && !heard;
}
