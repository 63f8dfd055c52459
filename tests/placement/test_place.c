/* Bin packing: which slots are feasible (resources, zones, spread, spot instances), and which one is
 * preferred. */
#include "amberpin/placement/bin_packing.h"
#include "check.h"

enum { A, B };

static void check_best_slot(const char *what, const struct amb_placement_request *request,
                            const struct amb_slot *slots, uint32_t count, bool include_releasing, int want) {
    int got = amb_placement_find_best(request, slots, count, include_releasing);
    if (got != want) fail_msg("%s: %d instead of %d", what, got, want);
}

/* Slot 0 is empty and in zone A, slot 1 half full and in A, slot 2 a spot instance in B, slot 3 in B with the
 * image and of type 1, and slot 4 not usable. Machines have 8 GPUs. */
static const struct amb_slot mixed_slots[] = {
    {.available = {64, 8, 500},
     .size_gpus = 8,
     .zone = A,
     .usable = true,
     .start_risk = 1,
     .reserved_priority = -1},
    {.available = {32, 4, 250},
     .size_gpus = 8,
     .zone = A,
     .usable = true,
     .start_risk = 1,
     .planned_tasks = 4,
     .reserved_priority = -1},
    {.available = {64, 8, 500},
     .size_gpus = 8,
     .zone = B,
     .spot = true,
     .usable = true,
     .start_risk = 1,
     .reserved_priority = -1},
    {.available = {8, 1, 60},
     .releasing_soon = {8, 1, 60},
     .size_gpus = 8,
     .type = 1,
     .zone = B,
     .has_image = true,
     .usable = true,
     .planned_tasks = 7,
     .reserved_priority = -1},
    {.available = {64, 8, 500}, .size_gpus = 8, .zone = A, .has_image = true, .reserved_priority = -1},
};

static void finds_best_slot(void **state) {
    (void)state;
    static const uint32_t no_tasks[AMB_ZONES_MAX] = {0}, two_in_a[AMB_ZONES_MAX] = {2, 0};
    static const struct {
        const char *what;
        struct amb_resources need;
        uint32_t type_mask;
        int zone;
        bool spot_allowed;
        const uint32_t *tasks_by_zone;
        uint32_t max_tasks_per_zone;
        bool include_releasing;
        int want;
    } rows[] = {
        {"the slot with the image", {8, 1, 40}, 3, -1, false, no_tasks, 0, false, 3},
        {"the fullest slot where it fits", {8, 2, 40}, 3, -1, false, no_tasks, 0, false, 1},
        {"spot if allowed", {8, 2, 40}, 3, -1, true, no_tasks, 0, false, 2},
        {"too large for the half-full slot", {8, 5, 40}, 3, -1, false, no_tasks, 0, false, 0},
        {"only zone B, spot not allowed", {8, 2, 40}, 3, B, false, no_tasks, 0, false, -1},
        {"resources about to be released", {16, 2, 80}, 3, B, false, no_tasks, 0, true, 3},
        {"image on a type that is not allowed", {8, 1, 40}, 1, -1, false, no_tasks, 0, false, 1},
        {"no slot of an allowed type", {8, 1, 40}, 4, -1, false, no_tasks, 0, false, -1},
        {"spread: zone A is at its limit", {8, 1, 40}, 1, -1, true, two_in_a, 2, false, 2},
        {"spread: no other zone is feasible", {8, 2, 40}, 1, -1, false, two_in_a, 2, false, -1},
        {"too little memory", {8, 1, 501}, 3, -1, true, no_tasks, 0, false, -1},
        {"too few cores", {65, 1, 10}, 3, -1, true, no_tasks, 0, false, -1},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        const struct amb_placement_request request = {.need = rows[i].need,
                                                      .type_mask = rows[i].type_mask,
                                                      .zone = rows[i].zone,
                                                      .spot_allowed = rows[i].spot_allowed,
                                                      .tasks_by_zone = rows[i].tasks_by_zone,
                                                      .max_tasks_per_zone = rows[i].max_tasks_per_zone,
                                                      .priority = AMB_PRIORITY_HIGH};
        check_best_slot(rows[i].what, &request, mixed_slots, ROWS(mixed_slots), rows[i].include_releasing,
                        rows[i].want);
    }
}

/* Tasks without GPUs prefer machines whose GPUs are in use, even to a spot instance, so that whole machines
 * stay free for work that needs GPUs. */
