/* Fault combinations (docs/design/fault-combinations.md) that could make answers to users wrong. At every
 * answer the stand-in checks that no controller tells an older state than any controller had told before the
 * query was sent. */
#include "check.h"
#include "named_tests.h"
#include "standin.h"

#include "amberpin/base/log.h"

enum { LENGTH_MS = 200000, SEEDS = 3 };

/* Small jobs, at times several a second, on three controllers and few machines. */
static const struct sim_size many_jobs = {3, 20, 60, 6, 3, 1000, 10000, 30000, 200, 20, 3};
/* The same with fewer jobs, for scenarios whose load adds its own. */
static const struct sim_size few_jobs = {3, 20, 20, 6, 3, 1000, 10000, 30000, 200, 20, 3};

/* The jobs of a scenario, and the least numbers of jobs accepted, done and cancelled for it to count as an
 * instance of its fault combination. */
struct workload {
    const struct sim_size *size;
    unsigned load;
    uint32_t accepted, done, cancelled;
};

static void run_combination(const char *what, const struct workload *workload, const struct sim_fault *faults,
                            size_t count) {
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct sim_result result = sim_run(&(struct sim_scenario){
            .size = workload->size,
            .seed = seed,
            .length = LENGTH_MS,
            .load = workload->load,
            .faults = faults,
            .fault_count = count,
        });
        if (getenv("SIM_TRACE"))
            printf("%s, seed %llu: %u accepted, %u done, %u cancelled, %u refused; after confirmed "
                   "cancellations %u start commands, the latest after %lld ms, and %u starts\n",
                   what, (unsigned long long)seed, result.accepted, result.done, result.cancelled,
                   result.refused, result.commands_after_cancel,
                   (long long)result.latest_command_after_cancel_ms, result.starts_after_cancel);
        if (result.commands_after_cancel)
            fail_msg("%s, seed %llu: %u starts ordered after a confirmed cancellation", what,
                     (unsigned long long)seed, result.commands_after_cancel);
        if (result.violation[0])
            fail_msg("%s, seed %llu: %s", what, (unsigned long long)seed, result.violation);
        if (result.accepted < workload->accepted || result.done < workload->done ||
            result.cancelled < workload->cancelled || result.open_jobs)
            fail_msg("%s, seed %llu: %u accepted, %u done, %u cancelled, %u left open", what,
                     (unsigned long long)seed, result.accepted, result.done, result.cancelled,
                     result.open_jobs);
    }
}

/* Row 4: jobs are cancelled in the seconds in which another controller takes over from the leader. */
static void cancelled_during_reassignment(void **state) {
    (void)state;
    static const struct {
        const char *what;
        enum sim_fault_kind leader;
        amb_ms lasts;
    } rows[] = {
        {"the leader is killed", SIM_KILL, 1},
        {"the leader is killed and is back within a second", SIM_RESTART, 1},
        {"the leader is cut off from all but workers and users", SIM_CUT_ALL_BUT_AGENTS, 15000},
        {"the state service refuses the leader", SIM_STORE_REFUSES_NODE, 15000},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        const struct sim_fault faults[] = {
            {rows[i].leader, 40000, rows[i].lasts, -1},
            {SIM_CANCEL_BURST, 40000, 1, 3},
            {SIM_CANCEL_BURST, 41500, 1, 3},
            {SIM_CANCEL_BURST, 43500, 10000, 3},
            {rows[i].leader, 90000, rows[i].lasts, -1},
            {SIM_CANCEL_BURST, 90000, 1, 3},
            {SIM_CANCEL_BURST, 93000, 1, 3},
            {SIM_CANCEL_BURST, 94500, 1, 3},
        };
        run_combination(rows[i].what, &(struct workload){&many_jobs, 0, 55, 10, 20}, faults, ROWS(faults));
    }
}

/* Row 8: a cancellation, a query or a repeated submission arrives as a job's last task ends. */
static void cancelled_at_the_end(void **state) {
    (void)state;
    const struct sim_fault faults[] = {
        {SIM_CANCEL_AT_COMPLETION, 5000, 150000, 60},
        {SIM_POLL_BURST, 5000, 150000, -1},
    };
    run_combination("no other fault", &(struct workload){&many_jobs, 0, 55, 4, 20}, faults, ROWS(faults));
}

