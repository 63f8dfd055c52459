/* Scenarios with three zones and five controllers in which a zone is lost and returns. Beside the rules, jobs
 * must recover in the promised order, and each class must serve again (tests/standin/recovery.c). */
#include "named_tests.h"
#include "standin.h"

enum { LENGTH_MS = 160000, OVERTIME_MS = 240000, SEEDS = 2, FAULTS = 10, LEADER = -1 };
enum { ZONE_A, ZONE_B, ZONE_C };
enum { LOSS_MS = 50000, LONG_CUT_MS = 45000, RETURN_MS = LOSS_MS + LONG_CUT_MS };

struct zone_scenario {
    const char *what;
    struct sim_fault faults[FAULTS]; /* ends with the first whose duration is 0 */
};

/* More replicas than two zones have capacity for. */
static const struct sim_size crowded = {5, 24, 64, 16, 3, 1000, 10000, 30000, 400, 60, 6};

static struct sim_result run_seed(const struct sim_size *size, const struct zone_scenario *scenario,
                                  uint64_t seed, unsigned load) {
    size_t count = 0;
    while (count < FAULTS && scenario->faults[count].lasts) count++;
    const struct sim_scenario config = {.size = size,
                                        .seed = seed,
                                        .length = LENGTH_MS,
                                        .load = SIM_LOAD_ZONAL | load,
                                        .faults = scenario->faults,
                                        .fault_count = count};
    return sim_run_until_done(&config, OVERTIME_MS);
}

static void run_scenarios(const struct zone_scenario *scenarios, size_t count) {
    const char *more = getenv("SIM_SEEDS"); /* sets the number of seeds, for longer runs than in CI */
    uint64_t seeds = more ? strtoull(more, NULL, 10) : SEEDS;
    uint32_t lost = 0;
    for (size_t i = 0; i < count; i++)
        for (uint64_t seed = 1; seed <= seeds; seed++) {
            struct sim_result result = run_seed(&sim_zonal, &scenarios[i], seed, SIM_LOAD_ZONE_RECOVERY);
            if (result.violation[0])
                fail_msg("%s, seed %llu: %s", scenarios[i].what, (unsigned long long)seed, result.violation);
            lost += result.lost_replicas[SIM_ASSISTANT];
        }
    if (lost < count * seeds)
        fail_msg("only %u replicas were lost in %zu scenarios", lost, count * (size_t)seeds);
}

