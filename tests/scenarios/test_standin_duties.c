/* Scenarios with single-holder duties switched on. The simulated cloud checks the fencing tokens, and a rule
 * is violated when a machine in use is returned, or when the leader and a holder both act. */
#include "named_tests.h"
#include "small_scenario.h"

static void days_without_faults(void **state) {
    (void)state;
    const struct sim_fault faults[] = {{SIM_SWITCH_DUTIES, 0, SIM_PERMANENT_MS, -1}};
    for (uint64_t seed = 1; seed <= 4; seed++) {
        struct sim_result result = run_small_scenario("quiet", seed, faults, ROWS(faults));
        if (!result.duty_rent_calls || !result.duty_returned_machines || result.stale_token_refusals)
            fail_msg("seed %llu: %u rentals, %u returns, %u stale", (unsigned long long)seed,
                     result.duty_rent_calls, result.duty_returned_machines, result.stale_token_refusals);
    }
}

static void run_single_faults(enum sim_fault_kind first, enum sim_fault_kind end) {
    for (int kind = (int)first; kind < (int)end; kind++)
        for (uint64_t seed = 1; seed <= 2; seed++) {
            const struct sim_fault faults[] = {
                {SIM_SWITCH_DUTIES, 0, SIM_PERMANENT_MS, -1},
                {(enum sim_fault_kind)kind, 25000, 20000 + 9000 * (amb_ms)seed, -1},
                {(enum sim_fault_kind)kind, 80000, 25000, -1}};
            char what[32];
            snprintf(what, sizeof what, "fault %d", kind);
            run_small_scenario(what, seed, faults, ROWS(faults));
        }
}

static void controller_faults(void **state) {
    (void)state;
    run_single_faults(SIM_KILL, SIM_MACHINE_HANG);
}

static void machine_and_service_faults(void **state) {
    (void)state;
    run_single_faults(SIM_MACHINE_HANG, SIM_LOSE_HEARTBEATS);
}

static void message_faults(void **state) {
    (void)state;
    run_single_faults(SIM_LOSE_HEARTBEATS, SIM_LOWER_STORE_LIMITS);
}

/* Duties are switched on and off again, one controller at a time, also during failovers and outages. */
static void switched_while_it_runs(void **state) {
    (void)state;
    static const struct {
        const char *what;
        struct sim_fault faults[4];
        size_t count;
        uint32_t changes;
    } rows[] = {
        {"switched on", {{SIM_SWITCH_DUTIES, 20000, SIM_PERMANENT_MS, -1}}, 1, 1},
        {"switched off", {{SIM_SWITCH_DUTIES, 0, 60000, -1}}, 1, 2},
        {"on and off", {{SIM_SWITCH_DUTIES, 20000, 70000, -1}}, 1, 2},
        {"on and off while leaders are killed",
         {{SIM_SWITCH_DUTIES, 15000, 60000, -1}, {SIM_KILL, 48000, 1, -1}, {SIM_KILL, 85000, 1, -1}},
         3,
         2},
        {"on and off in an outage of the cloud",
         {{SIM_SWITCH_DUTIES, 15000, 50000, -1}, {SIM_CLOUD_OUTAGE, 50000, 40000, -1}},
         2,
         2},
        {"on and off in an outage of the state service",
         {{SIM_SWITCH_DUTIES, 15000, 50000, -1},
          {SIM_STORE_OUTAGE, 44000, 8000, -1},
          {SIM_STORE_OUTAGE, 70000, 9000, -1}},
         3,
         2},
    };
    for (size_t i = 0; i < ROWS(rows); i++)
        for (uint64_t seed = 1; seed <= 3; seed++) {
            struct sim_result result = run_small_scenario(rows[i].what, seed, rows[i].faults, rows[i].count);
            if (!result.handovers || result.mode_changes != rows[i].changes)
                fail_msg("%s, seed %llu: %u handovers, the mode changed %u times", rows[i].what,
                         (unsigned long long)seed, result.handovers, result.mode_changes);
        }
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(days_without_faults),        cmocka_unit_test(controller_faults),
        cmocka_unit_test(machine_and_service_faults), cmocka_unit_test(message_faults),
        cmocka_unit_test(switched_while_it_runs),
    };
    if (!choose_named_test(tests, ROWS(tests), argc, argv)) return 2;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
