/* Scenarios with pipelines: users submit jobs that depend on others, query them at all controllers and cancel
 * some of them, while faults occur. No task may start before all dependencies of its job are done, and the
 * dependents of a cancelled job must be cancelled with it, at every controller in time. */
#include "check.h"
#include "named_tests.h"
#include "standin.h"

#include "amberpin/base/log.h"

enum { LENGTH_MS = 300000, LONG_LENGTH_MS = 600000, SEEDS = 3, MANY_SEEDS = 6 };

/* The load adds half as many pipelines as there are jobs. */
static const struct sim_size pipelines = {3, 20, 24, 6, 3, 1000, 10000, 30000, 200, 20, 3};

struct scenario {
    const char *what;
    unsigned load; /* in addition to the pipelines */
    struct sim_fault faults[6];
    size_t count;
    amb_ms length; /* 0: LENGTH_MS */
};

static struct sim_result run_scenario(const struct scenario *scenario, uint64_t seed) {
    return sim_run(&(struct sim_scenario){
        .size = &pipelines,
        .seed = seed,
        .length = scenario->length ? scenario->length : LENGTH_MS,
        .load = SIM_LOAD_PIPELINES | scenario->load,
        .faults = scenario->faults,
        .fault_count = scenario->count,
    });
}

static struct sim_result run_seed(const struct scenario *scenario, uint64_t seed) {
    struct sim_result result = run_scenario(scenario, seed);
    if (getenv("SIM_TRACE"))
        printf("%s, seed %llu: %u accepted, %u done, %u cancelled, %u open; of dependent jobs %u "
               "accepted, %u done, %u cancelled with a dependency; %u refused as unknown, %u refused for "
               "size, %u for "
               "rate; %s\n",
               scenario->what, (unsigned long long)seed, result.accepted, result.done, result.cancelled,
               result.open_jobs, result.dependents, result.dependents_done, result.dependents_cancelled,
               result.unknown_dependency_refusals, result.size_refusals, result.rate_refusals,
               result.violation);
    if (result.violation[0])
        fail_msg("%s, seed %llu: %s", scenario->what, (unsigned long long)seed, result.violation);
    if (result.open_jobs)
        fail_msg("%s, seed %llu: %u left open", scenario->what, (unsigned long long)seed, result.open_jobs);
    if (result.unknown_dependency_refusals < 1)
        fail_msg("%s, seed %llu: no submission with an unknown dependency was refused", scenario->what,
                 (unsigned long long)seed);
    return result;
}

/* The minimum numbers of dependent jobs hold for all seeds of a scenario together, because they vary at
 * random from seed to seed. Scenarios in which users cancel many jobs need more seeds to have enough
 * completed ones. */
static void run_seeds(const struct scenario *scenario, uint64_t seeds) {
    uint32_t dependents = 0, done = 0, cancelled = 0;
    for (uint64_t seed = 1; seed <= seeds; seed++) {
        struct sim_result result = run_seed(scenario, seed);
        dependents += result.dependents;
        done += result.dependents_done;
        cancelled += result.dependents_cancelled;
    }
    if (dependents < 20 * seeds || done < 6 * SEEDS || cancelled < 4 * seeds)
        fail_msg("%s: of dependent jobs %u accepted, %u done, %u cancelled", scenario->what, dependents, done,
                 cancelled);
}

static void run_scenarios(const struct scenario *scenarios, size_t count) {
    for (size_t i = 0; i < count; i++) run_seeds(&scenarios[i], SEEDS);
}

static void days_without_faults(void **state) {
    (void)state;
    static const struct scenario scenarios[] = {{"no faults", 0, {{0}}, 0, 0}};
    run_scenarios(scenarios, ROWS(scenarios));
}

