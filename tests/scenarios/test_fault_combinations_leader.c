/* Fault combinations of docs/design/fault-combinations.md that concern the election of leaders and a leader
 * that receives no changes, one test function each. Every rule must hold at every moment, every accepted job
 * must be completed or cancelled, and each scenario must have at least the cancellations of its table row, so
 * that the combination has occurred. */
#include "check.h"
#include "named_tests.h"
#include "scenario_table.h"
#include "standin.h"

#include "amberpin/base/log.h"

enum {
    FIRST_SEED = 1,
    LAST_SEED = 5,
    LEASE = 10000, /* of sim_small */
    CANCEL = 30000,
    LONG_CUT = 2 * CANCEL,
    LONG_REPLY_LOSS = 2 * LEASE,
};

static void run_scenario(const struct fault_scenario *scenario) {
    run_seeds(scenario, FIRST_SEED, LAST_SEED);
}

static void run_scenarios(const struct fault_scenario *scenarios, size_t count) {
    for (size_t i = 0; i < count; i++) run_scenario(&scenarios[i]);
}

/* Two controllers confirm cancellations that the leader does not learn of, and restart in the outage that
 * follows: after a restart they must not confirm the leader, because they have forgotten the cancellations.
 */
static void run_gap_with_restarts(int one, int other) {
    const struct fault_scenario scenario = {"the gap, then the confirming controllers restart",
                                            15,
                                            0,
                                            {{SIM_STORE_REFUSES_NODE, 50000, 14000, -1},
                                             {SIM_CUT_PEERS, 50050, 1500, -1},
                                             {SIM_CANCEL_BURST, 50200, 0, 8},
                                             {SIM_STORE_OUTAGE, 51450, CANCEL + 22000, -1},
                                             {SIM_RESTART, 51500, 1, one},
                                             {SIM_RESTART, 51500, 1, other}}};
    run_scenario(&scenario);
}

/* Row 1, called the gap: the state service refuses the leader alone, another controller confirms
 * cancellations, then all controllers are refused for longer than cancel_s, while workers still send their
 * heartbeats to the old leader. */
static void gap(void **state) {
    (void)state;
    static const struct fault_scenario scenarios[] = {
        {"the gap, twice",
         30,
         0,
         {{SIM_STORE_REFUSES_NODE, 70000, 14000, -1},
          {SIM_CANCEL_BURST, 70300, 0, 6},
          {SIM_CANCEL_BURST, 71000, 0, 6},
          {SIM_STORE_OUTAGE, 72000, CANCEL + 22000, -1},
          {SIM_STORE_REFUSES_NODE, 145000, 14000, -1},
          {SIM_CANCEL_BURST, 145500, 0, 10},
          {SIM_STORE_OUTAGE, 147000, CANCEL + 22000, -1}}},
        {"the gap while the peers are out of reach",
         25,
         0,
         {{SIM_STORE_REFUSES_NODE, 50000, 14000, -1},
          {SIM_CANCEL_BURST, 50200, 0, 8},
          {SIM_CUT_PEERS, 50100, CANCEL + 25000, -1},
          {SIM_STORE_OUTAGE, 52000, CANCEL + 22000, -1}}},
    };
    run_scenarios(scenarios, ROWS(scenarios));
    /* One of the three pairs is the two peers of the leader, whichever controller leads. */
    run_gap_with_restarts(1, 2);
    run_gap_with_restarts(0, 2);
    run_gap_with_restarts(0, 1);
}

