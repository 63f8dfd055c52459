#include "machine_evidence.h"

#include "amberpin/node/node.h"

enum {
    MISSED_HEARTBEATS_MAX = 3, /* heartbeat periods after which a machine counts as unresponsive */
    BOOT_TIMES_MAX = 2,        /* a machine should have booted after this many boot times of its type */
};

amb_ms amb_zone_heartbeat_timeout(const struct amb_node *node) {
    return amb_seconds_to_ms(node->settings.heartbeat_s * MISSED_HEARTBEATS_MAX);
}

bool amb_zone_leader_is_warming_up(const struct amb_node *node, amb_ms now) {
    return now - node->controller.leader_since <= amb_zone_heartbeat_timeout(node);
}

bool amb_zone_machine_is_expected(const struct amb_node *node, const struct amb_machine *machine,
                                  amb_ms now) {
    if (machine->zone_index < 0 || machine->type_index < 0) return false;
    if (machine->state != AMB_MACHINE_BOOTING) return true;
    double boot_s = node->catalog.types[machine->type_index].boot_s;
    return now - machine->first_known_at >= amb_seconds_to_ms(boot_s * BOOT_TIMES_MAX);
}

bool amb_zone_machine_is_responsive(const struct amb_node *node, const struct amb_machine *machine,
                                    amb_ms now) {
    return now - machine->last_heartbeat_at <= amb_zone_heartbeat_timeout(node);
}
