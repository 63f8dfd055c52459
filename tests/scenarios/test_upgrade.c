/* Whole days of the stand-in on which machines get the present version a few at a time, while the production
 * version serves beside it, and the state service lowers its limits afterwards. */
#include "check.h"
#include "named_tests.h"
#include "standin.h"

#include "amberpin/base/log.h"

enum { LENGTH = 300000, SEEDS = 3 };

static const struct sim_size fleet = {3, 20, 24, 40, 3, 1000, 10000, 30000, 200, 20, 3};

struct day {
    const char *what;
    unsigned load;
    struct sim_fault faults[6];
    size_t count;
    amb_ms length; /* 0: LENGTH */
};

static bool plans_upgrade(const struct day *day) {
    for (size_t i = 0; i < day->count; i++)
        if (day->faults[i].kind == SIM_UPGRADE) return true;
    return false;
}

static void must_hold(const struct day *day, uint64_t seed) {
    if (!sim_is_production_available()) fail_msg("the production version is not in the repository's history");
    struct sim_result result = sim_run(&(struct sim_scenario){
        .size = &fleet,
        .seed = seed,
        .length = day->length ? day->length : LENGTH,
        .load = day->load,
        .faults = day->faults,
        .fault_count = day->count,
    });
    if (getenv("SIM_TRACE"))
        printf("%s, seed %llu: %u accepted, %u done, %u cancelled, %u open, upgraded at %lld; of jobs that "
               "await others %u "
               "accepted, %u done, %u cancelled with one; %u refused for size, %u for rate; %s\n",
               day->what, (unsigned long long)seed, result.accepted, result.done, result.cancelled,
               result.open_jobs, (long long)result.upgraded_at, result.dependents, result.dependents_done,
               result.dependents_cancelled, result.size_refusals, result.rate_refusals, result.violation);
    if (result.violation[0])
        fail_msg("%s, seed %llu: %s", day->what, (unsigned long long)seed, result.violation);
    if ((day->load & SIM_LOAD_PIPELINES) &&
        (result.dependents < 15 || result.dependents_done < 4 || result.dependents_cancelled < 2))
        fail_msg("%s, seed %llu: of jobs that await others %u accepted, %u done, %u cancelled", day->what,
                 (unsigned long long)seed, result.dependents, result.dependents_done,
                 result.dependents_cancelled);
    if (plans_upgrade(day) && !result.upgraded_at)
        fail_msg("%s, seed %llu: not all nodes were upgraded", day->what, (unsigned long long)seed);
    if (result.accepted < 16 || result.done < 8 || result.open_jobs)
        fail_msg("%s, seed %llu: %u accepted, %u done, %u left open", day->what, (unsigned long long)seed,
                 result.accepted, result.done, result.open_jobs);
}

static void play_days(const struct day *days, size_t count) {
    for (size_t i = 0; i < count; i++)
        for (uint64_t seed = 1; seed <= SEEDS; seed++) must_hold(&days[i], seed);
}

/* The last node is back at 66 s. */
static void one_at_a_time(void **state) {
    (void)state;
    static const struct day days[] = {
        {"an upgrade", 0, {{SIM_UPGRADE, 30000, 15000, -1}}, 1, 0},
        {"two at a time", 0, {{SIM_UPGRADE, 30000, 15000, 2}}, 1, 0},
        {"one right after the other", 0, {{SIM_UPGRADE, 30000, 3000, -1}}, 1, 0},
    };
    play_days(days, ROWS(days));
}

