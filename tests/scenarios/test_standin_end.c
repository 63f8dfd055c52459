/* How a day of the stand-in ends: in time, with what is open counted, or when all work is done. */
#include "check.h"
#include "named_tests.h"
#include "standin.h"

/* One-task jobs come faster than the teams' limits let them run, so the work outlasts the day. */
static void work_that_outlasts_the_day(void **state) {
    (void)state;
    const struct sim_scenario plan = {
        .size = &sim_small,
        .seed = 5024,
        .length = 300000,
        .load = SIM_LOAD_STREAM | SIM_LOAD_SMALL_QUOTAS,
    };
    struct sim_result in_time = sim_run(&plan);
    assert_string_equal(in_time.violation, "");
    assert_true(in_time.open_jobs > 0);
    assert_int_equal(in_time.overtime_ms, 0);

    struct sim_result too_short = sim_run_until_done(&plan, 1000);
    assert_non_null(strstr(too_short.violation, "unfinished"));
    assert_true(too_short.open_jobs > 0);

    struct sim_result all_done = sim_run_until_done(&plan, 300000);
    assert_string_equal(all_done.violation, "");
    assert_int_equal(all_done.open_jobs, 0);
    assert_in_range(all_done.overtime_ms, 1000, 299999);
    assert_true(all_done.done > in_time.done);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(work_that_outlasts_the_day),
    };
    if (!choose_named_test(tests, ROWS(tests), argc, argv)) return 2;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
