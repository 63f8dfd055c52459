/* Whole days against the stand-in with the troubles of an operations desk: boots that are late or never end,
 * nodes that stand still or are silent for long, floods of questions, jobs with a mistake, a guest team.
 * Every rule must hold at every moment, what was accepted must get done, and the day must have had as many
 * cancellations as the table says, at least. */
#include "check.h"
#include "named_tests.h"
#include "scenario_table.h"
#include "standin.h"

enum {
    FIRST_SEED = 1,
    LAST_SEED = 3,
    LEADER = -1,
    MOST = 80,       /* percent */
    LEASE = 10000,   /* of sim_small */
    LEAD = 3000,     /* about the leadership lease there */
    SILENCE = 75000, /* of a node that is gone for more than a minute */
};

static void play(const struct fault_scenario *day) {
    run_seeds(day, FIRST_SEED, LAST_SEED);
}

static void play_all(const struct fault_scenario *days, size_t count) {
    for (size_t i = 0; i < count; i++) play(&days[i]);
}

static void boots(void **state) {
    (void)state;
    static const struct fault_scenario days[] = {
        {"late", 0, 0, {{SIM_SLOW_BOOTS, 1000, 150000, -1}}},
        {"one in four never", 0, 0, {{SIM_FAILED_BOOTS, 1000, 150000, -1}}},
        {"most never, then far sooner",
         0,
         0,
         {{SIM_FAILED_BOOTS, 1000, 60000, MOST}, {SIM_QUICK_BOOTS, 61000, 90000, -1}}},
        {"the leader ends while boots are overdue and returns are late",
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
    play_all(days, ROWS(days));
}

static void silent_nodes(void **state) {
    (void)state;
    static const struct fault_scenario days[] = {
        {"the leader, cut from all",
         6,
         0,
         {{SIM_CUT_ALL, 50000, SILENCE, LEADER}, {SIM_CANCEL_BURST, 60000, 0, 6}}},
        {"the leader stands still for as long",
         6,
         0,
         {{SIM_PAUSE_NODE, 50000, SILENCE, LEADER}, {SIM_CANCEL_BURST, 60000, 0, 6}}},
        {"two of three, one after the other",
         0,
         0,
         {{SIM_PAUSE_NODE, 50000, SILENCE, 0}, {SIM_CUT_ALL, 90000, SILENCE, 1}}},
    };
    play_all(days, ROWS(days));
}

/* A leader that stands still for about its lease or the workers' acts on nothing decided before. */
static void freezes(void **state) {
    (void)state;
    static const struct fault_scenario days[] = {
        {"just shorter than the lead",
         6,
         0,
         {{SIM_PAUSE_NODE, 50000, LEAD - 300, LEADER}, {SIM_CANCEL_BURST, 51000, 0, 6}}},
        {"across its end, a cancellation confirmed elsewhere meanwhile",
         6,
         0,
         {{SIM_PAUSE_NODE, 50000, LEAD + 2000, LEADER}, {SIM_CANCEL_BURST, 53500, 0, 6}}},
        {"just longer than a worker's lease",
         6,
         0,
         {{SIM_PAUSE_NODE, 50000, LEASE + 500, LEADER}, {SIM_CANCEL_BURST, 55000, 0, 6}}},
        {"for two leases, again and again",
         6,
         0,
         {{SIM_PAUSE_NODE, 50000, 2 * LEASE, LEADER},
          {SIM_CANCEL_BURST, 60000, 0, 6},
          {SIM_PAUSE_NODE, 80000, 5000, LEADER},
          {SIM_PAUSE_NODE, 95000, 2 * LEASE, LEADER}}},
        {"inside an outage",
         4,
         0,
         {{SIM_STORE_OUTAGE, 50000, 30000, -1},
          {SIM_PAUSE_NODE, 55000, 5000, LEADER},
          {SIM_PAUSE_NODE, 65000, 20000, LEADER},
          {SIM_CANCEL_BURST, 86000, 0, 6}}},
        {"with commands and writes that come late",
         6,
         0,
         {{SIM_LATE_COMMANDS, 40000, 60000, -1},
          {SIM_LATE_WRITES, 40000, 60000, -1},
          {SIM_PAUSE_NODE, 50000, 5000, LEADER},
          {SIM_CANCEL_BURST, 52000, 0, 6},
          {SIM_PAUSE_NODE, 70000, 12000, LEADER}}},
    };
    play_all(days, ROWS(days));
}

static void questions(void **state) {
    (void)state;
    static const struct fault_scenario days[] = {
        {"alone", 6, 0, {{SIM_FREQUENT_POLLING, 30000, 90000, -1}, {SIM_CANCEL_BURST, 60000, 0, 6}}},
        {"at a change of leader",
         6,
         0,
         {{SIM_FREQUENT_POLLING, 30000, 90000, -1},
          {SIM_KILL, 60000, 1, LEADER},
          {SIM_CANCEL_BURST, 61000, 0, 6}}},
        {"in an outage",
         0,
         0,
         {{SIM_FREQUENT_POLLING, 30000, 90000, -1}, {SIM_STORE_OUTAGE, 60000, 20000, -1}}},
        {"while one-task jobs come fast", 6, SIM_LOAD_STREAM, {{SIM_FREQUENT_POLLING, 30000, 90000, -1}}},
    };
    play_all(days, ROWS(days));
}

static void broken_jobs(void **state) {
    (void)state;
    static const struct fault_scenario days[] = {
        {"alone", 6, SIM_LOAD_FAILING_JOBS, {{0}}},
        {"with a bad machine", 6, SIM_LOAD_FAILING_JOBS, {{SIM_FAULTY_MACHINE, 30000, 60000, -1}}},
        {"cancelled at a handover",
         6,
         SIM_LOAD_FAILING_JOBS,
         {{SIM_CANCEL_BURST, 49500, 0, 8}, {SIM_KILL, 50000, 1, LEADER}, {SIM_CANCEL_BURST, 50300, 0, 8}}},
        {"in an outage", 6, SIM_LOAD_FAILING_JOBS, {{SIM_STORE_OUTAGE, 50000, 25000, -1}}},
    };
    play_all(days, ROWS(days));
}

static void guests(void **state) {
    (void)state;
    static const struct fault_scenario days[] = {
        {"alone", 0, SIM_LOAD_NO_GUARANTEE, {{0}}},
        {"one-task jobs too, at a change of leader",
         6,
         SIM_LOAD_NO_GUARANTEE | SIM_LOAD_STREAM,
         {{SIM_KILL, 40000, 1, LEADER}}},
        {"more work than room, in an outage",
         0,
         SIM_LOAD_NO_GUARANTEE | SIM_LOAD_OVERLOAD,
         {{SIM_STORE_OUTAGE, 50000, 20000, -1}}},
        {"broken jobs too, with cancellations",
         6,
         SIM_LOAD_NO_GUARANTEE | SIM_LOAD_FAILING_JOBS,
         {{SIM_CANCEL_BURST, 50000, 0, 8}}},
        {"while boots are late and nodes stand still",
         0,
         SIM_LOAD_NO_GUARANTEE,
         {{SIM_SLOW_BOOTS, 1000, 120000, -1}, {SIM_PAUSE_NODE, 60000, 5000, LEADER}}},
    };
    play_all(days, ROWS(days));
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(boots),     cmocka_unit_test(silent_nodes), cmocka_unit_test(freezes),
        cmocka_unit_test(questions), cmocka_unit_test(broken_jobs),  cmocka_unit_test(guests),
    };
    if (!choose_named_test(tests, ROWS(tests), argc, argv)) return 2;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
