/* No start may be ordered in response to a heartbeat that an agent sent after a user was told that the job is
 * cancelled, whatever keeps the leader from hearing of the cancellation (sim_check_start_command in
 * tests/standin/rules.c). Leaders ordered such starts before each start waited for a fresh read. */
#include "check.h"
#include "named_tests.h"
#include "standin.h"

enum {
    LENGTH_MS = 150000,
    SEEDS = 4,
    MOST = 70, /* percent */
    SOME = 30,
    LEADER = -1,
    MAX_FAULTS_PER_ROW = 12,
};

/* Small jobs, at times several a second, on three controllers and few machines. */
static const struct sim_size many_jobs = {3, 20, 60, 6, 3, 1000, 10000, 30000, 200, 20, 3};

struct row {
    const char *what;
    unsigned load;
    struct sim_fault faults[MAX_FAULTS_PER_ROW]; /* in addition to early cancellations */
};

#define AT_ALL_NODES(kind, at, lasts)                                                                        \
    {kind, at, lasts, 0}, {kind, at, lasts, 1}, {                                                            \
        kind, at, lasts, 2                                                                                   \
    }

static size_t add_faults(const struct row *row, struct sim_fault *faults) {
    size_t count = 0;
    faults[count++] = (struct sim_fault){SIM_CANCEL_EARLY, 2000, 100000, MOST};
    for (size_t i = 0; i < MAX_FAULTS_PER_ROW && row->faults[i].at; i++) faults[count++] = row->faults[i];
    return count;
}

static void run_row(const struct row *row) {
    struct sim_fault faults[MAX_FAULTS_PER_ROW + 1];
    size_t count = add_faults(row, faults);
    uint32_t cancelled = 0, starts = 0;
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct sim_result result = sim_run(&(struct sim_scenario){.size = &many_jobs,
                                                                  .seed = seed,
                                                                  .length = LENGTH_MS,
                                                                  .load = row->load,
                                                                  .faults = faults,
                                                                  .fault_count = count});
        if (result.violation[0])
            fail_msg("%s, seed %llu: %s", row->what, (unsigned long long)seed, result.violation);
        cancelled += result.cancelled;
        starts += result.starts;
    }
    if (cancelled < 20 * SEEDS || starts < 10 * SEEDS)
        fail_msg("%s: %u cancelled, %u starts", row->what, cancelled, starts);
}

static void run_rows(const struct row *rows, size_t count) {
    for (size_t i = 0; i < count; i++) run_row(&rows[i]);
}

/* Nothing but a read tells the leader of cancellations, because its peers can't reach it. */
static void leader_reads_changes_late(void **state) {
    (void)state;
    static const struct row rows[] = {
        {"peers are refused",
         0,
         {AT_ALL_NODES(SIM_REFUSE_PEERS, 5000, 100000), AT_ALL_NODES(SIM_SLOW_CHANGES, 5000, 100000)}},
        {"peers hang",
         0,
         {AT_ALL_NODES(SIM_CUT_PEERS, 5000, 100000), AT_ALL_NODES(SIM_SLOW_CHANGES, 5000, 100000)}},
        {"jobs of one task, several a second",
         SIM_LOAD_STREAM,
         {AT_ALL_NODES(SIM_REFUSE_PEERS, 5000, 100000), AT_ALL_NODES(SIM_SLOW_CHANGES, 5000, 100000)}},
        {"jobs that depend on others",
         SIM_LOAD_PIPELINES,
         {AT_ALL_NODES(SIM_CUT_PEERS, 5000, 100000), AT_ALL_NODES(SIM_SLOW_CHANGES, 5000, 100000)}},
        {"arrays and gangs that are bound to a zone",
         SIM_LOAD_ZONE_BOUND,
         {AT_ALL_NODES(SIM_CUT_PEERS, 5000, 100000), AT_ALL_NODES(SIM_SLOW_CHANGES, 5000, 100000)}},
    };
    run_rows(rows, ROWS(rows));
}

