/* Whole days against the stand-in, one test for each meeting of docs/design/fault-combinations.md that tries
 * who leads and what a leader without news does. Every rule must hold at every moment, what was accepted must
 * get done, and the day must have brought the meeting about: as many cancellations as the table says, at
 * least. */
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
    LONG_DEAF = 2 * LEASE,
};

static void play(const struct fault_scenario *day) {
    run_seeds(day, FIRST_SEED, LAST_SEED);
}

static void play_all(const struct fault_scenario *days, size_t count) {
    for (size_t i = 0; i < count; i++) play(&days[i]);
}

/* Two nodes confirm cancellations while the leader does not hear them, and restart in the outage that
 * follows: what they are then is no witness of what they were. */
static void play_gap_with_restarts(int one, int other) {
    const struct fault_scenario day = {"the gap, and those who have confirmed restart",
                                       15,
                                       0,
                                       {{SIM_STORE_REFUSES_NODE, 50000, 14000, -1},
                                        {SIM_CUT_PEERS, 50050, 1500, -1},
                                        {SIM_CANCEL_BURST, 50200, 0, 8},
                                        {SIM_STORE_OUTAGE, 51450, CANCEL + 22000, -1},
                                        {SIM_RESTART, 51500, 1, one},
                                        {SIM_RESTART, 51500, 1, other}}};
    play(&day);
}

/* Row 1, the letter's gap: the state service refuses the leader alone, another controller confirms
 * cancellations, then everybody is refused for longer than cancel_s, while workers report to the old leader.
 */
static void gap(void **state) {
    (void)state;
    static const struct fault_scenario days[] = {
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
        {"the gap, and the peers are out of reach",
         25,
         0,
         {{SIM_STORE_REFUSES_NODE, 50000, 14000, -1},
          {SIM_CANCEL_BURST, 50200, 0, 8},
          {SIM_CUT_PEERS, 50100, CANCEL + 25000, -1},
          {SIM_STORE_OUTAGE, 52000, CANCEL + 22000, -1}}},
    };
    play_all(days, ROWS(days));
    /* Whichever node leads, once its peers are the two. */
    play_gap_with_restarts(1, 2);
    play_gap_with_restarts(0, 2);
    play_gap_with_restarts(0, 1);
}

