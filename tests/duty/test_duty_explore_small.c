/* Explores every reachable state of small protocol models of single-holder duties. Mutations remove one
 * safety mechanism each; the explorer must find a violation in every mutated model. */
#include "check.h"
#include "scenarios.h"

enum { MAX_STATES = 400000, QUIESCE_EVERY = 97 };

static void every_state_is_safe(void **state) {
    (void)state;
    uint64_t states = 0;
    for (size_t i = 0; i < duty_scenario_count; i++) {
        const struct explorer_scenario *scenario = &duty_scenarios[i];
        if (!scenario->in_ci) continue;
        struct explorer_result result = explorer_run(scenario, MAX_STATES, QUIESCE_EVERY);
        print_message("%s: %llu states, %llu steps, depth %u, %llu quiesced\n", scenario->name,
                      (unsigned long long)result.states, (unsigned long long)result.steps, result.depth,
                      (unsigned long long)result.quiesced);
        if (result.violation) fail_msg("%s: %s after%s", scenario->name, result.violation, result.trace);
        if (!result.complete) fail_msg("%s: not complete", scenario->name);
        states += result.states;
    }
    print_message("%llu states in all\n", (unsigned long long)states);
}

static void each_mechanism_is_needed(void **state) {
    (void)state;
    static const struct {
        enum model_mutation mutation;
        const char *scenario, *violation;
    } rows[] = {
        {MODEL_NO_DUTY_COMPARE, "paused", "an order was written by another than the holder"},
        {MODEL_REQUEST_NAME_PER_HOLDER, "paused", "machines were rented twice for one order"},
        {MODEL_NO_CLOCK_CHECK, "paused", "an order was sent under a stale token"},
        {MODEL_LEAVING_MARK_IGNORED, "withdrawn", "a machine in use was returned"},
        {MODEL_NO_MEMBER_COMPARE, "restarted",
         "a member relies on a right that the state service does not know of"},
    };
    assert_int_equal(ROWS(rows), MODEL_MUTATIONS - 1);
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct explorer_scenario scenario = *duty_scenario_find(rows[i].scenario);
        scenario.mutation = rows[i].mutation;
        struct explorer_result result = explorer_run(&scenario, MAX_STATES, 0);
        if (!result.violation || strcmp(result.violation, rows[i].violation) != 0)
            fail_msg("mutation %d: %s, wanted: %s", (int)rows[i].mutation,
                     result.violation ? result.violation : "nothing", rows[i].violation);
        print_message("mutation %d: after %llu states:%s: %s\n", (int)rows[i].mutation,
                      (unsigned long long)result.states, result.trace, result.violation);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(every_state_is_safe),
        cmocka_unit_test(each_mechanism_is_needed),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
