/* The work of a leader in each tick, of which there are ten in a scheduling cycle, whether or not anything
 * changed: checking all machines and zones, and flushing the records that are to be written. */
#include "cases.h"

static void *leader(const struct world_size *size) {
    return world_leader(size);
}

static void finish(void *input) {
    world_free(input);
}

static void tick_fleet(void *input) {
    amb_fleet_tick(input, amb_now());
}

static void *leader_with_zone_recovery(const struct world_size *size) {
    struct amb_node *node = world_leader(size);
    node->options.zone_recovery = 1;
    amb_zone_recovery_init(node);
    node->controller.leader_since = 0; /* has led long enough to judge zones */
    return node;
}

static void tick_zones(void *input) {
    amb_zones_tick(input, amb_now());
}

static void flush_records(void *input) {
    amb_placement_log_flush(input);
}

static const struct bench_case cases[] = {
    {"tick/machines", &world_sizes[2], leader, tick_fleet, finish, false},
    {"tick/machines", &world_sizes[3], leader, tick_fleet, finish, false},
    {"tick/machines", &world_sizes[4], leader, tick_fleet, finish, false},
    {"tick/machines", &world_sizes[5], leader, tick_fleet, finish, false},
    {"tick/machines", &world_sizes[6], leader, tick_fleet, finish, false},
    {"tick/zones", &world_sizes[2], leader, tick_zones, finish, false},
    {"tick/zones", &world_sizes[5], leader, tick_zones, finish, false},
    {"tick/zone-recovery", &world_sizes[1], leader_with_zone_recovery, tick_zones, finish, false},
    {"tick/zone-recovery", &world_sizes[2], leader_with_zone_recovery, tick_zones, finish, false},
    {"tick/zone-recovery", &world_sizes[3], leader_with_zone_recovery, tick_zones, finish, false},
    {"tick/zone-recovery", &world_sizes[5], leader_with_zone_recovery, tick_zones, finish, false},
    {"tick/records", &world_sizes[2], leader, flush_records, finish, false},
    {"tick/records", &world_sizes[3], leader, flush_records, finish, false},
    {"tick/records", &world_sizes[4], leader, flush_records, finish, false},
    {"tick/records", &world_sizes[5], leader, flush_records, finish, false},
    {"tick/records", &world_sizes[6], leader, flush_records, finish, false},
};

struct bench_cases bench_tick_cases(void) {
    return (struct bench_cases){cases, sizeof cases / sizeof *cases};
}