/* New and old leaders take turns, and read what the other wrote. */
static void leader_failures_during_upgrade(void **state) {
    (void)state;
    static const struct day days[] = {
        {"the new leader ends while old nodes live",
         0,
         {{SIM_UPGRADE, 30000, 20000, -1}, {SIM_KILL, 42000, 1, -1}, {SIM_KILL, 60000, 1, -1}},
         3,
         0},
        {"leaders end every few seconds",
         0,
         {{SIM_UPGRADE, 30000, 25000, -1},
          {SIM_RESTART, 38000, 1, -1},
          {SIM_RESTART, 46000, 1, -1},
          {SIM_RESTART, 58000, 1, -1},
          {SIM_RESTART, 66000, 1, -1},
          {SIM_RESTART, 76000, 1, -1}},
         6,
         0},
        {"all end together when one is new",
         0,
         {{SIM_UPGRADE, 30000, 40000, -1},
          {SIM_KILL, 50000, 1, 0},
          {SIM_KILL, 50000, 1, 1},
          {SIM_KILL, 50000, 1, 2}},
         4,
         0},
        {"all end together when the last is on its way",
         0,
         {{SIM_UPGRADE, 30000, 20000, -1}, {SIM_KILL, 71000, 1, 0}, {SIM_KILL, 72000, 1, 1}},
         3,
         0},
        {"a node ends just before its turn",
         0,
         {{SIM_UPGRADE, 30000, 20000, -1}, {SIM_KILL, 49000, 1, 1}, {SIM_KILL, 69500, 1, 2}},
         3,
         0},
    };
    play_days(days, ROWS(days));
}

/* The only new node leads and places the tasks of large jobs; then an old one takes over while machines hang,
 * so that what they hold is known from the records alone. Then the other way round. */
static void taken_over_by_the_other_version(void **state) {
    (void)state;
    static const struct day days[] = {
        {"an old node takes over from a new one",
         SIM_LOAD_OVERLOAD,
         {{SIM_UPGRADE, 10000, 80000, 1},
          {SIM_KILL, 18000, 1, 1},
          {SIM_KILL, 18000, 1, 2},
          {SIM_MACHINE_HANG, 60000, 9000, 0},
          {SIM_MACHINE_HANG, 60000, 9000, -1},
          {SIM_KILL, 60500, 1, 0}},
         6,
         0},
        {"a new node takes over from an old one",
         SIM_LOAD_OVERLOAD,
         {{SIM_UPGRADE, 50000, 30000, 1},
          {SIM_MACHINE_HANG, 60000, 9000, 0},
          {SIM_MACHINE_HANG, 60000, 9000, -1},
          {SIM_KILL, 60500, 1, 1},
          {SIM_KILL, 60500, 1, 2}},
         5,
         0},
    };
    play_days(days, ROWS(days));
}

static void faults_during_upgrade(void **state) {
    (void)state;
    static const struct day days[] = {
        {"late transactions of ended nodes",
         0,
         {{SIM_UPGRADE, 30000, 20000, -1}, {SIM_LATE_WRITES, 25000, 70000, 40}, {SIM_KILL, 60000, 1, -1}},
         3,
         0},
        {"answers of the state service are lost",
         0,
         {{SIM_UPGRADE, 30000, 20000, -1}, {SIM_LOSE_RESPONSES, 25000, 70000, -1}},
         2,
         0},
        {"an outage", 0, {{SIM_UPGRADE, 30000, 20000, -1}, {SIM_STORE_OUTAGE, 45000, 35000, -1}}, 2, 0},
        {"zones apart", 0, {{SIM_UPGRADE, 30000, 20000, -1}, {SIM_ZONE_PARTITION, 40000, 45000, -1}}, 2, 0},
        {"the leader is refused by the state service, cancellations at the others",
         0,
         {{SIM_UPGRADE, 30000, 25000, -1},
          {SIM_STORE_REFUSES_NODE, 40000, 12000, -1},
          {SIM_CANCEL_BURST, 42000, 10000, 8},
          {SIM_STORE_OUTAGE, 52000, 35000, -1}},
         4,
         0},
        {"reports come late, and as leaders begin",
         0,
         {{SIM_UPGRADE, 30000, 20000, -1},
          {SIM_LATE_HEARTBEAT_COPIES, 25000, 70000, 30},
          {SIM_REPLAYED_HEARTBEATS, 25000, 70000, 40}},
         3,
         0},
    };
    play_days(days, ROWS(days));
}

