#include "amberpin/zone_recovery/zone_silence.h"

#include "amberpin/base/log.h"
#include "amberpin/node/node.h"

#include <string.h>

struct zone_count { /* of a zone's machines that should report */
    uint32_t all, silent;
};

static void set_reach(struct amb_node *node, uint32_t zone, enum amb_zone_reach to, struct zone_count count) {
    static const char *const names[] = {"reached", "degraded", "unreachable"};
    enum amb_zone_reach *reach = &node->fleet.reach[zone];
    if (*reach == to) return;
    amb_info("zone %s: %s -> %s: %u of %u machines silent", node->catalog.zones[zone], names[*reach],
             names[to], count.silent, count.all);
    *reach = to;
}

static void count_machines(const struct amb_node *node, amb_ms now, struct zone_count counts[AMB_ZONES_MAX]) {
    for (const struct amb_machine *machine = node->fleet.all; machine; machine = machine->hh.next) {
        if (!amb_zone_machine_expected(node, machine, now)) continue;
        counts[machine->zone_index].all++;
        counts[machine->zone_index].silent += !amb_zone_machine_answers(node, machine, now);
    }
}

static enum amb_zone_reach reach_by_count(struct zone_count count) {
    switch (amb_zone_heard_of(count.all, count.silent)) {
    case AMB_ZONE_HEARD: return AMB_ZONE_REACHED;
    case AMB_ZONE_HEARD_PARTLY: return AMB_ZONE_DEGRADED;
    case AMB_ZONE_NOT_HEARD: return AMB_ZONE_UNREACHABLE;
    }
    return AMB_ZONE_REACHED;
}

void amb_zones_tick(struct amb_node *node, amb_ms now) {
    if (amb_zone_recovery_on(node)) { /* which then judges alone */
        amb_zone_verdicts_tick(node, now);
        amb_zone_order_tick(node, now);
        amb_zone_record_tick(node, now);
        return;
    }
    struct zone_count counts[AMB_ZONES_MAX] = {{0}};
    enum amb_zone_reach reach[AMB_ZONES_MAX];
    uint32_t unreachable = 0;
    count_machines(node, now, counts);
    bool learning = amb_zone_learning(node, now);
    for (uint32_t zone = 0; zone < AMB_ZONES_MAX; zone++) {
        reach[zone] = learning ? AMB_ZONE_REACHED : reach_by_count(counts[zone]);
        unreachable += reach[zone] == AMB_ZONE_UNREACHABLE;
    }
    for (uint32_t zone = 0; zone < AMB_ZONES_MAX; zone++) {
        /* Nobody heard from anywhere shows nothing of any zone; and one with a deputy is at work. */
        bool at_work =
            unreachable == node->catalog.zone_count || amb_lease_proxy_is_active_in_zone(node, (int)zone);
        if (at_work && reach[zone] == AMB_ZONE_UNREACHABLE) reach[zone] = AMB_ZONE_DEGRADED;
        set_reach(node, zone, reach[zone], counts[zone]);
        if (reach[zone] != AMB_ZONE_REACHED) node->fleet.out_of_reach_at[zone] = now;
    }
}

void amb_zones_clear(struct amb_node *node) {
    memset(node->fleet.reach, 0, sizeof node->fleet.reach);
    memset(node->fleet.out_of_reach_at, 0, sizeof node->fleet.out_of_reach_at);
    amb_zone_recovery_clear(node);
}

enum amb_zone_reach amb_zone_reach(const struct amb_node *node, int zone) {
    return zone >= 0 ? node->fleet.reach[zone] : AMB_ZONE_REACHED;
}

bool amb_zone_unreachable(const struct amb_node *node, int zone) {
    return amb_zone_reach(node, zone) == AMB_ZONE_UNREACHABLE;
}

bool amb_zone_recovers(const struct amb_node *node, int zone, amb_ms now) {
    if (zone < 0 || !node->fleet.out_of_reach_at[zone]) return false;
    return now - node->fleet.out_of_reach_at[zone] <= amb_zone_patience(node);
}
