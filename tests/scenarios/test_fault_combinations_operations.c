/* Faults that operators meet daily: machines that boot late or never, controllers that pause or are cut off
 * for long, floods of queries, jobs that always fail, a team without guaranteed resources. Every rule must
 * hold at every moment, every accepted job must be completed or cancelled, and each scenario must have at
 * least the cancellations of its table row. */
#include "check.h"
#include "named_tests.h"
#include "scenario_table.h"
#include "standin.h"

enum {
    FIRST_SEED = 1,
    LAST_SEED = 3,
    LEADER = -1,
    MOST = 80,              /* percent */
    AGENT_LEASE_MS = 10000, /* of sim_small */
    LEADER_LEASE_MS = 3000, /* roughly the leadership lease of sim_small */
    ABSENCE_MS = 75000,     /* of a controller that is cut off or paused for more than a minute */
};

static void run_scenario(const struct fault_scenario *scenario) {
    run_seeds(scenario, FIRST_SEED, LAST_SEED);
}

static void run_scenarios(const struct fault_scenario *scenarios, size_t count) {
    for (size_t i = 0; i < count; i++) run_scenario(&scenarios[i]);
}

static void boots(void **state) {
    (void)state;
    static const struct fault_scenario scenarios[] = {
        {"late", 0, 0, {{SIM_SLOW_BOOTS, 1000, 150000, -1}}},
        {"one in four never", 0, 0, {{SIM_FAILED_BOOTS, 1000, 150000, -1}}},
        {"most never, then far faster",
         0,
         0,
         {{SIM_FAILED_BOOTS, 1000, 60000, MOST}, {SIM_QUICK_BOOTS, 61000, 90000, -1}}},
        {"leaders are killed while boots are overdue and returns are late",
         0,
         0,
         {{SIM_FAILED_BOOTS, 1000, 120000, MOST},
          {SIM_LATE_RETURNS, 60000, 90000, MOST},
          {SIM_KILL, 80000, 1, LEADER},
          {SIM_KILL, 110000, 1, LEADER}}},
        {"late, in an outage, with cancellations",
         6,
         0,
         {{SIM_SLOW_BOOTS, 1000, 120000, -1},
          {SIM_STORE_OUTAGE, 40000, 20000, -1},
          {SIM_CANCEL_BURST, 62000, 0, 6}}},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

static void silent_nodes(void **state) {
    (void)state;
    static const struct fault_scenario scenarios[] = {
        {"the leader is cut off from everything",
         6,
         0,
         {{SIM_CUT_ALL, 50000, ABSENCE_MS, LEADER}, {SIM_CANCEL_BURST, 60000, 0, 6}}},
        {"the leader pauses for as long",
         6,
         0,
         {{SIM_PAUSE_NODE, 50000, ABSENCE_MS, LEADER}, {SIM_CANCEL_BURST, 60000, 0, 6}}},
        {"two of three, one after the other",
         0,
         0,
         {{SIM_PAUSE_NODE, 50000, ABSENCE_MS, 0}, {SIM_CUT_ALL, 90000, ABSENCE_MS, 1}}},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

/* A leader that pauses for about its own lease or the lease of its workers must not carry out, when it
 * resumes, what it decided before the pause. */
static void freezes(void **state) {
    (void)state;
    static const struct fault_scenario scenarios[] = {
        {"just shorter than the leadership lease",
         6,
         0,
         {{SIM_PAUSE_NODE, 50000, LEADER_LEASE_MS - 300, LEADER}, {SIM_CANCEL_BURST, 51000, 0, 6}}},
        {"past the leadership lease, with cancellations confirmed elsewhere meanwhile",
         6,
         0,
         {{SIM_PAUSE_NODE, 50000, LEADER_LEASE_MS + 2000, LEADER}, {SIM_CANCEL_BURST, 53500, 0, 6}}},
        {"just longer than a worker's lease",
         6,
         0,
         {{SIM_PAUSE_NODE, 50000, AGENT_LEASE_MS + 500, LEADER}, {SIM_CANCEL_BURST, 55000, 0, 6}}},
        {"for two leases of a worker, several times",
         6,
         0,
         {{SIM_PAUSE_NODE, 50000, 2 * AGENT_LEASE_MS, LEADER},
          {SIM_CANCEL_BURST, 60000, 0, 6},
          {SIM_PAUSE_NODE, 80000, 5000, LEADER},
          {SIM_PAUSE_NODE, 95000, 2 * AGENT_LEASE_MS, LEADER}}},
        {"during an outage of the state service",
         4,
         0,
         {{SIM_STORE_OUTAGE, 50000, 30000, -1},
          {SIM_PAUSE_NODE, 55000, 5000, LEADER},
          {SIM_PAUSE_NODE, 65000, 20000, LEADER},
          {SIM_CANCEL_BURST, 86000, 0, 6}}},
        {"with late commands and writes",
         6,
         0,
         {{SIM_LATE_COMMANDS, 40000, 60000, -1},
          {SIM_LATE_WRITES, 40000, 60000, -1},
          {SIM_PAUSE_NODE, 50000, 5000, LEADER},
          {SIM_CANCEL_BURST, 52000, 0, 6},
          {SIM_PAUSE_NODE, 70000, 12000, LEADER}}},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

static void questions(void **state) {
    (void)state;
    static const struct fault_scenario scenarios[] = {
        {"alone", 6, 0, {{SIM_FREQUENT_POLLING, 30000, 90000, -1}, {SIM_CANCEL_BURST, 60000, 0, 6}}},
        {"during a failover",
         6,
         0,
         {{SIM_FREQUENT_POLLING, 30000, 90000, -1},
          {SIM_KILL, 60000, 1, LEADER},
          {SIM_CANCEL_BURST, 61000, 0, 6}}},
        {"in an outage of the state service",
         0,
         0,
         {{SIM_FREQUENT_POLLING, 30000, 90000, -1}, {SIM_STORE_OUTAGE, 60000, 20000, -1}}},
        {"during a stream of one-task jobs", 6, SIM_LOAD_STREAM, {{SIM_FREQUENT_POLLING, 30000, 90000, -1}}},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

static void broken_jobs(void **state) {
    (void)state;
    static const struct fault_scenario scenarios[] = {
        {"alone", 6, SIM_LOAD_FAILING_JOBS, {{0}}},
        {"with a faulty machine", 6, SIM_LOAD_FAILING_JOBS, {{SIM_FAULTY_MACHINE, 30000, 60000, -1}}},
        {"cancelled at a failover",
         6,
         SIM_LOAD_FAILING_JOBS,
         {{SIM_CANCEL_BURST, 49500, 0, 8}, {SIM_KILL, 50000, 1, LEADER}, {SIM_CANCEL_BURST, 50300, 0, 8}}},
        {"in an outage of the state service",
         6,
         SIM_LOAD_FAILING_JOBS,
         {{SIM_STORE_OUTAGE, 50000, 25000, -1}}},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

static void guests(void **state) {
    (void)state;
    static const struct fault_scenario scenarios[] = {
        {"alone", 0, SIM_LOAD_NO_GUARANTEE, {{0}}},
        {"with a stream of one-task jobs, at a failover",
         6,
         SIM_LOAD_NO_GUARANTEE | SIM_LOAD_STREAM,
         {{SIM_KILL, 40000, 1, LEADER}}},
        {"more work than capacity, in an outage of the state service",
         0,
         SIM_LOAD_NO_GUARANTEE | SIM_LOAD_OVERLOAD,
         {{SIM_STORE_OUTAGE, 50000, 20000, -1}}},
        {"with failing jobs and cancellations",
         6,
         SIM_LOAD_NO_GUARANTEE | SIM_LOAD_FAILING_JOBS,
         {{SIM_CANCEL_BURST, 50000, 0, 8}}},
        {"while boots are late and the leader pauses",
         0,
         SIM_LOAD_NO_GUARANTEE,
         {{SIM_SLOW_BOOTS, 1000, 120000, -1}, {SIM_PAUSE_NODE, 60000, 5000, LEADER}}},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(boots),     cmocka_unit_test(silent_nodes), cmocka_unit_test(freezes),
        cmocka_unit_test(questions), cmocka_unit_test(broken_jobs),  cmocka_unit_test(guests),
    };
    if (!choose_named_test(tests, ROWS(tests), argc, argv)) return 2;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
