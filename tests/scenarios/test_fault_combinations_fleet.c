/* Combinations of two faults that concern machines, their heartbeats and the tasks that may start: one test
 * function for each row of docs/design/fault-combinations.md. Every rule must hold at every moment, and no
 * accepted job may be left open once the faults are over. */
#include "check.h"
#include "named_tests.h"
#include "standin.h"

#include "amberpin/base/log.h"

#include <stdlib.h>

/* Scenarios with little capacity or low limits need the longer time to complete their jobs. */
enum {
    LENGTH_MS = 260000,
    LONG_LENGTH_MS = 520000,
    SEEDS = 5,
    FAULTS = 10,
    ALL = 100,
    LEADER = -1,
    BUSIEST = -1
};

struct combination {
    const char *what;
    unsigned load;
    struct sim_fault faults[FAULTS]; /* ends with the first whose duration is 0 */
    uint32_t seeds;                  /* 0: SEEDS */
};

static size_t count_faults(const struct combination *combination) {
    size_t count = 0;
    while (count < FAULTS && combination->faults[count].lasts) count++;
    return count;
}

static void run_combinations(const struct combination *combinations, size_t count) {
    const char *only = getenv("SIM_SEEDS"); /* sets the number of seeds, for longer runs than in CI */
    for (size_t i = 0; i < count; i++) {
        const struct combination *combination = &combinations[i];
        uint64_t seeds = only ? strtoull(only, NULL, 10) : combination->seeds ? combination->seeds : SEEDS;
        bool scarce = combination->load & (SIM_LOAD_SMALL_QUOTAS | SIM_LOAD_OVERLOAD | SIM_LOAD_STREAM);
        for (uint64_t seed = 1; seed <= seeds; seed++) {
            const struct sim_scenario scenario = {.size = &sim_small,
                                                  .seed = seed,
                                                  .length = scarce ? LONG_LENGTH_MS : LENGTH_MS,
                                                  .load = combination->load,
                                                  .faults = combination->faults,
                                                  .fault_count = count_faults(combination)};
            struct sim_result result = sim_run(&scenario);
            if (result.violation[0])
                fail_msg("%s, seed %llu: %s", combination->what, (unsigned long long)seed, result.violation);
            if (result.accepted < 12 || result.starts < 10 || result.open_jobs)
                fail_msg("%s, seed %llu: %u accepted, %u starts, %u left open", combination->what,
                         (unsigned long long)seed, result.accepted, result.starts, result.open_jobs);
        }
    }
}

/* Row 3. */
static void held_up_commands(void **state) {
    (void)state;
    static const struct combination rows[] = {
        {"commands are late, machines pause for less than their lease",
         0,
         {{SIM_LATE_COMMANDS, 15000, 120000, ALL},
          {SIM_MACHINE_HANG, 30000, 7000, BUSIEST},
          {SIM_CANCEL_BURST, 45000, 6000, 8},
          {SIM_MACHINE_HANG, 60000, 9500, BUSIEST},
          {SIM_CANCEL_BURST, 80000, 9000, 8}},
         0},
        {"machines resume at the end of their lease and after it",
         0,
         {{SIM_LATE_COMMANDS, 15000, 120000, ALL},
          {SIM_MACHINE_HANG, 30000, 10300, BUSIEST},
          {SIM_MACHINE_HANG, 45000, 10500, BUSIEST},
          {SIM_MACHINE_HANG, 60000, 11000, BUSIEST},
          {SIM_MACHINE_HANG, 75000, 13000, BUSIEST},
          {SIM_KILL, 62000, 1, LEADER}},
         0},
    };
    run_combinations(rows, ROWS(rows));
}