static void tasks_without_gpus_avoid_free_gpus(void **state) {
    (void)state;
    static const uint32_t none[AMB_ZONES_MAX] = {0};
    static const struct amb_slot slots[] = {
        {.available = {64, 8, 500},
         .size_gpus = 8,
         .zone = A,
         .spot = true,
         .has_image = true,
         .usable = true,
         .reserved_priority = -1},
        {.available = {64, 8, 500},
         .size_gpus = 8,
         .zone = A,
         .has_image = true,
         .usable = true,
         .reserved_priority = -1},
        {.available = {16, 4, 250},
         .size_gpus = 8,
         .zone = A,
         .has_image = true,
         .usable = true,
         .planned_tasks = 4,
         .reserved_priority = -1},
        {.available = {4, 0, 100},
         .size_gpus = 8,
         .zone = A,
         .has_image = true,
         .usable = true,
         .planned_tasks = 8,
         .reserved_priority = -1},
        {.available = {64, 0, 500}, .zone = B, .has_image = true, .usable = true, .reserved_priority = -1},
        {.available = {64, 0, 500},
         .zone = B,
         .spot = true,
         .has_image = true,
         .usable = true,
         .reserved_priority = -1},
    };
    static const struct {
        const char *what;
        struct amb_resources need;
        int zone, want;
    } rows[] = {
        {"the machine with all GPUs in use", {2, 0, 10}, A, 3},
        {"does not fit there: the one with most GPUs in use", {8, 0, 10}, A, 2},
        {"fits on empty machines only", {32, 0, 10}, A, 0},
        {"machines without GPUs: the spot instance", {2, 0, 10}, B, 5},
        {"needs a GPU: the spot instance", {2, 1, 10}, A, 0},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        for (int deferrable = 0; deferrable < 2; deferrable++) {
            struct amb_placement_request request = {rows[i].need,
                                                    1,
                                                    rows[i].zone,
                                                    true,
                                                    none,
                                                    0,
                                                    false,
                                                    AMB_PRIORITY_BEST_EFFORT,
                                                    .deferrable = deferrable};
            check_best_slot(rows[i].what, &request, slots, ROWS(slots), false, rows[i].want);
        }
    }
}

/* Replicas are placed on machines that run replicas, even if another machine is fuller with batch work. */
static void long_running_tasks_share_machines(void **state) {
    (void)state;
    static const uint32_t none[AMB_ZONES_MAX] = {0};
    static const struct amb_slot slots[] = {
        {.available = {64, 2, 500},
         .size_gpus = 8,
         .zone = A,
         .usable = true,
         .start_risk = 1,
         .planned_tasks = 6,
         .reserved_priority = -1},
        {.available = {64, 4, 500},
         .size_gpus = 8,
         .zone = A,
         .usable = true,
         .start_risk = 1,
         .planned_tasks = 2,
         .reserved_priority = -1,
         .long_running_gpus = 4},
    };
    struct amb_placement_request request = {.need = {8, 2, 40},
                                            .type_mask = 1,
                                            .zone = -1,
                                            .tasks_by_zone = none,
                                            .long_running = true,
                                            .priority = AMB_PRIORITY_HIGH};
    assert_int_equal(amb_placement_find_best(&request, slots, ROWS(slots), false), 1);
    request.long_running = false;
    assert_int_equal(amb_placement_find_best(&request, slots, ROWS(slots), false), 0);
}

/* A machine reserved for expected work is not used by batch work that can wait, is the last choice of batch
 * work that can't, and may be used by work that would be preempted for the expected work. */
static void reserved_machines(void **state) {
    (void)state;
    static const uint32_t none[AMB_ZONES_MAX] = {0};
    static const struct amb_slot slots[] = {
        {.available = {64, 8, 500},
         .size_gpus = 8,
         .zone = A,
         .has_image = true,
         .usable = true,
         .reserved_priority = AMB_PRIORITY_NORMAL},
        {.available = {64, 8, 500},
         .size_gpus = 8,
         .zone = A,
         .usable = true,
         .start_risk = 1,
         .reserved_priority = -1},
    };
    static const struct {
        enum amb_priority priority;
        bool deferrable, can_wait, opportunistic;
        uint32_t slots;
        int want;
    } rows[] = {
        {AMB_PRIORITY_NORMAL, false, false, false, 2, 0},
        {AMB_PRIORITY_NORMAL, true, false, false, 2, 1},
        {AMB_PRIORITY_NORMAL, true, false, false, 1, 0},
        {AMB_PRIORITY_NORMAL, true, true, false, 1, -1},
        {AMB_PRIORITY_BEST_EFFORT, true, true, false, 1, 0},
        {AMB_PRIORITY_BEST_EFFORT, true, true, true, 1, -1},
        {AMB_PRIORITY_BEST_EFFORT, true, false, true, 1, 0},
        {AMB_PRIORITY_BEST_EFFORT, true, false, true, 2, 1},
        {AMB_PRIORITY_BEST_EFFORT, false, false, true, 1, 0},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_placement_request request = {
            .need = {8, 1, 40}, .type_mask = 1, .zone = -1, .tasks_by_zone = none};
        request.priority = rows[i].priority;
        request.deferrable = rows[i].deferrable;
        request.can_wait = rows[i].can_wait;
        request.opportunistic = rows[i].opportunistic;
        int got = amb_placement_find_best(&request, slots, rows[i].slots, false);
        if (got != rows[i].want) fail_msg("row %zu: %d", i, got);
    }
    /* A machine claimed by a gang is not used by batch work at all, which would otherwise take the resources
     * preempted for the gang as soon as they are released. */
    struct amb_slot claimed = slots[0];
    claimed.claimed_by_gang = true;
    struct amb_placement_request request = {
        {8, 1, 40}, 1, -1, false, none, 0, false, AMB_PRIORITY_NORMAL, true, .can_wait = false};
    assert_int_equal(amb_placement_find_best(&request, &claimed, 1, false), -1);
    request.deferrable = false;
    assert_int_equal(amb_placement_find_best(&request, &claimed, 1, false), 0);
}

