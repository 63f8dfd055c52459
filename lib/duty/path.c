/* Which way machines are rented and returned: by the leader itself, or by orders to the holders of duties. */
#include "amberpin/node/node.h"

#include <jansson.h>

bool amb_duties_wanted(const struct amb_node *node) {
    return node->options.duties != 0;
}

void amb_duties_heard(struct amb_peer *peer, const json_t *said) {
    bool on = json_integer_value(json_object_get(said, "duties")) > 0;
    peer->duties = on ? AMB_PEER_DUTIES_ON : AMB_PEER_DUTIES_OFF;
}

/* Each peer's last word counts, however old. */
bool amb_duties_agreed(const struct amb_node *node) {
    if (!amb_duties_wanted(node)) return false;
    for (uint32_t i = 0; i < node->peers.count; i++) {
        enum amb_peer_duties said = node->peers.list[i].duties;
        if (said == AMB_PEER_DUTIES_OFF) return false;
        if (said == AMB_PEER_DUTIES_UNKNOWN && node->duties.mode == AMB_DUTY_MODE_LEADER) return false;
    }
    return true;
}

enum amb_rental_path amb_duties_path(const struct amb_node *node) {
    const struct amb_duties *duties = &node->duties;
    /* Off and never on: the leader rents, whatever the rest. */
    if (!amb_duties_wanted(node) && !duties->mode_stamp) return AMB_RENTAL_BY_LEADER;
    if (duties->mode_writing || duties->mode_unknown) return AMB_RENTAL_PAUSED;
    bool in_use = duties->mode == AMB_DUTY_MODE_DUTIES;
    if (amb_duties_agreed(node) != in_use) return AMB_RENTAL_PAUSED;
    return in_use ? AMB_RENTAL_BY_HOLDER : AMB_RENTAL_BY_LEADER;
}