/* Row 9. */
static void zone_bound_jobs_lose_machines(void **state) {
    (void)state;
    static const struct combination rows[] = {
        {"machines crash, hang, or receive no answers",
         SIM_LOAD_ZONE_BOUND,
         {{SIM_MACHINE_CRASH, 25000, 1, BUSIEST},
          {SIM_MACHINE_HANG, 35000, 15000, BUSIEST},
          {SIM_LOSE_HEARTBEAT_REPLIES, 45000, 20000, BUSIEST},
          {SIM_MACHINE_CRASH, 60000, 1, BUSIEST},
          {SIM_LOSE_HEARTBEATS, 70000, 20000, BUSIEST}},
         8},
        {"machines hang and crash while the leader is killed",
         SIM_LOAD_ZONE_BOUND,
         {{SIM_MACHINE_HANG, 25000, 15000, BUSIEST},
          {SIM_KILL, 27000, 1, LEADER},
          {SIM_MACHINE_CRASH, 45000, 1, BUSIEST},
          {SIM_KILL, 46000, 1, LEADER},
          {SIM_ZONE_PARTITION, 60000, 20000, -1},
          {SIM_KILL, 65000, 1, LEADER}},
         8},
    };
    run_combinations(rows, ROWS(rows));
}

/* Row 10. */
static void full_teams_cancel_on_hanging_machines(void **state) {
    (void)state;
    static const struct combination rows[] = {
        {"jobs are cancelled on machines that hang, then the leader is killed",
         SIM_LOAD_SMALL_QUOTAS,
         {{SIM_CANCEL_BURST, 40000, 12000, 8},
          {SIM_KILL, 41000, 1, LEADER},
          {SIM_CANCEL_BURST, 70000, 25000, 8},
          {SIM_RESTART, 71000, 1, LEADER}},
         8},
        {"jobs are cancelled on machines that are cut off",
         SIM_LOAD_SMALL_QUOTAS,
         {{SIM_ZONE_PARTITION, 35000, 30000, -1},
          {SIM_CANCEL_BURST, 36000, 1, 8},
          {SIM_KILL, 37000, 1, LEADER},
          {SIM_LOSE_HEARTBEATS, 75000, 30000, BUSIEST},
          {SIM_LOSE_HEARTBEAT_REPLIES, 75000, 30000, 1},
          {SIM_CANCEL_BURST, 77000, 1, 8},
          {SIM_KILL, 78000, 1, LEADER}},
         8},
    };
    run_combinations(rows, ROWS(rows));
}

/* Row 12. */
static void old_reports_as_a_leader_begins(void **state) {
    (void)state;
    static const struct combination rows[] = {
        {"copies of heartbeats are replayed to each new leader",
         0,
         {{SIM_REPLAYED_HEARTBEATS, 10000, 110000, 60},
          {SIM_KILL, 35000, 1, LEADER},
          {SIM_KILL, 55000, 1, LEADER},
          {SIM_MACHINE_HANG, 70000, 14000, BUSIEST},
          {SIM_KILL, 72000, 1, LEADER},
          {SIM_RESTART, 95000, 1, LEADER}},
         0},
        {"copies of all heartbeats are replayed, teams at their limit",
         SIM_LOAD_SMALL_QUOTAS,
         {{SIM_REPLAYED_HEARTBEATS, 10000, 110000, ALL},
          {SIM_KILL, 40000, 1, LEADER},
          {SIM_MACHINE_CRASH, 41000, 1, BUSIEST},
          {SIM_KILL, 65000, 1, LEADER},
          {SIM_LOSE_HEARTBEAT_REPLIES, 64000, 20000, BUSIEST}},
         0},
        {"copies of the heartbeats of machines that pause for less than their lease",
         SIM_LOAD_STREAM | SIM_LOAD_UNEVEN_TASKS,
         {{SIM_REPLAYED_HEARTBEATS, 10000, 110000, ALL},
          {SIM_MACHINE_HANG, 40000, 9500, BUSIEST},
          {SIM_MACHINE_HANG, 40000, 9500, 1},
          {SIM_MACHINE_HANG, 40000, 9500, 2},
          {SIM_RESTART, 40000, 1, LEADER},
          {SIM_MACHINE_HANG, 70000, 9500, BUSIEST},
          {SIM_MACHINE_HANG, 70000, 9500, 3},
          {SIM_MACHINE_HANG, 70000, 9500, 4},
          {SIM_RESTART, 70000, 1, LEADER}},
         6},
    };
    run_combinations(rows, ROWS(rows));
}