/* Row 13: users query all controllers within milliseconds, repeat the submission, and some cancel at once. */
static void frequent_status_queries(void **state) {
    (void)state;
    static const struct {
        const char *what;
        struct sim_fault fault;
    } rows[] = {
        {"no other fault", {SIM_POLL_BURST, 0, 1, -1}},
        {"answers of the state service are lost", {SIM_LOSE_RESPONSES, 20000, 60000, -1}},
        {"the state service is slow", {SIM_SLOW_STORE, 20000, 60000, -1}},
        {"the leader is killed", {SIM_KILL, 40000, 1, -1}},
        {"the state service refuses the leader", {SIM_STORE_REFUSES_NODE, 30000, 30000, -1}},
        {"a controller is cut off from its peers", {SIM_CUT_PEERS, 20000, 80000, 1}},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        const struct sim_fault faults[] = {
            {SIM_POLL_BURST, 2000, 150000, -1}, {SIM_INVALID_REQUESTS, 2000, 150000, -1}, rows[i].fault};
        run_combination(rows[i].what, &(struct workload){&many_jobs, 0, 55, 4, 20}, faults, ROWS(faults));
    }
}

/* Row 16: transactions are carried out at once and only their answers are lost, while other controllers read
 * what was written. */
static void only_the_answer_is_lost(void **state) {
    (void)state;
    const struct sim_fault faults[] = {
        {SIM_UNANSWERED_WRITES, 2000, 120000, 40},
        {SIM_POLL_BURST, 2000, 150000, -1},
        {SIM_CANCEL_BURST, 45000, 1, 4},
        {SIM_KILL, 60000, 1, -1},
        {SIM_CANCEL_AT_COMPLETION, 70000, 60000, 50},
    };
    run_combination("lost answers", &(struct workload){&many_jobs, 0, 55, 4, 20}, faults, ROWS(faults));
}

/* Row 19: transactions that got no answer are carried out late, after newer ones of the same controller. */
static void carried_out_late(void **state) {
    (void)state;
    const struct sim_fault faults[] = {
        {SIM_LATE_WRITES, 2000, 120000, 40},
        {SIM_POLL_BURST, 2000, 150000, -1},
        {SIM_CANCEL_BURST, 45000, 1, 4},
        {SIM_KILL, 60000, 1, -1},
        {SIM_CANCEL_AT_COMPLETION, 70000, 60000, 50},
    };
    run_combination("late transactions", &(struct workload){&many_jobs, 0, 55, 4, 20}, faults, ROWS(faults));
}

/* Row 20: jobs of two or three tasks that end far apart, across failovers. */
static void controller_failures_far_apart(void **state) {
    (void)state;
    const struct sim_fault faults[] = {
        {SIM_KILL, 25000, 1, -1},
        {SIM_RESTART, 37000, 1, -1},
        {SIM_LATE_WRITES, 35000, 30000, -1},
        {SIM_CUT_ALL_BUT_AGENTS, 50000, 15000, -1},
        {SIM_STORE_OUTAGE, 70000, 12000, -1},
        {SIM_KILL, 75000, 1, -1},
        {SIM_RESTART, 95000, 1, -1},
        {SIM_POLL_BURST, 60000, 60000, -1},
    };
    run_combination("failovers", &(struct workload){&few_jobs, SIM_LOAD_UNEVEN_TASKS, 30, 10, 5}, faults,
                    ROWS(faults));
}

/* Row 21: jobs of one task are submitted four a second for minutes, and a quarter of them is cancelled. */
static void one_task_jobs(void **state) {
    (void)state;
    const struct sim_fault faults[] = {
        {SIM_POLL_BURST, 20000, 20000, -1},        {SIM_KILL, 30000, 1, -1},
        {SIM_UNANSWERED_WRITES, 45000, 15000, -1}, {SIM_CANCEL_BURST, 50000, 1, 8},
        {SIM_STORE_OUTAGE, 65000, 8000, -1},       {SIM_CANCEL_AT_COMPLETION, 75000, 30000, 50},
    };
    run_combination("a stream of one-task jobs", &(struct workload){&few_jobs, SIM_LOAD_STREAM, 300, 60, 60},
                    faults, ROWS(faults));
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(cancelled_during_reassignment),
        cmocka_unit_test(cancelled_at_the_end),
        cmocka_unit_test(frequent_status_queries),
        cmocka_unit_test(only_the_answer_is_lost),
        cmocka_unit_test(carried_out_late),
        cmocka_unit_test(controller_failures_far_apart),
        cmocka_unit_test(one_task_jobs),
    };
    if (!choose_named_test(tests, ROWS(tests), argc, argv)) return 2;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
