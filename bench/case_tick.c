/* What a leader does in each of its ticks, which come ten times a turn, whatever has changed: its look at all
 * machines, and at the records that are to be written. */
#include "cases.h"

static void *leader(const struct world_size *size) {
    return world_leader(size);
}

static void finish(void *input) {
    world_free(input);
}

static void look_at_machines(void *input) {
    amb_fleet_tick(input, amb_now());
}

static void *leader_with_zone_recovery(const struct world_size *size) {
    struct amb_node *node = world_leader(size);
    node->options.zone_recovery = 1;
    amb_zone_recovery_init(node);
    node->controller.leader_since = 0; /* long enough to judge */
    return node;
}

static void judge_zones(void *input) {
    amb_zones_tick(input, amb_now());
}

static void pump_records(void *input) {
    amb_placement_log_flush(input);
}

static const struct bench_case cases[] = {
    {"tick/machines", &world_sizes[2], leader, look_at_machines, finish, false},
    {"tick/machines", &world_sizes[3], leader, look_at_machines, finish, false},
    {"tick/machines", &world_sizes[4], leader, look_at_machines, finish, false},
    {"tick/machines", &world_sizes[5], leader, look_at_machines, finish, false},
    {"tick/machines", &world_sizes[6], leader, look_at_machines, finish, false},
    {"tick/zones", &world_sizes[2], leader, judge_zones, finish, false},
    {"tick/zones", &world_sizes[5], leader, judge_zones, finish, false},
    {"tick/zone-recovery", &world_sizes[1], leader_with_zone_recovery, judge_zones, finish, false},
    {"tick/zone-recovery", &world_sizes[2], leader_with_zone_recovery, judge_zones, finish, false},
    {"tick/zone-recovery", &world_sizes[3], leader_with_zone_recovery, judge_zones, finish, false},
    {"tick/zone-recovery", &world_sizes[5], leader_with_zone_recovery, judge_zones, finish, false},
    {"tick/records", &world_sizes[2], leader, pump_records, finish, false},
    {"tick/records", &world_sizes[3], leader, pump_records, finish, false},
    {"tick/records", &world_sizes[4], leader, pump_records, finish, false},
    {"tick/records", &world_sizes[5], leader, pump_records, finish, false},
    {"tick/records", &world_sizes[6], leader, pump_records, finish, false},
};

struct bench_cases bench_tick_cases(void) {
    return (struct bench_cases){cases, sizeof cases / sizeof *cases};
}