/* Row 14. */
static void leader_ends_while_machines_are_out_of_reach(void **state) {
    (void)state;
    static const struct combination rows[] = {
        {"machines whose heartbeats are lost",
         SIM_LOAD_UNEVEN_TASKS,
         {{SIM_LOSE_HEARTBEATS, 29000, 30000, BUSIEST},
          {SIM_KILL, 30000, 1, LEADER},
          {SIM_LOSE_HEARTBEATS, 70000, 8000, BUSIEST},
          {SIM_KILL, 71000, 1, LEADER}},
         8},
        {"machines that do not receive the new leader's answers",
         SIM_LOAD_UNEVEN_TASKS,
         {{SIM_LOSE_HEARTBEAT_REPLIES, 29000, 30000, BUSIEST},
          {SIM_KILL, 30000, 1, LEADER},
          {SIM_LOSE_HEARTBEAT_REPLIES, 70000, 8000, BUSIEST},
          {SIM_KILL, 71000, 1, LEADER}},
         8},
        {"a zone that cannot be reached; the old leader runs on",
         SIM_LOAD_UNEVEN_TASKS,
         {{SIM_ZONE_PARTITION, 29000, 25000, -1},
          {SIM_KILL, 30000, 1, LEADER},
          {SIM_CUT_ALL_BUT_AGENTS, 70000, 25000, LEADER},
          {SIM_ZONE_PARTITION, 72000, 15000, -1}},
         8},
    };
    run_combinations(rows, ROWS(rows));
}

/* Row 15. */
static void full_team_at_a_change_of_leader(void **state) {
    (void)state;
    static const struct combination rows[] = {
        {"some machines are out of reach while jobs are cancelled",
         SIM_LOAD_SMALL_QUOTAS,
         {{SIM_LOSE_HEARTBEATS, 38000, 25000, BUSIEST},
          {SIM_MACHINE_HANG, 38000, 14000, 1},
          {SIM_KILL, 40000, 1, LEADER},
          {SIM_CANCEL_BURST, 43000, 1, 6},
          {SIM_ZONE_PARTITION, 75000, 20000, -1},
          {SIM_KILL, 76000, 1, LEADER},
          {SIM_CANCEL_BURST, 79000, 1, 6}},
         8},
        {"some machines and the cloud are out of reach",
         SIM_LOAD_SMALL_QUOTAS,
         {{SIM_CLOUD_OUTAGE, 35000, 45000, -1},
          {SIM_LOSE_HEARTBEAT_REPLIES, 38000, 25000, BUSIEST},
          {SIM_LOSE_HEARTBEATS, 38000, 25000, 1},
          {SIM_KILL, 40000, 1, LEADER},
          {SIM_CANCEL_BURST, 43000, 1, 6}},
         8},
    };
    run_combinations(rows, ROWS(rows));
}

