#include "amberpin/zone_recovery/reachability.h"

#include "amberpin/base/log.h"
#include "amberpin/node/node.h"
#include "health_tick.h"
#include "machine_evidence.h"

#include <string.h>

/* Counts of the machines of one zone. */
struct machine_count {
    uint32_t expected, unresponsive;
};

static void set_reachability(struct amb_node *node, uint32_t zone, enum amb_zone_reachability next,
                             struct machine_count count) {
    static const char *const names[] = {
        [AMB_ZONE_REACHABLE] = "reached",
        [AMB_ZONE_DEGRADED] = "degraded",
        [AMB_ZONE_UNREACHABLE] = "unreachable",
    };
    enum amb_zone_reachability *current = &node->fleet.zone_reachability[zone];
    if (*current == next) return;
    amb_info("zone %s: %s -> %s: %u of %u machines unresponsive", node->catalog.zones[zone], names[*current],
             names[next], count.unresponsive, count.expected);
    *current = next;
}

static void count_machines(const struct amb_node *node, amb_ms now,
                           struct machine_count counts[AMB_ZONES_MAX]) {
    for (const struct amb_machine *machine = node->fleet.machines; machine; machine = machine->hh.next) {
        if (!amb_zone_machine_is_expected(node, machine, now)) continue;
        counts[machine->zone_index].expected++;
        counts[machine->zone_index].unresponsive += !amb_zone_machine_is_responsive(node, machine, now);
    }
}

static enum amb_zone_reachability classify_count(struct machine_count count) {
    switch (amb_zone_classify_responsiveness(count.expected, count.unresponsive)) {
    case AMB_ZONE_RESPONSIVE: return AMB_ZONE_REACHABLE;
    case AMB_ZONE_PARTLY_RESPONSIVE: return AMB_ZONE_DEGRADED;
    case AMB_ZONE_UNRESPONSIVE: return AMB_ZONE_UNREACHABLE;
    }
    return AMB_ZONE_REACHABLE;
}

/* Do the missing heartbeats have another cause than an unreachable zone? If no zone responds, it is this node
 * that cannot be reached. If a lease proxy is active in the zone, a controller there can answer the zone's
 * agents and keep their tasks running: only the network between that zone and this node is at fault. */
static bool is_unreachability_ruled_out(const struct amb_node *node, uint32_t zone,
                                        uint32_t unreachable_zones) {
    return unreachable_zones == node->catalog.zone_count ||
           amb_lease_proxy_is_active_in_zone(node, (int)zone);
}

static void update_by_counts(struct amb_node *node, amb_ms now) {
    struct machine_count counts[AMB_ZONES_MAX] = {{0}};
    enum amb_zone_reachability reachability[AMB_ZONES_MAX];
    uint32_t unreachable = 0;
    count_machines(node, now, counts);
    bool warming_up = amb_zone_leader_is_warming_up(node, now);
    for (uint32_t zone = 0; zone < AMB_ZONES_MAX; zone++) {
        reachability[zone] = warming_up ? AMB_ZONE_REACHABLE : classify_count(counts[zone]);
        unreachable += reachability[zone] == AMB_ZONE_UNREACHABLE;
    }
    for (uint32_t zone = 0; zone < AMB_ZONES_MAX; zone++) {
        if (reachability[zone] == AMB_ZONE_UNREACHABLE &&
            is_unreachability_ruled_out(node, zone, unreachable))
            reachability[zone] = AMB_ZONE_DEGRADED;
        set_reachability(node, zone, reachability[zone], counts[zone]);
        if (reachability[zone] != AMB_ZONE_REACHABLE) node->fleet.zone_last_unreachable_at[zone] = now;
    }
}

void amb_zones_tick(struct amb_node *node, amb_ms now) {
    if (!amb_zone_recovery_is_enabled(node)) {
        update_by_counts(node, now);
        return;
    }
    amb_zone_health_tick(node, now);
    amb_zone_recovery_order_tick(node, now);
    amb_zone_record_tick(node, now);
}

void amb_zones_clear(struct amb_node *node) {
    memset(node->fleet.zone_reachability, 0, sizeof node->fleet.zone_reachability);
    memset(node->fleet.zone_last_unreachable_at, 0, sizeof node->fleet.zone_last_unreachable_at);
    amb_zone_recovery_clear(node);
}

enum amb_zone_reachability amb_zone_get_reachability(const struct amb_node *node, int zone) {
    return zone >= 0 ? node->fleet.zone_reachability[zone] : AMB_ZONE_REACHABLE;
}

bool amb_zone_is_unreachable(const struct amb_node *node, int zone) {
    return amb_zone_get_reachability(node, zone) == AMB_ZONE_UNREACHABLE;
}

bool amb_zone_is_recovering(const struct amb_node *node, int zone, amb_ms now) {
    if (zone < 0 || !node->fleet.zone_last_unreachable_at[zone]) return false;
    return now - node->fleet.zone_last_unreachable_at[zone] <= amb_zone_heartbeat_timeout(node);
}