/* Row 2: ten leaders in two minutes, also inside an outage. */
static void ten_leaders(void **state) {
    (void)state;
    static const struct fault_scenario days[] = {
        {"ten leaders end",
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
        {"leaders end before, in and after an outage",
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
    play_all(days, ROWS(days));
}

/* Row 5: controllers hand over and back, all end, and one returns, also within a second. */
static void all_end_and_one_returns(void **state) {
    (void)state;
    static const struct fault_scenario days[] = {
        {"over and back, all end, one is back within a second",
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
        {"writes come late while it does",
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
    play_all(days, ROWS(days));
}

/* Row 6: the leader is cut from the state service and the other controllers, while workers and users reach
 * it; jobs are cancelled through the new one. */
static void leader_cut_off_but_for_agents(void **state) {
    (void)state;
    static const struct fault_scenario days[] = {
        {"cut but for workers and users",
         25,
         0,
         {{SIM_CUT_ALL_BUT_AGENTS, 50000, LONG_CUT, -1},
          {SIM_CANCEL_BURST, 50400, 0, 4},
          {SIM_CANCEL_BURST, 52000, 0, 4},
          {SIM_CANCEL_BURST, 55000, 0, 4},
          {SIM_CANCEL_BURST, 60000, 0, 4}}},
        {"and then the new one",
         25,
         0,
         {{SIM_CUT_ALL_BUT_AGENTS, 40000, 50000, 0},
          {SIM_CANCEL_BURST, 41000, 0, 4},
          {SIM_CUT_ALL_BUT_AGENTS, 50000, 50000, 1},
          {SIM_CANCEL_BURST, 51000, 0, 4},
          {SIM_CUT_ALL_BUT_AGENTS, 95000, 50000, 2},
          {SIM_CANCEL_BURST, 95500, 0, 4}}},
        {"and the state service is out as well",
         25,
         0,
         {{SIM_CUT_ALL_BUT_AGENTS, 50000, LONG_CUT, -1},
          {SIM_CANCEL_BURST, 50400, 0, 8},
          {SIM_STORE_OUTAGE, 51500, CANCEL + 10000, -1}}},
    };
    play_all(days, ROWS(days));
}

/* Row 7: the state service is slow, or refuses the leader alone and then everybody for longer than cancel_s,
 * while users cancel and ask. */
static void slow_or_refused(void **state) {
    (void)state;
    static const struct fault_scenario days[] = {
        {"slow all the while, then refused",
         25,
         0,
         {{SIM_SLOW_STORE, 40000, 60000, -1},
          {SIM_POLL_BURST, 45000, 60000, -1},
          {SIM_CANCEL_BURST, 50000, 0, 4},
          {SIM_STORE_REFUSES_NODE, 60000, 20000, -1},
          {SIM_CANCEL_BURST, 62000, 0, 6},
          {SIM_STORE_OUTAGE, 66000, CANCEL + 15000, -1}}},
        {"refused alone for as long as users cancel",
         25,
         0,
         {{SIM_STORE_REFUSES_NODE, 50000, 30000, -1},
          {SIM_POLL_BURST, 50000, 40000, -1},
          {SIM_CANCEL_BURST, 50300, 0, 3},
          {SIM_CANCEL_BURST, 51000, 0, 3},
          {SIM_CANCEL_BURST, 52000, 0, 3},
          {SIM_STORE_OUTAGE, 52600, CANCEL + 15000, -1}}},
    };
    play_all(days, ROWS(days));
}

/* Row 11: cancelled at the very moment at which the state service refuses the leader alone; a second later it
 * is out for longer than cancel_s. */
static void cancelled_as_the_leader_is_refused(void **state) {
    (void)state;
    static const struct fault_scenario days[] = {
        {"at the very moment",
         25,
         0,
         {{SIM_STORE_REFUSES_NODE, 60000, 14000, -1},
          {SIM_CANCEL_BURST, 60000, 0, 10},
          {SIM_STORE_OUTAGE, 61000, CANCEL + 20000, -1}}},
        {"just after a change of leader, which has no records yet",
         20,
         0,
         {{SIM_KILL, 60000, 1, -1},
          {SIM_CANCEL_BURST, 63600, 0, 10},
          {SIM_SLOW_STORE, 62000, 5000, -1},
          {SIM_STORE_REFUSES_NODE, 64000, 14000, -1},
          {SIM_STORE_OUTAGE, 64900, CANCEL + 20000, -1}}},
    };
    play_all(days, ROWS(days));
}

/* Row 18: a zone with workers and a controller is cut off for longer than lease_s. */
static void zone_cut_off(void **state) {
    (void)state;
    static const struct fault_scenario days[] = {
        {"jobs are cancelled meanwhile",
         25,
         0,
         {{SIM_ZONE_PARTITION, 40000, 60000, -1},
          {SIM_CANCEL_BURST, 42000, 0, 4},
          {SIM_CANCEL_BURST, 55000, 0, 4}}},
        {"and the cloud takes no machine back",
         25,
         0,
         {{SIM_ZONE_PARTITION, 40000, 70000, -1},
          {SIM_CLOUD_OUTAGE, 46000, 60000, -1},
          {SIM_CANCEL_BURST, 50000, 0, 4},
          {SIM_CANCEL_BURST, 55000, 0, 4}}},
        {"and the leader ends",
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
    play_all(days, ROWS(days));
    /* The leader had not answered a far machine for a lease, while a deputy kept its tasks alive. */
    struct fault_scenario kept_by_a_deputy = days[0];
    kept_by_a_deputy.min_cancelled = 3;
    run_seeds(&kept_by_a_deputy, 24, 24);
}

/* Row 22: all controllers are away for longer than lease_s. A node that was ended is back after six seconds,
 * and ended again at once. */
static void all_controllers_down_longer_than_a_lease(void **state) {
    (void)state;
    static const struct fault_scenario days[] = {
        {"all away",
         15,
         0,
         {{SIM_CANCEL_BURST, 49500, 0, 6},
          {SIM_KILL, 50000, 1, 0},
          {SIM_KILL, 50000, 1, 1},
          {SIM_KILL, 50000, 1, 2},
          {SIM_KILL, 56100, 1, 0},
          {SIM_KILL, 56100, 1, 1},
          {SIM_KILL, 56100, 1, 2}}},
        {"and machines hang, or hear nothing, when they are back",
         15,
         0,
         {{SIM_CANCEL_BURST, 49500, 20000, 6},
          {SIM_KILL, 50000, 1, 0},
          {SIM_KILL, 50000, 1, 1},
          {SIM_KILL, 50000, 1, 2},
          {SIM_KILL, 56100, 1, 0},
          {SIM_KILL, 56100, 1, 1},
          {SIM_KILL, 56100, 1, 2},
          {SIM_LOSE_HEARTBEAT_REPLIES, 61000, LONG_DEAF, -1}}},
        {"and the cloud answers nobody, so that the records can't be read",
         15,
         0,
         {{SIM_CLOUD_OUTAGE, 49000, CANCEL + 40000, -1},
          {SIM_KILL, 50000, 1, 0},
          {SIM_KILL, 50000, 1, 1},
          {SIM_KILL, 50000, 1, 2},
          {SIM_CANCEL_BURST, 58500, 0, 4},
          {SIM_CANCEL_BURST, 62000, 0, 4}}},
    };
    play_all(days, ROWS(days));
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
