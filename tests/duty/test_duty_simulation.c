/* Simulates single-holder duties in random fault scenarios, one per seed. Mutations remove one safety
 * mechanism each; the simulation must find a violation under every mutation. `duty_simulate FIRST COUNT` runs
 * more seeds. */
#include "check.h"
#include "simulation.h"

enum { SEEDS = 24, MIN_HANDOVERS = 300 };

static void random_scenarios_without_violations(void **state) {
    (void)state;
    uint64_t handovers = 0, intents = 0;
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct simulation_scenario scenario = simulation_generate(seed);
        struct simulation_result result = simulation_run(&scenario);
        handovers += result.handovers;
        intents += result.intents;
        if (!result.violation) continue;
        struct simulation_scenario shrunk = simulation_shrink(&scenario);
        simulation_print(&shrunk);
        fail_msg("seed %llu: %s", (unsigned long long)seed, result.violation);
    }
    print_message("%d simulations, %llu handovers, %llu intents\n", (int)SEEDS, (unsigned long long)handovers,
                  (unsigned long long)intents);
    assert_true(handovers >= MIN_HANDOVERS);
}

/* Seeds whose scenarios once found a violation, with its cause. */
static void scenarios_with_past_failures(void **state) {
    (void)state;
    static const struct {
        uint64_t seed;
        const char *cause;
    } rows[] = {
        {1318, "a call decided before the duty was lost and won again was sent under the old token"},
        {162, "removed intents were added again by late reads, and filled the intent table"},
        {769, "removed intents were added again by late reads"},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct simulation_scenario scenario = simulation_generate(rows[i].seed);
        struct simulation_result result = simulation_run(&scenario);
        if (result.violation)
            fail_msg("seed %llu (%s): %s", (unsigned long long)rows[i].seed, rows[i].cause, result.violation);
    }
}

static void each_mechanism_is_needed(void **state) {
    (void)state;
    static const struct {
        enum model_mutation mutation;
        uint64_t seed;
        const char *violation;
    } rows[] = {
        {MODEL_REQUEST_NAME_PER_HOLDER, 1, "machines were rented twice for one order"},
        {MODEL_NO_CLOCK_CHECK, 1, "an order was sent under a stale token"},
        {MODEL_LEAVING_MARK_IGNORED, 1, "a machine in use was returned"},
        {MODEL_NO_MEMBER_COMPARE, 14, "a member relies on a right that the state service does not know of"},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct simulation_scenario scenario = simulation_generate(rows[i].seed);
        scenario.mutation = rows[i].mutation;
        struct simulation_result result = simulation_run(&scenario);
        if (!result.violation || strcmp(result.violation, rows[i].violation) != 0)
            fail_msg("mutation %d: %s, wanted: %s", (int)rows[i].mutation,
                     result.violation ? result.violation : "nothing", rows[i].violation);
        struct simulation_scenario shrunk = simulation_shrink(&scenario);
        assert_true(shrunk.nfaults < scenario.nfaults);
        assert_non_null(simulation_run(&shrunk).violation);
        print_message("mutation %d: %u of %u faults are needed\n", (int)rows[i].mutation, shrunk.nfaults,
                      scenario.nfaults);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(random_scenarios_without_violations),
        cmocka_unit_test(scenarios_with_past_failures),
        cmocka_unit_test(each_mechanism_is_needed),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