/* The first pipelines come as soon as all nodes are new. */
static void pipelines_right_after_upgrade(void **state) {
    (void)state;
    static const struct day days[] = {
        {"an upgrade, then pipelines", SIM_LOAD_PIPELINES, {{SIM_UPGRADE, 30000, 15000, -1}}, 1, 0},
        {"the last node is new, and the leader ends",
         SIM_LOAD_PIPELINES,
         {{SIM_UPGRADE, 30000, 12000, -1}, {SIM_RESTART, 60500, 1, -1}, {SIM_KILL, 68000, 1, -1}},
         3,
         0},
        {"late transactions of ended nodes",
         SIM_LOAD_PIPELINES,
         {{SIM_UPGRADE, 30000, 12000, -1}, {SIM_LATE_WRITES, 25000, 70000, 40}, {SIM_KILL, 62000, 1, -1}},
         3,
         0},
        {"zones apart as the last node is upgraded",
         SIM_LOAD_PIPELINES,
         {{SIM_UPGRADE, 30000, 12000, -1}, {SIM_ZONE_PARTITION, 50000, 30000, -1}},
         2,
         0},
        {"answers are lost",
         SIM_LOAD_PIPELINES,
         {{SIM_UPGRADE, 30000, 12000, -1},
          {SIM_LOSE_RESPONSES, 45000, 40000, -1},
          {SIM_POLL_BURST, 60000, 60000, -1}},
         3,
         0},
    };
    play_days(days, ROWS(days));
}

/* The limits are lowered as soon as all nodes are new, or later, as jobs of many tasks and pipelines come:
 * what was recorded in large blocks has to be written in smaller ones. */
static void limits_lowered(void **state) {
    (void)state;
    static const struct day days[] = {
        {"right after the upgrade",
         SIM_LOAD_PIPELINES,
         {{SIM_UPGRADE, 30000, 12000, -1}, {SIM_LOWER_STORE_LIMITS, 30000, 1, -1}},
         2,
         0},
        {"in the middle of a burst",
         SIM_LOAD_PIPELINES | SIM_LOAD_OVERLOAD,
         {{SIM_UPGRADE, 10000, 8000, -1}, {SIM_LOWER_STORE_LIMITS, 75000, 1, -1}},
         2,
         0},
        {"in the middle of a burst, on a day without an upgrade",
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
    play_days(days, ROWS(days));
}

static void limits_lowered_during_leader_failures(void **state) {
    (void)state;
    static const struct day days[] = {
        {"the leader ends as it happens",
         SIM_LOAD_PIPELINES | SIM_LOAD_OVERLOAD,
         {{SIM_UPGRADE, 10000, 8000, -1},
          {SIM_LOWER_STORE_LIMITS, 75000, 1, -1},
          {SIM_KILL, 75100, 1, -1},
          {SIM_RESTART, 82000, 1, -1},
          {SIM_RESTART, 88000, 1, -1}},
         5,
         0},
        {"leaders end while records are split",
         SIM_LOAD_PIPELINES | SIM_LOAD_OVERLOAD,
         {{SIM_UPGRADE, 10000, 8000, -1},
          {SIM_LOWER_STORE_LIMITS, 50000, 1, -1},
          {SIM_RESTART, 51000, 1, -1},
          {SIM_RESTART, 55500, 1, -1},
          {SIM_RESTART, 60000, 1, -1},
          {SIM_RESTART, 65000, 1, -1}},
         6,
         0},
        {"transactions come late or get no answer",
         SIM_LOAD_PIPELINES | SIM_LOAD_OVERLOAD,
         {{SIM_UPGRADE, 10000, 8000, -1},
          {SIM_LOWER_STORE_LIMITS, 50000, 1, -1},
          {SIM_LATE_WRITES, 45000, 50000, 30},
          {SIM_UNANSWERED_WRITES, 45000, 50000, 30},
          {SIM_KILL, 70000, 1, -1}},
         5,
         0},
        {"in an outage, in which all end",
         SIM_LOAD_PIPELINES | SIM_LOAD_OVERLOAD,
         {{SIM_STORE_OUTAGE, 50000, 40000, -1},
          {SIM_LOWER_STORE_LIMITS, 55000, 1, -1},
          {SIM_KILL, 60000, 1, 0},
          {SIM_KILL, 60000, 1, 1},
          {SIM_KILL, 61000, 1, 2}},
         5,
         0},
    };
    play_days(days, ROWS(days));
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