static void cancelled_as_a_job_finishes(void **state) {
    (void)state;
    static const struct scenario scenarios[] = {
        {"cancelled at completion", 0, {{SIM_CANCEL_AT_COMPLETION, 15000, 110000, 25}}, 1, 0},
        {"cancelled at completion, while answers are lost",
         0,
         {{SIM_CANCEL_AT_COMPLETION, 15000, 110000, 25}, {SIM_UNANSWERED_WRITES, 15000, 110000, 30}},
         2,
         0},
        {"cancelled at completion, while writes are late",
         0,
         {{SIM_CANCEL_AT_COMPLETION, 15000, 110000, 25}, {SIM_LATE_WRITES, 15000, 110000, 30}},
         2,
         0},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

static void cancelled_across_failovers(void **state) {
    (void)state;
    static const struct scenario scenarios[] = {
        {"leaders are killed in turn",
         0,
         {{SIM_KILL, 30000, 1, -1},
          {SIM_KILL, 50000, 1, -1},
          {SIM_KILL, 70000, 1, -1},
          {SIM_KILL, 90000, 1, -1}},
         4,
         0},
        {"leaders are killed in turn while jobs are cancelled at completion",
         0,
         {{SIM_CANCEL_AT_COMPLETION, 15000, 110000, 25},
          {SIM_KILL, 30000, 1, -1},
          {SIM_KILL, 55000, 1, -1},
          {SIM_RESTART, 80000, 1, -1}},
         4,
         0},
        {"only the leader is cut off from the state service",
         0,
         {{SIM_CUT_STORE, 30000, 15000, -1}, {SIM_CUT_STORE, 60000, 40000, -1}},
         2,
         0},
        {"only the leader is refused by the state service, then all are",
         0,
         {{SIM_STORE_REFUSES_NODE, 30000, 8000, -1}, {SIM_STORE_OUTAGE, 38000, 40000, -1}},
         2,
         0},
        {"zones cut off from each other",
         0,
         {{SIM_ZONE_PARTITION, 30000, 30000, -1}, {SIM_KILL, 45000, 1, -1}},
         2,
         0},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

static void cancelled_in_a_long_outage(void **state) {
    (void)state;
    static const struct scenario scenarios[] = {
        {"an outage longer than cancel_s", 0, {{SIM_STORE_OUTAGE, 40000, 45000, -1}}, 1, 0},
        {"such an outage, and all controllers are killed in it",
         0,
         {{SIM_STORE_OUTAGE, 40000, 45000, -1},
          {SIM_KILL, 60000, 1, 0},
          {SIM_KILL, 61000, 1, 1},
          {SIM_KILL, 62000, 1, 2}},
         4,
         0},
        {"answers of the state service are lost",
         0,
         {{SIM_LOSE_RESPONSES, 25000, 70000, -1}, {SIM_KILL, 50000, 1, -1}},
         2,
         0},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

static void frequent_status_queries(void **state) {
    (void)state;
    static const struct scenario scenarios[] = {
        {"bursts of queries",
         0,
         {{SIM_POLL_BURST, 15000, 110000, -1}, {SIM_INVALID_REQUESTS, 20000, 60000, -1}},
         2,
         0},
        {"bursts of queries while the state service is slow",
         0,
         {{SIM_POLL_BURST, 15000, 110000, -1},
          {SIM_SLOW_STORE, 30000, 40000, -1},
          {SIM_INVALID_REQUESTS, 20000, 60000, -1}},
         3,
         0},
        {"bursts of queries while requests are late",
         0,
         {{SIM_POLL_BURST, 15000, 110000, -1}, {SIM_LATE_REQUESTS, 25000, 60000, -1}},
         2,
         0},
    };
    for (size_t i = 0; i < ROWS(scenarios); i++) run_seeds(&scenarios[i], MANY_SEEDS);
}

static void beside_other_loads(void **state) {
    (void)state;
    static const struct scenario scenarios[] = {
        {"and a stream of one-task jobs", SIM_LOAD_STREAM, {{SIM_KILL, 40000, 1, -1}}, 1, 0},
        {"and teams at their limits", SIM_LOAD_SMALL_QUOTAS, {{SIM_KILL, 40000, 1, -1}}, 1, LONG_LENGTH_MS},
        {"and more work than capacity", SIM_LOAD_OVERLOAD, {{SIM_KILL, 40000, 1, -1}}, 1, 0},
        {"and hanging machines",
         0,
         {{SIM_MACHINE_HANG, 30000, 20000, -1}, {SIM_MACHINE_HANG, 60000, 20000, -1}},
         2,
         0},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(days_without_faults),        cmocka_unit_test(cancelled_as_a_job_finishes),
        cmocka_unit_test(cancelled_across_failovers), cmocka_unit_test(cancelled_in_a_long_outage),
        cmocka_unit_test(frequent_status_queries),    cmocka_unit_test(beside_other_loads),
    };
    if (!choose_named_test(tests, ROWS(tests), argc, argv)) return 2;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
