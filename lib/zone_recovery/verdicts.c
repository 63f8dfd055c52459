/* Verdicts on the zones, from the leader's table of machines. */
#include "amberpin/base/log.h"
#include "amberpin/node/node.h"
#include "amberpin/zone_recovery/zone_recovery.h"

struct zone_sets { /* of machines, by their numbers */
    roaring_bitmap_t *expected, *answering;
};

struct survey {
    uint32_t count;
    struct zone_sets zones[AMB_ZONES_MAX];
};

/* ---- evidence ---- */

static void survey_take(const struct amb_node *node, amb_ms now, struct survey *survey) {
    survey->count = node->catalog.zone_count;
    for (uint32_t zone = 0; zone < survey->count; zone++)
        survey->zones[zone] = (struct zone_sets){roaring_bitmap_create(), roaring_bitmap_create()};
    for (const struct amb_machine *machine = node->fleet.all; machine; machine = machine->hh.next) {
        if (!amb_zone_machine_expected(node, machine, now)) continue;
        const struct zone_sets *sets = &survey->zones[machine->zone_index];
        roaring_bitmap_add(sets->expected, machine->number);
        if (amb_zone_machine_answers(node, machine, now))
            roaring_bitmap_add(sets->answering, machine->number);
    }
}

static void survey_free(const struct survey *survey) {
    for (uint32_t zone = 0; zone < survey->count; zone++) {
        roaring_bitmap_free(survey->zones[zone].expected);
        roaring_bitmap_free(survey->zones[zone].answering);
    }
}

static uint64_t silent_of(const struct zone_sets *sets) {
    return roaring_bitmap_andnot_cardinality(sets->expected, sets->answering);
}

/* No zone is heard: it is this node that is out of reach. */
static bool nobody_heard(const struct survey *survey) {
    for (uint32_t zone = 0; zone < survey->count; zone++) {
        const struct zone_sets *sets = &survey->zones[zone];
        uint64_t expected = roaring_bitmap_get_cardinality(sets->expected);
        if (amb_zone_heard_of(expected, silent_of(sets)) != AMB_ZONE_NOT_HEARD) return false;
    }
    return true;
}

/* ---- verdicts ---- */

static void show_reach(struct amb_node *node, uint32_t zone, amb_ms now) {
    static const enum amb_zone_reach reach[AMB_ZONE_VERDICTS] = {AMB_ZONE_REACHED, AMB_ZONE_DEGRADED,
                                                                 AMB_ZONE_UNREACHABLE, AMB_ZONE_DEGRADED};
    node->fleet.reach[zone] = reach[node->zone_recovery.zones[zone].verdict];
    if (node->fleet.reach[zone] != AMB_ZONE_REACHED) node->fleet.out_of_reach_at[zone] = now;
}

static void verdict_changed(struct amb_node *node, uint32_t zone, enum amb_zone_verdict before,
                            const struct zone_sets *sets, amb_ms now) {
    const struct amb_zone_health *health = &node->zone_recovery.zones[zone];
    amb_ms steady = amb_zone_health_steady_time(health, &node->zone_recovery.settings);
    amb_info("zone %s: %s -> %s: %llu of %llu machines silent, %u losses count, steady for %lld ms is asked",
             node->catalog.zones[zone], amb_zone_verdict_name(before), amb_zone_verdict_name(health->verdict),
             (unsigned long long)silent_of(sets),
             (unsigned long long)roaring_bitmap_get_cardinality(sets->expected), health->losses,
             (long long)steady);
    if (health->verdict == AMB_ZONE_LOST) amb_zone_order_lost(node, (int)zone, now);
    if (!amb_zone_verdict_admits_batch(before) || !amb_zone_verdict_admits_batch(health->verdict))
        amb_zone_record_changed(node);
}

static void judge_zone(struct amb_node *node, uint32_t zone, const struct zone_sets *sets, bool nobody,
                       amb_ms now) {
    struct amb_zone_health *health = &node->zone_recovery.zones[zone];
    enum amb_zone_verdict before = health->verdict;
    const struct amb_zone_evidence evidence = {
        .expected = sets->expected,
        .answering = sets->answering,
        .deputy_at_work = amb_lease_proxy_is_active_in_zone(node, (int)zone),
        .nobody_heard = nobody,
    };
    if (amb_zone_health_update(health, &node->zone_recovery.settings, &evidence, now))
        verdict_changed(node, zone, before, sets, now);
}

static void judge_zones(struct amb_node *node, amb_ms now) {
    struct survey survey;
    survey_take(node, now, &survey);
    bool nobody = nobody_heard(&survey);
    for (uint32_t zone = 0; zone < survey.count; zone++)
        judge_zone(node, zone, &survey.zones[zone], nobody, now);
    survey_free(&survey);
}

void amb_zone_verdicts_tick(struct amb_node *node, amb_ms now) {
    if (!amb_zone_learning(node, now)) judge_zones(node, now);
    for (uint32_t zone = 0; zone < node->catalog.zone_count; zone++) show_reach(node, zone, now);
}

void amb_zone_recovery_clear(struct amb_node *node) {
    struct amb_zone_recovery *recovery = &node->zone_recovery;
    for (uint32_t zone = 0; zone < AMB_ZONES_MAX; zone++) amb_zone_health_free(&recovery->zones[zone]);
    recovery->order.count = 0;
    recovery->order_looked_at = 0;
    recovery->record = (struct amb_zone_record){.state = AMB_ZONE_RECORD_CURRENT};
}
