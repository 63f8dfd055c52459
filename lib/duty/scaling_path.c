#include "amberpin/duty/scaling_path.h"

#include "amberpin/node/node.h"

bool amb_duties_is_enabled(const struct amb_node *node) {
    return node->options.duties != 0;
}

void amb_duties_update_peer(struct amb_peer *peer, bool on) {
    peer->duties = on ? AMB_PEER_DUTIES_ON : AMB_PEER_DUTIES_OFF;
}

bool amb_duties_is_agreed(const struct amb_node *node) {
    if (!amb_duties_is_enabled(node)) return false;
    for (uint32_t i = 0; i < node->peers.count; i++) {
        enum amb_peer_duties peer_duties = node->peers.list[i].duties;
        if (peer_duties == AMB_PEER_DUTIES_OFF) return false;
        if (peer_duties == AMB_PEER_DUTIES_UNKNOWN && node->duties.mode == AMB_DUTY_MODE_LEADER) return false;
    }
    return true;
}

enum amb_scaling_path amb_duties_scaling_path(const struct amb_node *node) {
    const struct amb_duties *duties = &node->duties;
    /* Duties are disabled and were never in use, so the leader scales, whatever the other state. */
    if (!amb_duties_is_enabled(node) && !duties->mode_revision) return AMB_SCALING_BY_LEADER;
    if (duties->mode_write_pending || duties->mode_unknown) return AMB_SCALING_PAUSED;
    bool in_use = duties->mode == AMB_DUTY_MODE_DUTIES;
    if (amb_duties_is_agreed(node) != in_use) return AMB_SCALING_PAUSED;
    return in_use ? AMB_SCALING_BY_HOLDER : AMB_SCALING_BY_LEADER;
}
