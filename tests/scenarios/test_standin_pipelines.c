/* Whole days of the stand-in with pipelines: users submit jobs that await others, watch them at all nodes and
 * cancel some on the way, while troubles come. No task may start before all that its job needs are done, and
 * what needs a cancelled job is cancelled with it, at every node in time. */
#include "check.h"
#include "named_tests.h"
#include "standin.h"

#include "amberpin/base/log.h"

enum { DAY = 300000, LONG_DAY = 600000, SEEDS = 3, MANY_SEEDS = 6 };

/* Half as many pipelines as jobs. */
static const struct sim_size pipelines = {3, 20, 24, 6, 3, 1000, 10000, 30000, 200, 20, 3};

struct day {
    const char *what;
    unsigned load; /* beside the pipelines */
    struct sim_fault faults[6];
    size_t count;
    amb_ms length; /* 0: DAY */
};

static struct sim_result play(const struct day *day, uint64_t seed) {
    return sim_run(&(struct sim_scenario){
        .size = &pipelines,
        .seed = seed,
        .length = day->length ? day->length : DAY,
        .load = SIM_LOAD_PIPELINES | day->load,
        .faults = day->faults,
        .fault_count = day->count,
    });
}

static struct sim_result must_hold(const struct day *day, uint64_t seed) {
    struct sim_result result = play(day, seed);
    if (getenv("SIM_TRACE"))
        printf("%s, seed %llu: %u accepted, %u done, %u cancelled, %u open; of jobs that await others %u "
               "accepted, %u done, %u cancelled with one; %u unknown refused, %u refused for size, %u for "
               "rate; %s\n",
               day->what, (unsigned long long)seed, result.accepted, result.done, result.cancelled,
               result.open_jobs, result.dependents, result.dependents_done, result.dependents_cancelled,
               result.unknown_dependency_refusals, result.size_refusals, result.rate_refusals,
               result.violation);
    if (result.violation[0])
        fail_msg("%s, seed %llu: %s", day->what, (unsigned long long)seed, result.violation);
    if (result.open_jobs)
        fail_msg("%s, seed %llu: %u left open", day->what, (unsigned long long)seed, result.open_jobs);
    if (result.unknown_dependency_refusals < 1)
        fail_msg("%s, seed %llu: no submission that awaits an unknown job was refused", day->what,
                 (unsigned long long)seed);
    return result;
}

/* A day's seeds together hold what the day is for; how a single one shares it out is luck. Where users cancel
 * much of what they see, it takes more seeds. */
static void play_seeds(const struct day *day, uint64_t seeds) {
    uint32_t dependants = 0, done = 0, cancelled = 0;
    for (uint64_t seed = 1; seed <= seeds; seed++) {
        struct sim_result result = must_hold(day, seed);
        dependants += result.dependents;
        done += result.dependents_done;
        cancelled += result.dependents_cancelled;
    }
    if (dependants < 20 * seeds || done < 6 * SEEDS || cancelled < 4 * seeds)
        fail_msg("%s: of jobs that await others %u accepted, %u done, %u cancelled", day->what, dependants,
                 done, cancelled);
}

static void play_days(const struct day *days, size_t count) {
    for (size_t i = 0; i < count; i++) play_seeds(&days[i], SEEDS);
}

static void days_without_faults(void **state) {
    (void)state;
    static const struct day days[] = {{"quiet", 0, {{0}}, 0, 0}};
    play_days(days, ROWS(days));
}

static void cancelled_as_a_job_finishes(void **state) {
    (void)state;
    static const struct day days[] = {
        {"cancelled as they end", 0, {{SIM_CANCEL_AT_COMPLETION, 15000, 110000, 25}}, 1, 0},
        {"cancelled as they end, while answers are lost",
         0,
         {{SIM_CANCEL_AT_COMPLETION, 15000, 110000, 25}, {SIM_UNANSWERED_WRITES, 15000, 110000, 30}},
         2,
         0},
        {"cancelled as they end, while writes are late",
         0,
         {{SIM_CANCEL_AT_COMPLETION, 15000, 110000, 25}, {SIM_LATE_WRITES, 15000, 110000, 30}},
         2,
         0},
    };
    play_days(days, ROWS(days));
}

static void cancelled_across_failovers(void **state) {
    (void)state;
    static const struct day days[] = {
        {"leaders end in turn",
         0,
         {{SIM_KILL, 30000, 1, -1},
          {SIM_KILL, 50000, 1, -1},
          {SIM_KILL, 70000, 1, -1},
          {SIM_KILL, 90000, 1, -1}},
         4,
         0},
        {"leaders end in turn as jobs end and are cancelled",
         0,
         {{SIM_CANCEL_AT_COMPLETION, 15000, 110000, 25},
          {SIM_KILL, 30000, 1, -1},
          {SIM_KILL, 55000, 1, -1},
          {SIM_RESTART, 80000, 1, -1}},
         4,
         0},
        {"the leader is cut from the state service alone",
         0,
         {{SIM_CUT_STORE, 30000, 15000, -1}, {SIM_CUT_STORE, 60000, 40000, -1}},
         2,
         0},
        {"the leader is refused by the state service alone, then all are",
         0,
         {{SIM_STORE_REFUSES_NODE, 30000, 8000, -1}, {SIM_STORE_OUTAGE, 38000, 40000, -1}},
         2,
         0},
        {"zones apart", 0, {{SIM_ZONE_PARTITION, 30000, 30000, -1}, {SIM_KILL, 45000, 1, -1}}, 2, 0},
    };
    play_days(days, ROWS(days));
}

static void cancelled_in_a_long_outage(void **state) {
    (void)state;
    static const struct day days[] = {
        {"an outage longer than cancel_s", 0, {{SIM_STORE_OUTAGE, 40000, 45000, -1}}, 1, 0},
        {"such an outage, and all controllers end in it",
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
    play_days(days, ROWS(days));
}

static void frequent_status_queries(void **state) {
    (void)state;
    static const struct day days[] = {
        {"close looks",
         0,
         {{SIM_POLL_BURST, 15000, 110000, -1}, {SIM_INVALID_REQUESTS, 20000, 60000, -1}},
         2,
         0},
        {"close looks while the state service is slow",
         0,
         {{SIM_POLL_BURST, 15000, 110000, -1},
          {SIM_SLOW_STORE, 30000, 40000, -1},
          {SIM_INVALID_REQUESTS, 20000, 60000, -1}},
         3,
         0},
        {"close looks while requests are late",
         0,
         {{SIM_POLL_BURST, 15000, 110000, -1}, {SIM_LATE_REQUESTS, 25000, 60000, -1}},
         2,
         0},
    };
    for (size_t day = 0; day < ROWS(days); day++) play_seeds(&days[day], MANY_SEEDS);
}

static void beside_other_loads(void **state) {
    (void)state;
    static const struct day days[] = {
        {"and a stream of one-task jobs", SIM_LOAD_STREAM, {{SIM_KILL, 40000, 1, -1}}, 1, 0},
        {"and teams at their limits", SIM_LOAD_SMALL_QUOTAS, {{SIM_KILL, 40000, 1, -1}}, 1, LONG_DAY},
        {"and more work than room", SIM_LOAD_OVERLOAD, {{SIM_KILL, 40000, 1, -1}}, 1, 0},
        {"and hanging machines",
         0,
         {{SIM_MACHINE_HANG, 30000, 20000, -1}, {SIM_MACHINE_HANG, 60000, 20000, -1}},
         2,
         0},
    };
    play_days(days, ROWS(days));
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
