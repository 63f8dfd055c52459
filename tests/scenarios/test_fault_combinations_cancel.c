/* A leader that receives changes late must not order starts of a job after another controller has confirmed
 * the job's cancellation to a user. It did in these scenarios before controllers sent cancellation notices
 * (lib/job/cancellation_notice.c). */
#include "check.h"
#include "named_tests.h"
#include "standin.h"

#include "amberpin/base/log.h"

enum { LENGTH_MS = 200000, SHORT_LENGTH_MS = 70000 };

/* Small jobs, at times several a second, on three controllers and few machines. */
static const struct sim_size many_jobs = {3, 20, 60, 6, 3, 1000, 10000, 30000, 200, 20, 3};

static void expect_no_late_starts(const char *what, uint64_t seed, const struct sim_fault *faults,
                                  size_t count) {
    struct sim_result result = sim_run(&(struct sim_scenario){
        .size = &many_jobs, .seed = seed, .length = LENGTH_MS, .faults = faults, .fault_count = count});
    if (result.violation[0]) fail_msg("%s, seed %llu: %s", what, (unsigned long long)seed, result.violation);
    if (result.commands_after_cancel)
        fail_msg("%s, seed %llu: %u starts ordered after a confirmed cancellation, the latest %lld ms", what,
                 (unsigned long long)seed, result.commands_after_cancel,
                 (long long)result.latest_command_after_cancel_ms);
    if (result.accepted < 55 || result.done < 4 || result.cancelled < 20 || result.open_jobs)
        fail_msg("%s, seed %llu: %u accepted, %u done, %u cancelled, %u left open", what,
                 (unsigned long long)seed, result.accepted, result.done, result.cancelled, result.open_jobs);
}

/* Rows 13 and 16: users query all controllers and cancel jobs, while the leader's reads from the state
 * service are lost or slow. */
static void leader_receives_changes_late(void **state) {
    (void)state;
    static const struct {
        const char *what;
        enum sim_fault_kind kind;
        uint64_t seed;
    } rows[] = {
        {"answers of the state service are lost", SIM_LOSE_RESPONSES, 16},
        {"answers of the state service are lost", SIM_LOSE_RESPONSES, 24},
        {"answers of the state service are lost", SIM_LOSE_RESPONSES, 54},
        {"the state service is slow", SIM_SLOW_STORE, 14},
        {"the state service is slow", SIM_SLOW_STORE, 39},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        const struct sim_fault faults[] = {{SIM_POLL_BURST, 2000, 150000, -1},
                                           {SIM_INVALID_REQUESTS, 2000, 150000, -1},
                                           {rows[i].kind, 20000, 60000, -1}};
        expect_no_late_starts(rows[i].what, rows[i].seed, faults, ROWS(faults));
    }
}

/* Row 6: a leader that has just taken over is cut off from everything but its workers, while users cancel
 * jobs at the other controllers. With these seeds it ordered tasks that its predecessor had recorded up
 * to 1.3 s after the cancellation was confirmed. It now stops as soon as a renewal of its lease is overdue
 * (amb_election_has_recent_renewal). */
static void cut_off_after_a_take_over(void **state) {
    (void)state;
    static const struct {
        uint64_t seed;
        amb_ms cut_at;
    } rows[] = {{13, 43100}, {37, 43100}, {32, 43100}, {11, 43400}, {31, 43400}, {36, 43700}, {39, 43700}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        const amb_ms cut = rows[i].cut_at;
        const struct sim_fault faults[] = {
            {SIM_POLL_BURST, 2000, 150000, -1},
            {SIM_INVALID_REQUESTS, 2000, 150000, -1},
            {SIM_KILL, 40000, 1, -1},
            {SIM_CUT_ALL_BUT_AGENTS, cut, 15000, -1},
            {SIM_CANCEL_BURST, cut + 200, 1, 12},
            {SIM_CANCEL_BURST, cut + 1200, 1, 12},
            {SIM_CANCEL_BURST, cut + 2100, 1, 12},
        };
        struct sim_result result = sim_run(&(struct sim_scenario){.size = &many_jobs,
                                                                  .seed = rows[i].seed,
                                                                  .length = SHORT_LENGTH_MS,
                                                                  .faults = faults,
                                                                  .fault_count = ROWS(faults)});
        if (result.violation[0])
            fail_msg("seed %llu: %s", (unsigned long long)rows[i].seed, result.violation);
        if (result.commands_after_cancel)
            fail_msg("seed %llu: %u starts ordered after a confirmed cancellation, the latest %lld ms",
                     (unsigned long long)rows[i].seed, result.commands_after_cancel,
                     (long long)result.latest_command_after_cancel_ms);
        if (result.cancelled < 10)
            fail_msg("seed %llu: %u cancelled", (unsigned long long)rows[i].seed, result.cancelled);
    }
}

/* Row 1: the controller that has confirmed cancellations cannot be reached, while another one, which does not
 * know of them, confirms the leader. The confirmation of a single peer is not enough. */
static void confirmed_by_a_node_out_of_reach(void **state) {
    (void)state;
    static const struct {
        int uninformed, confirming; /* controllers; the third one leads with some seeds */
    } rows[] = {{1, 2}, {0, 2}, {0, 1}};
    uint32_t cancelled = 0;
    for (size_t i = 0; i < ROWS(rows); i++) {
        const struct sim_fault faults[] = {
            {SIM_STORE_REFUSES_NODE, 40000, 50000, -1},
            {SIM_CUT_STORE, 40000, 50000, rows[i].uninformed},
            {SIM_CUT_PEERS, 40000, 50000, rows[i].confirming},
            {SIM_CANCEL_BURST, 40300, 1, 12},
            {SIM_STORE_OUTAGE, 42200, 45000, -1},
        };
        for (uint64_t seed = 1; seed <= 8; seed++) {
            struct sim_result result = sim_run(&(struct sim_scenario){.size = &sim_small,
                                                                      .seed = seed,
                                                                      .length = LENGTH_MS,
                                                                      .faults = faults,
                                                                      .fault_count = ROWS(faults)});
            if (result.violation[0])
                fail_msg("row %zu, seed %llu: %s", i, (unsigned long long)seed, result.violation);
            cancelled += result.cancelled;
        }
    }
    assert_true(cancelled >= 24);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(leader_receives_changes_late),
        cmocka_unit_test(cut_off_after_a_take_over),
        cmocka_unit_test(confirmed_by_a_node_out_of_reach),
    };
    if (!choose_named_test(tests, ROWS(tests), argc, argv)) return 2;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