/* What counts is whether the start is in time: fetches that are certain to be late score about the same, and
 * so do fetches that are certain to be in time. */
static void start_risk_estimates_late_starts(void **state) {
    (void)state;
    static const struct {
        const char *what;
        double fetch_s, within_s, slack_s, low, high;
    } rows[] = {
        {"no fetch", 0, 10, 1, 0, 0},
        {"certainly in time", 14, 40, 1, 0, 0.06},
        {"as likely in time as late", 9, 10, 1, 0.5, 0.6},
        {"certainly late", 14, 10, 1, 0.99, 1},
        {"much later: hardly worse", 40, 10, 1, 0.99, 1},
        {"no start objective: share of the runtime", 10, 40, -1, 0.25, 0.25},
        {"no start objective: at most 1", 80, 40, -1, 1, 1},
        {"no time given", 10, 0, 1, 0, 0},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        double got = amb_placement_start_risk(rows[i].fetch_s, rows[i].within_s, rows[i].slack_s);
        if (got < rows[i].low || got > rows[i].high) fail_msg("%s: %g", rows[i].what, got);
    }
}

static void max_tasks_per_zone_is_half_rounded_up(void **state) {
    (void)state;
    static const uint32_t rows[][2] = {{1, 1}, {2, 1}, {3, 2}, {5, 3}, {9, 5}, {10, 5}};
    for (size_t i = 0; i < ROWS(rows); i++)
        assert_int_equal(amb_placement_max_tasks_per_zone(rows[i][0]), rows[i][1]);
}

static void catalog_indexes_types_and_zones(void **state) {
    (void)state;
    struct amb_catalog catalog = {.type_count = 1, .types = {{.name = "g8"}}};
    assert_int_equal(amb_catalog_find_type(&catalog, "g8"), 0);
    assert_int_equal(amb_catalog_find_type(&catalog, "g9"), -1);
    assert_int_equal(amb_catalog_find_or_add_zone(&catalog, ""), -1);
    assert_int_equal(amb_catalog_find_or_add_zone(&catalog, "a"), 0);
    assert_int_equal(amb_catalog_find_or_add_zone(&catalog, "b"), 1);
    assert_int_equal(amb_catalog_find_or_add_zone(&catalog, "a"), 0);
    char name[16];
    for (int i = 0; i < 2 * AMB_ZONES_MAX; i++) {
        snprintf(name, sizeof name, "z%d", i);
        amb_catalog_find_or_add_zone(&catalog, name);
    }
    assert_int_equal(catalog.zone_count, AMB_ZONES_MAX);
}

/* Work was preempted for a gang on the machine. Until the gang is placed, work that would have to be
 * preempted again is not placed there. */
static void machines_claimed_by_gang(void **state) {
    (void)state;
    static const uint32_t none[AMB_ZONES_MAX] = {0};
    static const struct amb_slot slots[] = {
        {.available = {64, 8, 500},
         .size_gpus = 8,
         .zone = A,
         .has_image = true,
         .usable = true,
         .reserved_priority = AMB_PRIORITY_NORMAL,
         .claimed_by_gang = true},
    };
    static const struct {
        const char *what;
        enum amb_priority priority;
        bool deferrable;
        int want;
    } rows[] = {
        {"deferrable batch work", AMB_PRIORITY_NORMAL, true, -1},
        {"the gang", AMB_PRIORITY_NORMAL, false, 0},
        {"lower priority with a start objective", AMB_PRIORITY_BEST_EFFORT, false, -1},
        {"higher priority", AMB_PRIORITY_HIGH, false, 0},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_placement_request request = {
            .need = {2, 0, 10}, .type_mask = 1, .zone = -1, .tasks_by_zone = none};
        request.priority = rows[i].priority;
        request.deferrable = rows[i].deferrable;
        check_best_slot(rows[i].what, &request, slots, ROWS(slots), false, rows[i].want);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(finds_best_slot),
        cmocka_unit_test(tasks_without_gpus_avoid_free_gpus),
        cmocka_unit_test(long_running_tasks_share_machines),
        cmocka_unit_test(machines_claimed_by_gang),
        cmocka_unit_test(reserved_machines),
        cmocka_unit_test(start_risk_estimates_late_starts),
        cmocka_unit_test(max_tasks_per_zone_is_half_rounded_up),
        cmocka_unit_test(catalog_indexes_types_and_zones),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
