/* A simulated scenario ends either at its fixed length, with the open jobs counted, or when all jobs are
 * done. */
#include "check.h"
#include "named_tests.h"
#include "standin.h"

/* One-task jobs arrive faster than the teams' limits let them run, so jobs are left open at the fixed length.
 */
static void work_that_outlasts_the_day(void **state) {
    (void)state;
    const struct sim_scenario scenario = {
        .size = &sim_small,
        .seed = 5024,
        .length = 300000,
        .load = SIM_LOAD_STREAM | SIM_LOAD_SMALL_QUOTAS,
    };
    struct sim_result fixed_length = sim_run(&scenario);
    assert_string_equal(fixed_length.violation, "");
    assert_true(fixed_length.open_jobs > 0);
    assert_int_equal(fixed_length.overtime_ms, 0);

    struct sim_result too_short = sim_run_until_done(&scenario, 1000);
    assert_non_null(strstr(too_short.violation, "unfinished"));
    assert_true(too_short.open_jobs > 0);

    struct sim_result all_done = sim_run_until_done(&scenario, 300000);
    assert_string_equal(all_done.violation, "");
    assert_int_equal(all_done.open_jobs, 0);
    assert_in_range(all_done.overtime_ms, 1000, 299999);
    assert_true(all_done.done > fixed_length.done);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(work_that_outlasts_the_day),
    };
    if (!choose_named_test(tests, ROWS(tests), argc, argv)) return 2;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
