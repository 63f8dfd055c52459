#include "amberpin/zone_recovery/availability.h"

#include "amberpin/node/node.h"

bool amb_zone_is_returning(const struct amb_node *node, int zone) {
    return zone >= 0 && node->zone_recovery.zones[zone].state == AMB_ZONE_RETURNING;
}

uint32_t amb_zones_unavailable(const struct amb_node *node) {
    uint32_t mask = 0;
    for (uint32_t zone = 0; zone < node->catalog.zone_count; zone++)
        if (!amb_zone_health_state_admits_batch(node->zone_recovery.zones[zone].state)) mask |= 1u << zone;
    return mask;
}

uint32_t amb_zones_without_batch(const struct amb_node *node) {
    return node->zone_recovery.record.unavailable_zones | amb_zones_unavailable(node);
}
