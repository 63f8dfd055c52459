/* Scenarios in which controllers are upgraded a few at a time from the production version to the present one,
 * so that both versions run side by side, and in which the state service lowers its limits afterwards. */
#include "check.h"
#include "named_tests.h"
#include "standin.h"

#include "amberpin/base/log.h"

enum { LENGTH_MS = 300000, SEEDS = 3 };

static const struct sim_size fleet = {3, 20, 24, 40, 3, 1000, 10000, 30000, 200, 20, 3};

struct scenario {
    const char *what;
    unsigned load;
    struct sim_fault faults[6];
    size_t count;
    amb_ms length; /* 0: LENGTH_MS */
};

static bool plans_upgrade(const struct scenario *scenario) {
    for (size_t i = 0; i < scenario->count; i++)
        if (scenario->faults[i].kind == SIM_UPGRADE) return true;
    return false;
}

static void run_seed(const struct scenario *scenario, uint64_t seed) {
    if (!sim_is_production_available()) fail_msg("the production version is not in the repository's history");
    struct sim_result result = sim_run(&(struct sim_scenario){
        .size = &fleet,
        .seed = seed,
        .length = scenario->length ? scenario->length : LENGTH_MS,
        .load = scenario->load,
        .faults = scenario->faults,
        .fault_count = scenario->count,
    });
    if (getenv("SIM_TRACE"))
        printf(
            "%s, seed %llu: %u accepted, %u done, %u cancelled, %u open, upgraded at %lld; of dependent jobs "
            "%u accepted, %u done, %u cancelled with a dependency; %u refused for size, %u for rate; %s\n",
            scenario->what, (unsigned long long)seed, result.accepted, result.done, result.cancelled,
            result.open_jobs, (long long)result.upgraded_at, result.dependents, result.dependents_done,
            result.dependents_cancelled, result.size_refusals, result.rate_refusals, result.violation);
    if (result.violation[0])
        fail_msg("%s, seed %llu: %s", scenario->what, (unsigned long long)seed, result.violation);
    if ((scenario->load & SIM_LOAD_PIPELINES) &&
        (result.dependents < 15 || result.dependents_done < 4 || result.dependents_cancelled < 2))
        fail_msg("%s, seed %llu: of dependent jobs %u accepted, %u done, %u cancelled", scenario->what,
                 (unsigned long long)seed, result.dependents, result.dependents_done,
                 result.dependents_cancelled);
    if (plans_upgrade(scenario) && !result.upgraded_at)
        fail_msg("%s, seed %llu: not all controllers were upgraded", scenario->what,
                 (unsigned long long)seed);
    if (result.accepted < 16 || result.done < 8 || result.open_jobs)
        fail_msg("%s, seed %llu: %u accepted, %u done, %u left open", scenario->what,
                 (unsigned long long)seed, result.accepted, result.done, result.open_jobs);
}

static void run_scenarios(const struct scenario *scenarios, size_t count) {
    for (size_t i = 0; i < count; i++)
        for (uint64_t seed = 1; seed <= SEEDS; seed++) run_seed(&scenarios[i], seed);
}

