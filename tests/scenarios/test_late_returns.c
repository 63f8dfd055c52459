/* Days on which calls that return machines reach the cloud late, under a later leader: none may hit a machine
 * that has been given work since (docs/safety.md, Rentals). */
#include "named_tests.h"
#include "small_scenario.h"

enum { LAST_SEED = 12 };

static void play(const char *what, unsigned load, const struct sim_fault *faults, size_t count) {
    uint32_t late = 0;
    for (uint64_t seed = 1; seed <= LAST_SEED; seed++) {
        const struct sim_scenario plan = {.size = &sim_small,
                                          .seed = seed,
                                          .length = SMALL_SCENARIO_MS,
                                          .load = load,
                                          .faults = faults,
                                          .fault_count = count};
        struct sim_result result = sim_run(&plan);
        if (result.violation[0])
            fail_msg("%s, seed %llu: %s", what, (unsigned long long)seed, result.violation);
        late += result.late_return_calls;
    }
    if (late < LAST_SEED) fail_msg("%s: only %u calls came late", what, late);
}

/* Calls that the leader sends in its last seconds arrive when the next one has work for the machines. */
static void play_ends_of_leaders(const char *what, unsigned load, enum sim_fault_kind end, amb_ms lasts) {
    enum { ENDS = 8, FIRST_MS = 30000, EVERY_MS = 25000, LATE_MS = 9000 };
    struct sim_fault faults[2 * ENDS];
    for (int i = 0; i < ENDS; i++) {
        amb_ms at = FIRST_MS + i * EVERY_MS;
        faults[2 * i] = (struct sim_fault){SIM_LATE_RETURNS, at, LATE_MS, 100};
        faults[2 * i + 1] = (struct sim_fault){end, at + LATE_MS - 500, lasts, -1};
    }
    play(what, load, faults, ROWS(faults));
}

/* Without the record, 2 of these 12 days broke the rule with leaders that are killed, and 2 with leaders that
 * the state service refuses. */
static void leaders_are_killed(void **state) {
    (void)state;
    play_ends_of_leaders("killed", SIM_LOAD_STREAM, SIM_KILL, 1);
}

static void leaders_are_refused(void **state) {
    (void)state;
    play_ends_of_leaders("refused", SIM_LOAD_STREAM, SIM_STORE_REFUSES_NODE, 8000);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(leaders_are_killed),
        cmocka_unit_test(leaders_are_refused),
    };
    if (!choose_named_test(tests, ROWS(tests), argc, argv)) return 2;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