/* Row 2: ten changes of leader within two minutes, also during an outage of the state service. */
static void ten_leaders(void **state) {
    (void)state;
    static const struct fault_scenario scenarios[] = {
        {"ten leaders are killed, restarted or cut off",
         10,
         0,
         {{SIM_KILL, 30000, 1, -1},
          {SIM_KILL, 42000, 1, -1},
          {SIM_RESTART, 54000, 1, -1},
          {SIM_KILL, 66000, 1, -1},
          {SIM_CUT_ALL, 78000, 9000, -1},
          {SIM_KILL, 90000, 1, -1},
          {SIM_RESTART, 102000, 1, -1},
          {SIM_STORE_REFUSES_NODE, 114000, 9000, -1},
          {SIM_KILL, 126000, 1, -1},
          {SIM_KILL, 138000, 1, -1},
          {SIM_CANCEL_BURST, 66500, 0, 4},
          {SIM_CANCEL_BURST, 102300, 0, 4}}},
        {"leaders are killed before, in and after an outage",
         10,
         0,
         {{SIM_KILL, 40000, 1, -1},
          {SIM_CANCEL_BURST, 43500, 0, 6},
          {SIM_STORE_OUTAGE, 44500, CANCEL + 20000, -1},
          {SIM_KILL, 46000, 1, -1},
          {SIM_RESTART, 56000, 1, -1},
          {SIM_KILL, 70000, 1, -1},
          {SIM_KILL, 95000, 1, -1},
          {SIM_KILL, 99000, 1, -1},
          {SIM_RESTART, 103000, 1, -1}}},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

/* Row 5: leadership changes back and forth, then all controllers are killed and one returns, also within a
 * second. */
static void all_end_and_one_returns(void **state) {
    (void)state;
    static const struct fault_scenario scenarios[] = {
        {"leadership changes twice, all are killed, one is back within a second",
         10,
         0,
         {{SIM_KILL, 40000, 1, 0},
          {SIM_KILL, 47000, 1, 1},
          {SIM_KILL, 54000, 1, 0},
          {SIM_CANCEL_BURST, 59800, 0, 6},
          {SIM_KILL, 60000, 1, 0},
          {SIM_KILL, 60000, 1, 1},
          {SIM_RESTART, 60000, 1, 2},
          {SIM_RESTART, 61000, 1, 2},
          {SIM_RESTART, 100000, 1, 0},
          {SIM_RESTART, 100000, 1, 1},
          {SIM_RESTART, 100000, 1, 2}}},
        {"the same while writes are late",
         10,
         0,
         {{SIM_LATE_WRITES, 38000, 40000, 30},
          {SIM_KILL, 40000, 1, -1},
          {SIM_RESTART, 45000, 1, -1},
          {SIM_CANCEL_BURST, 52000, 0, 6},
          {SIM_KILL, 54000, 1, 0},
          {SIM_KILL, 54000, 1, 1},
          {SIM_RESTART, 54000, 1, 2},
          {SIM_RESTART, 54700, 1, 2},
          {SIM_RESTART, 58000, 1, 2}}},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

/* Row 6: the leader is cut from the state service and the other controllers, while workers and users reach
 * it; jobs are cancelled through the new one. */
static void leader_cut_off_but_for_agents(void **state) {
    (void)state;
    static const struct fault_scenario scenarios[] = {
        {"cut off from all but workers and users",
         25,
         0,
         {{SIM_CUT_ALL_BUT_AGENTS, 50000, LONG_CUT, -1},
          {SIM_CANCEL_BURST, 50400, 0, 4},
          {SIM_CANCEL_BURST, 52000, 0, 4},
          {SIM_CANCEL_BURST, 55000, 0, 4},
          {SIM_CANCEL_BURST, 60000, 0, 4}}},
        {"then the new leader is cut off too",
         25,
         0,
         {{SIM_CUT_ALL_BUT_AGENTS, 40000, 50000, 0},
          {SIM_CANCEL_BURST, 41000, 0, 4},
          {SIM_CUT_ALL_BUT_AGENTS, 50000, 50000, 1},
          {SIM_CANCEL_BURST, 51000, 0, 4},
          {SIM_CUT_ALL_BUT_AGENTS, 95000, 50000, 2},
          {SIM_CANCEL_BURST, 95500, 0, 4}}},
        {"cut off, then an outage of the state service",
         25,
         0,
         {{SIM_CUT_ALL_BUT_AGENTS, 50000, LONG_CUT, -1},
          {SIM_CANCEL_BURST, 50400, 0, 8},
          {SIM_STORE_OUTAGE, 51500, CANCEL + 10000, -1}}},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

/* Row 7: the state service is slow, or refuses the leader alone and then everybody for longer than cancel_s,
 * while users cancel jobs and query them. */
static void slow_or_refused(void **state) {
    (void)state;
    static const struct fault_scenario scenarios[] = {
        {"slow throughout, then refused",
         25,
         0,
         {{SIM_SLOW_STORE, 40000, 60000, -1},
          {SIM_POLL_BURST, 45000, 60000, -1},
          {SIM_CANCEL_BURST, 50000, 0, 4},
          {SIM_STORE_REFUSES_NODE, 60000, 20000, -1},
          {SIM_CANCEL_BURST, 62000, 0, 6},
          {SIM_STORE_OUTAGE, 66000, CANCEL + 15000, -1}}},
        {"only the leader is refused while users cancel",
         25,
         0,
         {{SIM_STORE_REFUSES_NODE, 50000, 30000, -1},
          {SIM_POLL_BURST, 50000, 40000, -1},
          {SIM_CANCEL_BURST, 50300, 0, 3},
          {SIM_CANCEL_BURST, 51000, 0, 3},
          {SIM_CANCEL_BURST, 52000, 0, 3},
          {SIM_STORE_OUTAGE, 52600, CANCEL + 15000, -1}}},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

/* Row 11: jobs are cancelled at the moment at which the state service begins to refuse the leader alone; a
 * second later the state service is out for longer than cancel_s. */
static void cancelled_as_the_leader_is_refused(void **state) {
    (void)state;
    static const struct fault_scenario scenarios[] = {
        {"at the same moment",
         25,
         0,
         {{SIM_STORE_REFUSES_NODE, 60000, 14000, -1},
          {SIM_CANCEL_BURST, 60000, 0, 10},
          {SIM_STORE_OUTAGE, 61000, CANCEL + 20000, -1}}},
        {"just after a failover, before the new leader has read the placement log",
         20,
         0,
         {{SIM_KILL, 60000, 1, -1},
          {SIM_CANCEL_BURST, 63600, 0, 10},
          {SIM_SLOW_STORE, 62000, 5000, -1},
          {SIM_STORE_REFUSES_NODE, 64000, 14000, -1},
          {SIM_STORE_OUTAGE, 64900, CANCEL + 20000, -1}}},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

/* Row 18: a zone with workers and a controller is cut off for longer than lease_s. */
static void zone_cut_off(void **state) {
    (void)state;
    static const struct fault_scenario scenarios[] = {
        {"jobs are cancelled meanwhile",
         25,
         0,
         {{SIM_ZONE_PARTITION, 40000, 60000, -1},
          {SIM_CANCEL_BURST, 42000, 0, 4},
          {SIM_CANCEL_BURST, 55000, 0, 4}}},
        {"and the cloud takes back no machine",
         25,
         0,
         {{SIM_ZONE_PARTITION, 40000, 70000, -1},
          {SIM_CLOUD_OUTAGE, 46000, 60000, -1},
          {SIM_CANCEL_BURST, 50000, 0, 4},
          {SIM_CANCEL_BURST, 55000, 0, 4}}},
        {"and the leader is killed",
         25,
         0,
         {{SIM_ZONE_PARTITION, 40000, 60000, -1},
          {SIM_CANCEL_BURST, 49500, 0, 5},
          {SIM_KILL, 50000, 1, -1},
          {SIM_CANCEL_BURST, 60000, 0, 4}}},
        {"and the state service is out",
         25,
         0,
         {{SIM_ZONE_PARTITION, 40000, 80000, -1},
          {SIM_CANCEL_BURST, 49500, 0, 8},
          {SIM_STORE_OUTAGE, 50500, CANCEL + 15000, -1}}},
    };
    run_scenarios(scenarios, ROWS(scenarios));
    /* With this seed the leader does not answer a machine in the cut-off zone for a whole lease, while a
     * lease proxy keeps the machine's tasks alive. */
    struct fault_scenario kept_by_lease_proxy = scenarios[0];
    kept_by_lease_proxy.min_cancelled = 3;
    run_seeds(&kept_by_lease_proxy, 24, 24);
}

/* Row 22: all controllers are down for longer than lease_s. A killed controller is back after six seconds and
 * is killed again at once. */
static void all_controllers_down_longer_than_a_lease(void **state) {
    (void)state;
    static const struct fault_scenario scenarios[] = {
        {"all controllers are down",
         15,
         0,
         {{SIM_CANCEL_BURST, 49500, 0, 6},
          {SIM_KILL, 50000, 1, 0},
          {SIM_KILL, 50000, 1, 1},
          {SIM_KILL, 50000, 1, 2},
          {SIM_KILL, 56100, 1, 0},
          {SIM_KILL, 56100, 1, 1},
          {SIM_KILL, 56100, 1, 2}}},
        {"and machines hang or receive no answers when they are back",
         15,
         0,
         {{SIM_CANCEL_BURST, 49500, 20000, 6},
          {SIM_KILL, 50000, 1, 0},
          {SIM_KILL, 50000, 1, 1},
          {SIM_KILL, 50000, 1, 2},
          {SIM_KILL, 56100, 1, 0},
          {SIM_KILL, 56100, 1, 1},
          {SIM_KILL, 56100, 1, 2},
          {SIM_LOSE_HEARTBEAT_REPLIES, 61000, LONG_REPLY_LOSS, -1}}},
        {"and the cloud is out, so that the records cannot be read",
         15,
         0,
         {{SIM_CLOUD_OUTAGE, 49000, CANCEL + 40000, -1},
          {SIM_KILL, 50000, 1, 0},
          {SIM_KILL, 50000, 1, 1},
          {SIM_KILL, 50000, 1, 2},
          {SIM_CANCEL_BURST, 58500, 0, 4},
          {SIM_CANCEL_BURST, 62000, 0, 4}}},
    };
    run_scenarios(scenarios, ROWS(scenarios));
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(gap),
        cmocka_unit_test(ten_leaders),
        cmocka_unit_test(all_end_and_one_returns),
        cmocka_unit_test(leader_cut_off_but_for_agents),
        cmocka_unit_test(slow_or_refused),
        cmocka_unit_test(cancelled_as_the_leader_is_refused),
        cmocka_unit_test(zone_cut_off),
        cmocka_unit_test(all_controllers_down_longer_than_a_lease),
    };
    if (!choose_named_test(tests, ROWS(tests), argc, argv)) return 2;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