static void state_service_is_out_of_reach(void **state) {
    (void)state;
    static const struct row rows[] = {
        {"the leader's requests hang, peers are refused",
         SIM_LOAD_STREAM,
         {{SIM_CUT_STORE, 20000, 1500, LEADER},
          {SIM_CUT_STORE, 35000, 2500, LEADER},
          {SIM_CUT_STORE, 50000, 6000, LEADER},
          AT_ALL_NODES(SIM_REFUSE_PEERS, 5000, 100000)}},
        {"the leader's requests hang, peers hang",
         SIM_LOAD_STREAM,
         {{SIM_CUT_STORE, 20000, 1500, LEADER},
          {SIM_CUT_STORE, 35000, 2500, LEADER},
          {SIM_CUT_STORE, 50000, 6000, LEADER},
          AT_ALL_NODES(SIM_CUT_PEERS, 5000, 100000)}},
        {"the leader alone is refused, peers are refused",
         SIM_LOAD_STREAM,
         {{SIM_STORE_REFUSES_NODE, 20000, 1500, LEADER},
          {SIM_STORE_REFUSES_NODE, 35000, 2500, LEADER},
          {SIM_STORE_REFUSES_NODE, 50000, 12000, LEADER},
          AT_ALL_NODES(SIM_REFUSE_PEERS, 5000, 100000)}},
        {"the leader alone is refused, peers hang",
         SIM_LOAD_STREAM,
         {{SIM_STORE_REFUSES_NODE, 20000, 1500, LEADER},
          {SIM_STORE_REFUSES_NODE, 35000, 2500, LEADER},
          {SIM_STORE_REFUSES_NODE, 50000, 12000, LEADER},
          AT_ALL_NODES(SIM_CUT_PEERS, 5000, 100000)}},
        {"every answer is slow",
         SIM_LOAD_STREAM,
         {{SIM_SLOW_STORE, 10000, 80000, -1}, AT_ALL_NODES(SIM_CUT_PEERS, 5000, 100000)}},
        {"answers are lost",
         SIM_LOAD_STREAM,
         {{SIM_LOSE_RESPONSES, 10000, 80000, -1}, AT_ALL_NODES(SIM_CUT_PEERS, 5000, 100000)}},
    };
    run_rows(rows, ROWS(rows));
}

static void leaders_change(void **state) {
    (void)state;
    static const struct row rows[] = {
        {"new leaders read changes late",
         SIM_LOAD_STREAM,
         {{SIM_KILL, 25000, 1, LEADER},
          {SIM_RESTART, 45000, 1, LEADER},
          {SIM_KILL, 65000, 1, LEADER},
          AT_ALL_NODES(SIM_SLOW_CHANGES, 5000, 100000),
          AT_ALL_NODES(SIM_CUT_PEERS, 5000, 100000)}},
        {"leaders pause",
         SIM_LOAD_STREAM,
         {{SIM_PAUSE_NODE, 25000, 1500, LEADER},
          {SIM_PAUSE_NODE, 40000, 2500, LEADER},
          {SIM_PAUSE_NODE, 60000, 6000, LEADER},
          AT_ALL_NODES(SIM_CUT_PEERS, 5000, 100000)}},
        {"lease proxies answer for the leader",
         SIM_LOAD_STREAM,
         {{SIM_ZONE_PARTITION, 20000, 15000, -1},
          {SIM_ZONE_PARTITION, 50000, 25000, -1},
          AT_ALL_NODES(SIM_SLOW_CHANGES, 5000, 100000)}},
    };
    run_rows(rows, ROWS(rows));
}

static void cancellations_are_late_or_repeated(void **state) {
    (void)state;
    static const struct row rows[] = {
        {"written late",
         SIM_LOAD_STREAM,
         {{SIM_LATE_WRITES, 10000, 80000, SOME},
          AT_ALL_NODES(SIM_SLOW_CHANGES, 5000, 100000),
          AT_ALL_NODES(SIM_CUT_PEERS, 5000, 100000)}},
        {"written without an answer, and repeated at every controller",
         SIM_LOAD_STREAM,
         {{SIM_UNANSWERED_WRITES, 10000, 80000, SOME},
          {SIM_POLL_BURST, 5000, 90000, -1},
          AT_ALL_NODES(SIM_SLOW_CHANGES, 5000, 100000),
          AT_ALL_NODES(SIM_CUT_PEERS, 5000, 100000)}},
    };
    run_rows(rows, ROWS(rows));
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(leader_reads_changes_late),
        cmocka_unit_test(state_service_is_out_of_reach),
        cmocka_unit_test(leaders_change),
        cmocka_unit_test(cancellations_are_late_or_repeated),
    };
    if (!choose_named_test(tests, ROWS(tests), argc, argv)) return 2;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