static void a_zone_is_lost_and_comes_back(void **state) {
    (void)state;
    static const struct zone_scenario scenarios[] = {
        {"the first zone is cut off, which may contain the leader",
         {{SIM_CUT_ZONE, LOSS_MS, LONG_CUT_MS, ZONE_A}}},
        {"the second zone is cut off", {{SIM_CUT_ZONE, LOSS_MS, LONG_CUT_MS, ZONE_B}}},
        {"the third zone is cut off", {{SIM_CUT_ZONE, LOSS_MS, LONG_CUT_MS, ZONE_C}}},
        {"all its machines stop for good", {{SIM_LOSE_ZONE, LOSS_MS, 1, ZONE_B}}},
        {"half of the machines never come back",
         {{SIM_CUT_ZONE, LOSS_MS, LONG_CUT_MS, ZONE_B}, {SIM_LOSE_HALF_ZONE, LOSS_MS + 5000, 1, ZONE_B}}},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

/* The leader fails before, at and after each step of the recovery. A zone is judged lost after 3 s, its
 * machines are proven absent after 10 s, and a zone that returned counts as steady after 5 s. */
static void leader_failures_during_zone_recovery(void **state) {
    (void)state;
    static const struct zone_scenario scenarios[] = {
        {"at the loss", {{SIM_CUT_ZONE, LOSS_MS, LONG_CUT_MS, ZONE_C}, {SIM_KILL, LOSS_MS + 100, 1, LEADER}}},
        {"when the zone is judged lost",
         {{SIM_CUT_ZONE, LOSS_MS, LONG_CUT_MS, ZONE_C}, {SIM_KILL, LOSS_MS + 3300, 1, LEADER}}},
        {"at the proof of absence",
         {{SIM_CUT_ZONE, LOSS_MS, LONG_CUT_MS, ZONE_C}, {SIM_KILL, LOSS_MS + 10500, 1, LEADER}}},
        {"just before the return",
         {{SIM_CUT_ZONE, LOSS_MS, LONG_CUT_MS, ZONE_C}, {SIM_KILL, RETURN_MS - 500, 1, LEADER}}},
        {"as the zone returns",
         {{SIM_CUT_ZONE, LOSS_MS, LONG_CUT_MS, ZONE_C}, {SIM_KILL, RETURN_MS + 800, 1, LEADER}}},
        {"twice, before the zone is steady",
         {{SIM_CUT_ZONE, LOSS_MS, LONG_CUT_MS, ZONE_C},
          {SIM_KILL, RETURN_MS + 3000, 1, LEADER},
          {SIM_RESTART, RETURN_MS + 8000, 1, LEADER}}},
        {"after the zone is steady",
         {{SIM_CUT_ZONE, LOSS_MS, LONG_CUT_MS, ZONE_C}, {SIM_KILL, RETURN_MS + 6500, 1, LEADER}}},
        {"the leader is cut off from all but its workers",
         {{SIM_CUT_ZONE, LOSS_MS, LONG_CUT_MS, ZONE_C},
          {SIM_CUT_ALL_BUT_AGENTS, LOSS_MS + 6000, 15000, LEADER}}},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

/* Cuts that are just shorter or longer than the time to judge a zone lost and than a lease, and pauses
 * between cuts that are just shorter or longer than the time in which a zone must be steady. */
static void zones_flap(void **state) {
    (void)state;
    static const struct zone_scenario scenarios[] = {
        {"cuts shorter than the time to judge a zone lost",
         {{SIM_CUT_ZONE, LOSS_MS, 2600, ZONE_B}, {SIM_CUT_ZONE, LOSS_MS + 6000, 2600, ZONE_B}}},
        {"cuts just longer than the time to judge a zone lost",
         {{SIM_CUT_ZONE, LOSS_MS, 4500, ZONE_B}, {SIM_CUT_ZONE, LOSS_MS + 9000, 4500, ZONE_B}}},
        {"cuts just longer than a lease",
         {{SIM_CUT_ZONE, LOSS_MS, 11000, ZONE_B}, {SIM_CUT_ZONE, LOSS_MS + 20000, 11000, ZONE_B}}},
        {"pauses just shorter than the time to be steady",
         {{SIM_CUT_ZONE, LOSS_MS, 26000, ZONE_B},
          {SIM_CUT_ZONE, LOSS_MS + 30500, 26000, ZONE_B},
          {SIM_CUT_ZONE, LOSS_MS + 61000, 26000, ZONE_B}}},
        {"pauses just longer than the time to be steady",
         {{SIM_CUT_ZONE, LOSS_MS, 26000, ZONE_B}, {SIM_CUT_ZONE, LOSS_MS + 33000, 26000, ZONE_B}}},
        {"two zones in turn",
         {{SIM_CUT_ZONE, LOSS_MS, 26000, ZONE_B}, {SIM_CUT_ZONE, LOSS_MS + 30000, 26000, ZONE_C}}},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

static void zone_loss_with_other_faults(void **state) {
    (void)state;
    static const struct zone_scenario scenarios[] = {
        {"zones cut off from each other, with active lease proxies",
         {{SIM_ZONE_PARTITION, LOSS_MS, 30000, -1}, {SIM_CUT_ZONE, LOSS_MS + 60000, 20000, ZONE_B}}},
        {"the state service is out when the zone is judged lost",
         {{SIM_CUT_ZONE, LOSS_MS, LONG_CUT_MS, ZONE_C}, {SIM_STORE_OUTAGE, LOSS_MS + 2000, 12000, -1}}},
        {"the state service is out as the zone returns",
         {{SIM_CUT_ZONE, LOSS_MS, LONG_CUT_MS, ZONE_C},
          {SIM_STORE_OUTAGE, RETURN_MS - 1000, 9000, -1},
          {SIM_KILL, RETURN_MS + 4000, 1, LEADER}}},
        {"writes are late and unanswered",
         {{SIM_CUT_ZONE, LOSS_MS, LONG_CUT_MS, ZONE_C},
          {SIM_LATE_WRITES, LOSS_MS, 60000, 30},
          {SIM_KILL, RETURN_MS + 2000, 1, LEADER}}},
        {"jobs are cancelled after the loss",
         {{SIM_CUT_ZONE, LOSS_MS, LONG_CUT_MS, ZONE_B}, {SIM_CANCEL_BURST, LOSS_MS + 4000, 1, 12}}},
        {"the cloud has no capacity",
         {{SIM_CUT_ZONE, LOSS_MS, LONG_CUT_MS, ZONE_C}, {SIM_NO_CAPACITY, LOSS_MS, LONG_CUT_MS, -1}}},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

/* Two zones lack the capacity for all lost replicas, so only those of the class that recovers first are
 * placed while the zone is lost. Work that is left over at the end of such a scenario is not a fault. */
static void recovery_order_holds_when_crowded(void **state) {
    (void)state;
    static const struct zone_scenario scenarios[] = {
        {"a zone is cut off", {{SIM_CUT_ZONE, LOSS_MS, LONG_CUT_MS, ZONE_B}}},
        {"and the leader is killed",
         {{SIM_CUT_ZONE, LOSS_MS, LONG_CUT_MS, ZONE_C}, {SIM_KILL, LOSS_MS + 5000, 1, LEADER}}},
        {"all its machines stop for good", {{SIM_LOSE_ZONE, LOSS_MS, 1, ZONE_C}}},
    };
    for (size_t i = 0; i < ROWS(scenarios); i++)
        for (uint64_t seed = 1; seed <= 4; seed++) {
            struct sim_result result = run_seed(&crowded, &scenarios[i], seed, SIM_LOAD_ZONE_RECOVERY);
            bool unfinished =
                strstr(result.violation, "unfinished: ") || strstr(result.violation, "not_served: ");
            if (result.violation[0] && !unfinished)
                fail_msg("%s, seed %llu: %s", scenarios[i].what, (unsigned long long)seed, result.violation);
        }
}

/* The check of the recovery order must be able to fail: here the operators' settings promise the reversed
 * order. */
static void reversed_recovery_order_is_detected(void **state) {
    (void)state;
    static const struct zone_scenario scenario = {"a zone is cut off",
                                                  {{SIM_CUT_ZONE, LOSS_MS, LONG_CUT_MS, ZONE_B}}};
    uint32_t detected = 0;
    for (uint64_t seed = 1; seed <= 4; seed++) {
        struct sim_result result =
            run_seed(&crowded, &scenario, seed, SIM_LOAD_ZONE_RECOVERY | SIM_LOAD_REVERSED_RECOVERY_ORDER);
        detected += strstr(result.violation, "order: ") != NULL;
    }
    if (!detected) fail_msg("the reversed order was not detected with any seed");
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_zone_is_lost_and_comes_back),
        cmocka_unit_test(leader_failures_during_zone_recovery),
        cmocka_unit_test(zones_flap),
        cmocka_unit_test(zone_loss_with_other_faults),
        cmocka_unit_test(recovery_order_holds_when_crowded),
        cmocka_unit_test(reversed_recovery_order_is_detected),
    };
    if (!choose_named_test(tests, ROWS(tests), argc, argv)) return 2;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
