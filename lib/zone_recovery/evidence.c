/* What counts as silence of a machine, for whoever judges its zone. */
#include "amberpin/node/node.h"
#include "amberpin/zone_recovery/zone_recovery.h"

amb_ms amb_zone_heartbeat_timeout(const struct amb_node *node) {
    return amb_seconds_to_ms(node->settings.heartbeat_s * AMB_ZONE_MISSED_HEARTBEATS_MAX);
}

bool amb_zone_leader_is_warming_up(const struct amb_node *node, amb_ms now) {
    return now - node->controller.leader_since <= amb_zone_heartbeat_timeout(node);
}

bool amb_zone_machine_is_expected(const struct amb_node *node, const struct amb_machine *machine,
                                  amb_ms now) {
    if (machine->zone_index < 0 || machine->type_index < 0) return false;
    double boot_s = node->catalog.types[machine->type_index].boot_s;
    return machine->state != AMB_MACHINE_BOOTING ||
           now - machine->first_known_at >= amb_seconds_to_ms(boot_s * 2);
}

bool amb_zone_machine_is_responsive(const struct amb_node *node, const struct amb_machine *machine,
                                    amb_ms now) {
    return now - machine->last_heartbeat_at <= amb_zone_heartbeat_timeout(node);
}
