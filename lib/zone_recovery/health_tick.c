#include "health_tick.h"

#include "amberpin/base/log.h"
#include "amberpin/node/node.h"
#include "lost_classes.h"
#include "machine_evidence.h"

/* The machines of one zone, as owned sets of machine numbers. */
struct zone_machines {
    roaring_bitmap_t *expected, *responsive;
};

/* The machines of all zones of the catalogue at one moment. */
struct zone_snapshot {
    uint32_t count;
    struct zone_machines zones[AMB_ZONES_MAX];
};

/* ---- evidence ---- */

static void take_snapshot(const struct amb_node *node, amb_ms now, struct zone_snapshot *snapshot) {
    snapshot->count = node->catalog.zone_count;
    for (uint32_t zone = 0; zone < snapshot->count; zone++)
        snapshot->zones[zone] = (struct zone_machines){roaring_bitmap_create(), roaring_bitmap_create()};
    for (const struct amb_machine *machine = node->fleet.machines; machine; machine = machine->hh.next) {
        if (!amb_zone_machine_is_expected(node, machine, now)) continue;
        const struct zone_machines *machines = &snapshot->zones[machine->zone_index];
        roaring_bitmap_add(machines->expected, machine->number);
        if (amb_zone_machine_is_responsive(node, machine, now))
            roaring_bitmap_add(machines->responsive, machine->number);
    }
}

static void free_snapshot(const struct zone_snapshot *snapshot) {
    for (uint32_t zone = 0; zone < snapshot->count; zone++) {
        roaring_bitmap_free(snapshot->zones[zone].expected);
        roaring_bitmap_free(snapshot->zones[zone].responsive);
    }
}

static uint64_t count_unresponsive(const struct zone_machines *machines) {
    return roaring_bitmap_andnot_cardinality(machines->expected, machines->responsive);
}

/* Is every zone unresponsive? If so, it is this node that cannot be reached. */
static bool are_all_zones_unresponsive(const struct zone_snapshot *snapshot) {
    for (uint32_t zone = 0; zone < snapshot->count; zone++) {
        const struct zone_machines *machines = &snapshot->zones[zone];
        uint64_t expected = roaring_bitmap_get_cardinality(machines->expected);
        if (amb_zone_classify_responsiveness(expected, count_unresponsive(machines)) != AMB_ZONE_UNRESPONSIVE)
            return false;
    }
    return true;
}

/* ---- health ---- */

static void publish_reachability(struct amb_node *node, uint32_t zone, amb_ms now) {
    static const enum amb_zone_reachability reachability_by_state[AMB_ZONE_HEALTH_STATES] = {
        [AMB_ZONE_HEALTHY] = AMB_ZONE_REACHABLE,
        [AMB_ZONE_SUSPECT] = AMB_ZONE_DEGRADED,
        [AMB_ZONE_LOST] = AMB_ZONE_UNREACHABLE,
        [AMB_ZONE_RETURNING] = AMB_ZONE_DEGRADED,
    };
    enum amb_zone_reachability reachability = reachability_by_state[node->zone_recovery.zones[zone].state];
    node->fleet.zone_reachability[zone] = reachability;
    if (reachability != AMB_ZONE_REACHABLE) node->fleet.zone_last_unreachable_at[zone] = now;
}

static void log_state(const struct amb_node *node, uint32_t zone, enum amb_zone_health_state previous,
                      const struct zone_machines *machines) {
    const struct amb_zone_health *health = &node->zone_recovery.zones[zone];
    amb_ms stability_period = amb_zone_health_stability_period(health, &node->zone_recovery.settings);
    amb_info("zone %s: %s -> %s: %llu of %llu machines unresponsive, %u unexpired zone losses, stability "
             "period %lld ms",
             node->catalog.zones[zone], amb_zone_health_state_name(previous),
             amb_zone_health_state_name(health->state), (unsigned long long)count_unresponsive(machines),
             (unsigned long long)roaring_bitmap_get_cardinality(machines->expected), health->losses,
             (long long)stability_period);
}

static void handle_state_change(struct amb_node *node, uint32_t zone, enum amb_zone_health_state previous,
                                amb_ms now) {
    enum amb_zone_health_state state = node->zone_recovery.zones[zone].state;
    if (state == AMB_ZONE_LOST) amb_zone_recovery_handle_loss(node, (int)zone, now);
    if (!amb_zone_health_state_admits_batch(previous) || !amb_zone_health_state_admits_batch(state))
        amb_zone_record_mark_dirty(node);
}

static void update_zone(struct amb_node *node, uint32_t zone, const struct zone_machines *machines,
                        bool all_unresponsive, amb_ms now) {
    struct amb_zone_health *health = &node->zone_recovery.zones[zone];
    enum amb_zone_health_state previous = health->state;
    const struct amb_zone_evidence evidence = {
        .expected = machines->expected,
        .responsive = machines->responsive,
        .lease_proxy_active = amb_lease_proxy_is_active_in_zone(node, (int)zone),
        .all_unresponsive = all_unresponsive,
    };
    if (!amb_zone_health_update(health, &node->zone_recovery.settings, &evidence, now)) return;
    log_state(node, zone, previous, machines);
    handle_state_change(node, zone, previous, now);
}

static void update_zones(struct amb_node *node, amb_ms now) {
    struct zone_snapshot snapshot;
    take_snapshot(node, now, &snapshot);
    bool all_unresponsive = are_all_zones_unresponsive(&snapshot);
    for (uint32_t zone = 0; zone < snapshot.count; zone++)
        update_zone(node, zone, &snapshot.zones[zone], all_unresponsive, now);
    free_snapshot(&snapshot);
}

void amb_zone_health_tick(struct amb_node *node, amb_ms now) {
    if (!amb_zone_leader_is_warming_up(node, now)) update_zones(node, now);
    for (uint32_t zone = 0; zone < node->catalog.zone_count; zone++) publish_reachability(node, zone, now);
}