/* Row 17. */
static void quick_boots_while_writes_lag(void **state) {
    (void)state;
    static const struct combination rows[] = {
        {"writes are late, and leaders are killed",
         0,
         {{SIM_QUICK_BOOTS, 1, 150000, -1},
          {SIM_LATE_WRITES, 5000, 100000, 40},
          {SIM_KILL, 25000, 1, LEADER},
          {SIM_KILL, 45000, 1, LEADER},
          {SIM_KILL, 70000, 1, LEADER}},
         8},
        {"rental requests are late or unanswered",
         SIM_LOAD_OVERLOAD,
         {{SIM_QUICK_BOOTS, 1, 150000, -1},
          {SIM_LATE_REQUESTS, 5000, 60000, -1},
          {SIM_LOSE_RESPONSES, 20000, 60000, -1},
          {SIM_KILL, 25000, 1, LEADER},
          {SIM_KILL, 50000, 1, LEADER},
          {SIM_SLOW_STORE, 60000, 20000, -1}},
         8},
        {"machines hang as the leader restarts",
         SIM_LOAD_UNEVEN_TASKS | SIM_LOAD_STREAM,
         {{SIM_QUICK_BOOTS, 1, 150000, -1},
          {SIM_LATE_WRITES, 5000, 130000, 60},
          {SIM_MACHINE_HANG, 30000, 9500, BUSIEST},
          {SIM_MACHINE_HANG, 30000, 9500, 1},
          {SIM_RESTART, 30000, 1, LEADER},
          {SIM_MACHINE_HANG, 60000, 9500, BUSIEST},
          {SIM_MACHINE_HANG, 60000, 9500, 2},
          {SIM_RESTART, 60000, 1, LEADER},
          {SIM_MACHINE_HANG, 90000, 9500, BUSIEST},
          {SIM_RESTART, 90000, 1, LEADER}},
         2},
    };
    run_combinations(rows, ROWS(rows));
}

/* Row 23. */
static void late_commands_of_a_former_leader(void **state) {
    (void)state;
    static const struct combination rows[] = {
        {"the leader is killed",
         0,
         {{SIM_LATE_COMMANDS, 10000, 120000, ALL},
          {SIM_CANCEL_BURST, 35000, 1, 8},
          {SIM_KILL, 35400, 1, LEADER},
          {SIM_CANCEL_BURST, 65000, 1, 8},
          {SIM_KILL, 65400, 1, LEADER},
          {SIM_LOSE_HEARTBEATS, 64000, 12000, BUSIEST}},
         0},
        {"the leader is replaced and runs on",
         SIM_LOAD_OVERLOAD,
         {{SIM_LATE_COMMANDS, 10000, 120000, ALL},
          {SIM_CUT_ALL_BUT_AGENTS, 35000, 20000, LEADER},
          {SIM_CANCEL_BURST, 40000, 1, 8},
          {SIM_CUT_ALL_BUT_AGENTS, 75000, 20000, LEADER},
          {SIM_CANCEL_BURST, 80000, 5000, 8}},
         0},
    };
    run_combinations(rows, ROWS(rows));
}

/* Row 24. */
static void report_held_back_until_a_new_leader_acted(void **state) {
    (void)state;
    static const struct combination rows[] = {
        {"heartbeats arrive again after seconds to well over a lease, across failovers",
         0,
         {{SIM_LATE_HEARTBEAT_COPIES, 10000, 110000, 60},
          {SIM_MACHINE_HANG, 33000, 14000, BUSIEST},
          {SIM_KILL, 35000, 1, LEADER},
          {SIM_LOSE_HEARTBEATS, 60000, 25000, BUSIEST},
          {SIM_KILL, 61000, 1, LEADER},
          {SIM_KILL, 90000, 1, LEADER}},
         8},
        {"the same with teams at their limit and zone-bound jobs",
         SIM_LOAD_SMALL_QUOTAS | SIM_LOAD_ZONE_BOUND,
         {{SIM_LATE_HEARTBEAT_COPIES, 10000, 110000, 60},
          {SIM_MACHINE_HANG, 33000, 14000, BUSIEST},
          {SIM_KILL, 35000, 1, LEADER},
          {SIM_LOSE_HEARTBEATS, 60000, 25000, BUSIEST},
          {SIM_KILL, 61000, 1, LEADER}},
         8},
    };
    run_combinations(rows, ROWS(rows));
}

