/* Simulations of single-holder duties with random faults, one per seed; and simulations without one safety
 * mechanism, which must find a violation. More seeds: `duty_simulate FIRST COUNT`. */
#include "check.h"
#include "simulation.h"

enum { DAYS = 24, HANDOVERS_LEAST = 300 };

static void random_days_without_violations(void **state) {
    (void)state;
    uint64_t handovers = 0, intents = 0;
    for (uint64_t seed = 1; seed <= DAYS; seed++) {
        struct simulation_scenario day = simulation_generate(seed);
        struct simulation_result result = simulation_run(&day);
        handovers += result.handovers;
        intents += result.intents;
        if (!result.violation) continue;
        struct simulation_scenario least = simulation_shrink(&day);
        simulation_print(&least);
        fail_msg("seed %llu: %s", (unsigned long long)seed, result.violation);
    }
    print_message("%d simulations, %llu handovers, %llu intents\n", (int)DAYS, (unsigned long long)handovers,
                  (unsigned long long)intents);
    assert_true(handovers >= HANDOVERS_LEAST);
}

/* Seeds that once found a violation, with its cause. */
static void days_with_past_failures(void **state) {
    (void)state;
    static const struct {
        uint64_t seed;
        const char *what;
    } rows[] = {
        {1318, "a call decided before the duty was lost and won again was sent under the old token"},
        {162, "removed intents were added again by late reads, and filled the intent table"},
        {769, "removed intents were added again by late reads"},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct simulation_scenario day = simulation_generate(rows[i].seed);
        struct simulation_result result = simulation_run(&day);
        if (result.violation)
            fail_msg("seed %llu (%s): %s", (unsigned long long)rows[i].seed, rows[i].what, result.violation);
    }
}

static void each_mechanism_is_needed(void **state) {
    (void)state;
    static const struct {
        enum model_mutation fault;
        uint64_t seed;
        const char *violation;
    } rows[] = {
        {MODEL_REQUEST_NAME_PER_HOLDER, 1, "machines were rented twice for one order"},
        {MODEL_NO_CLOCK_CHECK, 1, "an order was sent under a stale token"},
        {MODEL_LEAVING_MARK_IGNORED, 1, "a machine in use was returned"},
        {MODEL_NO_MEMBER_COMPARE, 14, "a member relies on a right that the state service does not know of"},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct simulation_scenario day = simulation_generate(rows[i].seed);
        day.mutation = rows[i].fault;
        struct simulation_result result = simulation_run(&day);
        if (!result.violation || strcmp(result.violation, rows[i].violation) != 0)
            fail_msg("fault %d: %s, wanted: %s", (int)rows[i].fault,
                     result.violation ? result.violation : "nothing", rows[i].violation);
        struct simulation_scenario least = simulation_shrink(&day);
        assert_true(least.nfaults < day.nfaults);
        assert_non_null(simulation_run(&least).violation);
        print_message("fault %d: %u of %u faults are needed\n", (int)rows[i].fault, least.nfaults,
                      day.nfaults);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(random_days_without_violations),
        cmocka_unit_test(days_with_past_failures),
        cmocka_unit_test(each_mechanism_is_needed),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
