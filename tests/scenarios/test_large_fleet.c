/* A short scenario with 4,000 machines and more: the fleet boots within seconds, the leader is killed, the
 * state service is out, a zone is lost, all controllers are killed. tests/standin/large_day.c runs longer
 * ones. */
#include "named_tests.h"
#include "standin.h"

enum { LENGTH_MS = 40000, OVERTIME_MS = 300000, MEMORY_MB = 512, MACHINES = 4000 };

/* The size large-7 of large_day with all of its work in a shorter time, and with enough jobs to need more
 * than 4,000 machines at once. */
static const struct sim_size crowded = {7, 16000, 4300, 60, 12, 4000, 22000, 42000, 2000, 400, 40};

static void everything_within_a_minute(void **state) {
    (void)state;
    static const struct sim_fault faults[] = {{SIM_QUICK_BOOTS, 0, LENGTH_MS, -1},
                                              {SIM_LATE_RETURNS, 8000, 20000, 30},
                                              {SIM_KILL, 14000, 1, -1},
                                              {SIM_STORE_OUTAGE, 20000, 5000, -1},
                                              {SIM_LOSE_ZONE, 29000, 1, -1},
                                              {SIM_KILL, 33000, 1, 0},
                                              {SIM_KILL, 33000, 1, 1},
                                              {SIM_KILL, 33000, 1, 2},
                                              {SIM_KILL, 33000, 1, 3},
                                              {SIM_KILL, 33000, 1, 4},
                                              {SIM_KILL, 33000, 1, 5},
                                              {SIM_KILL, 33000, 1, 6}};
    const struct sim_scenario scenario = {
        .size = &crowded, .seed = 3, .length = LENGTH_MS, .faults = faults, .fault_count = ROWS(faults)};
    struct sim_result result = sim_run_large(&scenario, MEMORY_MB, OVERTIME_MS);
    if (result.violation[0]) fail_msg("%s", result.violation);
    if (result.peak_machines < MACHINES || result.done < 1000 || result.starts < 20000 || result.open_jobs)
        fail_msg("peak of %d machines, %u done, %u starts, %u left open", result.peak_machines, result.done,
                 result.starts, result.open_jobs);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(everything_within_a_minute),
    };
    if (!choose_named_test(tests, ROWS(tests), argc, argv)) return 2;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
