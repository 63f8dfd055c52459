/* Scenarios with a quarter of the memory of the smallest deployments: controllers must refuse submissions in
 * time while their job tables are full, and must lose no job that they have accepted. */
#include "check.h"
#include "named_tests.h"
#include "standin.h"

#include "amberpin/node/memory_budget.h"

enum { LENGTH_MS = 240000, FLOOD_JOBS = 2000 };

static const double SMALL_MB = 27.0 / 4, AMPLE_MB = 40;

/* Twenty ordinary jobs beside those of the load; the write budget is ample. */
static const struct sim_size size = {3, 40, 20, 6, 3, 1000, 10000, 30000, 2000, 400, 6};

static struct sim_result run_scenario(uint64_t seed, double memory_mb, const struct sim_fault *faults,
                                      size_t count) {
    const struct sim_scenario scenario = {&size, seed, LENGTH_MS, SIM_LOAD_FLOOD, faults, count};
    struct sim_result result = sim_run_with_memory(&scenario, memory_mb);
    if (getenv("SIM_TRACE"))
        printf(
            "seed %llu, %g MB: %u accepted, %u done, %u left open, %u refused for memory, table %zu bytes\n",
            (unsigned long long)seed, memory_mb, result.accepted, result.done, result.open_jobs,
            result.refused_for_memory, result.peak_job_table_bytes);
    if (result.violation[0])
        fail_msg("seed %llu, %g MB: %s", (unsigned long long)seed, memory_mb, result.violation);
    return result;
}

/* With ample memory the same scenario fills a job table larger than the share that a small controller has. */
static void ample_memory_refuses_nothing(void **state) {
    (void)state;
    const struct amb_settings small = {.memory_mb = SMALL_MB};
    struct sim_result result = run_scenario(1, AMPLE_MB, NULL, 0);
    assert_int_equal(result.refused_for_memory, 0);
    assert_true(result.peak_job_table_bytes > amb_memory_job_table_bytes(&small));
    assert_true(result.accepted > FLOOD_JOBS);
    assert_int_equal(result.open_jobs, 0);
}

static void expect_refusals_without_loss(uint64_t seed, const struct sim_fault *faults, size_t count) {
    struct sim_result result = run_scenario(seed, SMALL_MB, faults, count);
    if (result.refused_for_memory < 100 || result.accepted <= FLOOD_JOBS || result.done < FLOOD_JOBS ||
        result.open_jobs)
        fail_msg("seed %llu: %u refused for memory, %u accepted, %u done, %u left open",
                 (unsigned long long)seed, result.refused_for_memory, result.accepted, result.done,
                 result.open_jobs);
}

static void full_tables_refuse_submissions(void **state) {
    (void)state;
    for (uint64_t seed = 1; seed <= 2; seed++) expect_refusals_without_loss(seed, NULL, 0);
}

/* The new leader reads all accepted jobs, which fills its table, and refuses submissions too. */
static void leader_failures_while_tables_are_full(void **state) {
    (void)state;
    static const struct sim_fault faults[] = {{SIM_KILL, 30000, 1, -1}, {SIM_KILL, 45000, 1, -1}};
    expect_refusals_without_loss(3, faults, ROWS(faults));
}

static void outage_while_tables_are_full(void **state) {
    (void)state;
    static const struct sim_fault faults[] = {{SIM_STORE_OUTAGE, 30000, 12000, -1}};
    expect_refusals_without_loss(4, faults, ROWS(faults));
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(ample_memory_refuses_nothing),
        cmocka_unit_test(full_tables_refuse_submissions),
        cmocka_unit_test(leader_failures_while_tables_are_full),
        cmocka_unit_test(outage_while_tables_are_full),
    };
    if (!choose_named_test(tests, ROWS(tests), argc, argv)) return 2;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