/* The last controller is back at 66 s of simulated time. */
static void one_at_a_time(void **state) {
    (void)state;
    static const struct scenario scenarios[] = {
        {"an upgrade", 0, {{SIM_UPGRADE, 30000, 15000, -1}}, 1, 0},
        {"two at a time", 0, {{SIM_UPGRADE, 30000, 15000, 2}}, 1, 0},
        {"each right after the previous one", 0, {{SIM_UPGRADE, 30000, 3000, -1}}, 1, 0},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

/* Leaders of the two versions follow each other and read what the other version wrote. */
static void leader_failures_during_upgrade(void **state) {
    (void)state;
    static const struct scenario scenarios[] = {
        {"the new leader is killed while old controllers run",
         0,
         {{SIM_UPGRADE, 30000, 20000, -1}, {SIM_KILL, 42000, 1, -1}, {SIM_KILL, 60000, 1, -1}},
         3,
         0},
        {"a leader restarts every few seconds",
         0,
         {{SIM_UPGRADE, 30000, 25000, -1},
          {SIM_RESTART, 38000, 1, -1},
          {SIM_RESTART, 46000, 1, -1},
          {SIM_RESTART, 58000, 1, -1},
          {SIM_RESTART, 66000, 1, -1},
          {SIM_RESTART, 76000, 1, -1}},
         6,
         0},
        {"all are killed at once when one is upgraded",
         0,
         {{SIM_UPGRADE, 30000, 40000, -1},
          {SIM_KILL, 50000, 1, 0},
          {SIM_KILL, 50000, 1, 1},
          {SIM_KILL, 50000, 1, 2}},
         4,
         0},
        {"the others are killed while the last one is being upgraded",
         0,
         {{SIM_UPGRADE, 30000, 20000, -1}, {SIM_KILL, 71000, 1, 0}, {SIM_KILL, 72000, 1, 1}},
         3,
         0},
        {"a controller is killed just before its upgrade",
         0,
         {{SIM_UPGRADE, 30000, 20000, -1}, {SIM_KILL, 49000, 1, 1}, {SIM_KILL, 69500, 1, 2}},
         3,
         0},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

/* The only upgraded controller leads and places the tasks of large jobs; then an old one takes over while
 * machines hang, so that it knows their tasks only from the records. The second scenario swaps the versions.
 */
static void taken_over_by_the_other_version(void **state) {
    (void)state;
    static const struct scenario scenarios[] = {
        {"an old controller takes over from a new one",
         SIM_LOAD_OVERLOAD,
         {{SIM_UPGRADE, 10000, 80000, 1},
          {SIM_KILL, 18000, 1, 1},
          {SIM_KILL, 18000, 1, 2},
          {SIM_MACHINE_HANG, 60000, 9000, 0},
          {SIM_MACHINE_HANG, 60000, 9000, -1},
          {SIM_KILL, 60500, 1, 0}},
         6,
         0},
        {"a new controller takes over from an old one",
         SIM_LOAD_OVERLOAD,
         {{SIM_UPGRADE, 50000, 30000, 1},
          {SIM_MACHINE_HANG, 60000, 9000, 0},
          {SIM_MACHINE_HANG, 60000, 9000, -1},
          {SIM_KILL, 60500, 1, 1},
          {SIM_KILL, 60500, 1, 2}},
         5,
         0},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

static void faults_during_upgrade(void **state) {
    (void)state;
    static const struct scenario scenarios[] = {
        {"late transactions of killed controllers",
         0,
         {{SIM_UPGRADE, 30000, 20000, -1}, {SIM_LATE_WRITES, 25000, 70000, 40}, {SIM_KILL, 60000, 1, -1}},
         3,
         0},
        {"answers of the state service are lost",
         0,
         {{SIM_UPGRADE, 30000, 20000, -1}, {SIM_LOSE_RESPONSES, 25000, 70000, -1}},
         2,
         0},
        {"an outage of the state service",
         0,
         {{SIM_UPGRADE, 30000, 20000, -1}, {SIM_STORE_OUTAGE, 45000, 35000, -1}},
         2,
         0},
        {"zones cut off from each other",
         0,
         {{SIM_UPGRADE, 30000, 20000, -1}, {SIM_ZONE_PARTITION, 40000, 45000, -1}},
         2,
         0},
        {"the leader is refused by the state service, cancellations at its peers",
         0,
         {{SIM_UPGRADE, 30000, 25000, -1},
          {SIM_STORE_REFUSES_NODE, 40000, 12000, -1},
          {SIM_CANCEL_BURST, 42000, 10000, 8},
          {SIM_STORE_OUTAGE, 52000, 35000, -1}},
         4,
         0},
        {"copies of heartbeats arrive late and at new leaders",
         0,
         {{SIM_UPGRADE, 30000, 20000, -1},
          {SIM_LATE_HEARTBEAT_COPIES, 25000, 70000, 30},
          {SIM_REPLAYED_HEARTBEATS, 25000, 70000, 40}},
         3,
         0},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

/* The first pipelines are submitted as soon as all controllers are upgraded. */
static void pipelines_right_after_upgrade(void **state) {
    (void)state;
    static const struct scenario scenarios[] = {
        {"an upgrade, then pipelines", SIM_LOAD_PIPELINES, {{SIM_UPGRADE, 30000, 15000, -1}}, 1, 0},
        {"leaders are killed right after the last upgrade",
         SIM_LOAD_PIPELINES,
         {{SIM_UPGRADE, 30000, 12000, -1}, {SIM_RESTART, 60500, 1, -1}, {SIM_KILL, 68000, 1, -1}},
         3,
         0},
        {"late transactions of killed controllers",
         SIM_LOAD_PIPELINES,
         {{SIM_UPGRADE, 30000, 12000, -1}, {SIM_LATE_WRITES, 25000, 70000, 40}, {SIM_KILL, 62000, 1, -1}},
         3,
         0},
        {"zones cut off from each other during the last upgrade",
         SIM_LOAD_PIPELINES,
         {{SIM_UPGRADE, 30000, 12000, -1}, {SIM_ZONE_PARTITION, 50000, 30000, -1}},
         2,
         0},
        {"answers of the state service are lost, bursts of queries",
         SIM_LOAD_PIPELINES,
         {{SIM_UPGRADE, 30000, 12000, -1},
          {SIM_LOSE_RESPONSES, 45000, 40000, -1},
          {SIM_POLL_BURST, 60000, 60000, -1}},
         3,
         0},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

/* The limits are lowered as soon as all controllers are upgraded, or later, while jobs of many tasks and
 * pipelines are submitted: what was recorded in large blocks must then be written in smaller ones. */
static void limits_lowered(void **state) {
    (void)state;
    static const struct scenario scenarios[] = {
        {"right after the upgrade",
         SIM_LOAD_PIPELINES,
         {{SIM_UPGRADE, 30000, 12000, -1}, {SIM_LOWER_STORE_LIMITS, 30000, 1, -1}},
         2,
         0},
        {"during a burst",
         SIM_LOAD_PIPELINES | SIM_LOAD_OVERLOAD,
         {{SIM_UPGRADE, 10000, 8000, -1}, {SIM_LOWER_STORE_LIMITS, 75000, 1, -1}},
         2,
         0},
        {"during a burst, without an upgrade",
         SIM_LOAD_PIPELINES | SIM_LOAD_OVERLOAD,
         {{SIM_LOWER_STORE_LIMITS, 60000, 1, -1}},
         1,
         0},
        {"and a stream of one-task jobs",
         SIM_LOAD_PIPELINES | SIM_LOAD_STREAM,
         {{SIM_LOWER_STORE_LIMITS, 60000, 1, -1}, {SIM_KILL, 80000, 1, -1}},
         2,
         0},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

static void limits_lowered_during_leader_failures(void **state) {
    (void)state;
    static const struct scenario scenarios[] = {
        {"the leader is killed as the limits are lowered",
         SIM_LOAD_PIPELINES | SIM_LOAD_OVERLOAD,
         {{SIM_UPGRADE, 10000, 8000, -1},
          {SIM_LOWER_STORE_LIMITS, 75000, 1, -1},
          {SIM_KILL, 75100, 1, -1},
          {SIM_RESTART, 82000, 1, -1},
          {SIM_RESTART, 88000, 1, -1}},
         5,
         0},
        {"leaders restart while records are split",
         SIM_LOAD_PIPELINES | SIM_LOAD_OVERLOAD,
         {{SIM_UPGRADE, 10000, 8000, -1},
          {SIM_LOWER_STORE_LIMITS, 50000, 1, -1},
          {SIM_RESTART, 51000, 1, -1},
          {SIM_RESTART, 55500, 1, -1},
          {SIM_RESTART, 60000, 1, -1},
          {SIM_RESTART, 65000, 1, -1}},
         6,
         0},
        {"transactions are late or get no answer",
         SIM_LOAD_PIPELINES | SIM_LOAD_OVERLOAD,
         {{SIM_UPGRADE, 10000, 8000, -1},
          {SIM_LOWER_STORE_LIMITS, 50000, 1, -1},
          {SIM_LATE_WRITES, 45000, 50000, 30},
          {SIM_UNANSWERED_WRITES, 45000, 50000, 30},
          {SIM_KILL, 70000, 1, -1}},
         5,
         0},
        {"in an outage, in which all controllers are killed",
         SIM_LOAD_PIPELINES | SIM_LOAD_OVERLOAD,
         {{SIM_STORE_OUTAGE, 50000, 40000, -1},
          {SIM_LOWER_STORE_LIMITS, 55000, 1, -1},
          {SIM_KILL, 60000, 1, 0},
          {SIM_KILL, 60000, 1, 1},
          {SIM_KILL, 61000, 1, 2}},
         5,
         0},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(one_at_a_time),
        cmocka_unit_test(leader_failures_during_upgrade),
        cmocka_unit_test(taken_over_by_the_other_version),
        cmocka_unit_test(faults_during_upgrade),
        cmocka_unit_test(pipelines_right_after_upgrade),
        cmocka_unit_test(limits_lowered),
        cmocka_unit_test(limits_lowered_during_leader_failures),
    };
    if (!choose_named_test(tests, ROWS(tests), argc, argv)) return 2;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