/* Row 25. */
static void old_report_after_newer_ones(void **state) {
    (void)state;
    static const struct combination rows[] = {
        {"late copies of heartbeats, also of earlier incarnations",
         0,
         {{SIM_LATE_HEARTBEAT_COPIES, 5000, 130000, ALL},
          {SIM_MACHINE_HANG, 30000, 14000, BUSIEST},
          {SIM_MACHINE_HANG, 55000, 14000, BUSIEST},
          {SIM_LOSE_HEARTBEATS, 80000, 15000, BUSIEST}},
         0},
        {"late copies of heartbeats with earlier attempts",
         SIM_LOAD_OVERLOAD,
         {{SIM_LATE_HEARTBEAT_COPIES, 5000, 130000, ALL},
          {SIM_FAULTY_MACHINE, 20000, 30000, BUSIEST},
          {SIM_FAULTY_MACHINE, 60000, 20000, BUSIEST}},
         0},
    };
    run_combinations(rows, ROWS(rows));
}

/* Row 26. */
static void machines_that_reach_no_controller(void **state) {
    (void)state;
    static const struct combination rows[] = {
        {"jobs are cancelled meanwhile",
         0,
         {{SIM_LOSE_HEARTBEATS, 30000, 40000, BUSIEST},
          {SIM_LOSE_HEARTBEATS, 31000, 8000, 1},
          {SIM_CANCEL_BURST, 32000, 1, 8},
          {SIM_LOSE_HEARTBEATS, 80000, 20000, BUSIEST},
          {SIM_CANCEL_BURST, 81000, 1, 8}},
         0},
        {"jobs are cancelled, commands are late, and the leader is killed",
         SIM_LOAD_SMALL_QUOTAS,
         {{SIM_LOSE_HEARTBEATS, 30000, 40000, BUSIEST},
          {SIM_LOSE_HEARTBEATS, 31000, 40000, 1},
          {SIM_LATE_COMMANDS, 25000, 60000, 70},
          {SIM_CANCEL_BURST, 32000, 1, 8},
          {SIM_KILL, 33000, 1, LEADER}},
         0},
    };
    run_combinations(rows, ROWS(rows));
}

/* Row 27. */
static void more_work_than_room(void **state) {
    (void)state;
    static const struct combination rows[] = {
        {"slow network links",
         SIM_LOAD_OVERLOAD,
         {{SIM_SLOW_LINKS, 1, 130000, -1},
          {SIM_MACHINE_HANG, 30000, 9500, BUSIEST},
          {SIM_KILL, 40000, 1, LEADER},
          {SIM_MACHINE_HANG, 42000, 9500, 1},
          {SIM_MACHINE_HANG, 50000, 9500, 2},
          {SIM_MACHINE_HANG, 60000, 9500, 3},
          {SIM_MACHINE_HANG, 70000, 9500, BUSIEST},
          {SIM_MACHINE_HANG, 85000, 9500, BUSIEST}},
         8},
        {"no machine can be rented",
         SIM_LOAD_OVERLOAD | SIM_LOAD_UNEVEN_TASKS,
         {{SIM_SLOW_LINKS, 20000, 100000, -1},
          {SIM_NO_CAPACITY, 30000, 60000, -1},
          {SIM_MACHINE_CRASH, 50000, 1, BUSIEST},
          {SIM_KILL, 52000, 1, LEADER}},
         8},
    };
    run_combinations(rows, ROWS(rows));
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(held_up_commands),
        cmocka_unit_test(zone_bound_jobs_lose_machines),
        cmocka_unit_test(full_teams_cancel_on_hanging_machines),
        cmocka_unit_test(old_reports_as_a_leader_begins),
        cmocka_unit_test(leader_ends_while_machines_are_out_of_reach),
        cmocka_unit_test(full_team_at_a_change_of_leader),
        cmocka_unit_test(quick_boots_while_writes_lag),
        cmocka_unit_test(late_commands_of_a_former_leader),
        cmocka_unit_test(report_held_back_until_a_new_leader_acted),
        cmocka_unit_test(old_report_after_newer_ones),
        cmocka_unit_test(machines_that_reach_no_controller),
        cmocka_unit_test(more_work_than_room),
    };
    if (!choose_named_test(tests, ROWS(tests), argc, argv)) return 2;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
