/* Simulated scenarios: each fault alone, then several random faults at once, then larger fleets. Every rule
 * must hold at every moment, and once the faults are over every accepted job must be completed or cancelled.
 */
#include "named_tests.h"
#include "small_scenario.h"

#include "amberpin/base/log.h"

enum { LENGTH_MS = 240000, RANDOM_KINDS = SIM_ZONE_PARTITION + 1 };

static const char *const names[] = {
    "kill",
    "restart",
    "state service unreachable",
    "refused by the state service",
    "cut off from workers",
    "cut off from peers",
    "cut off from all",
    "cut off from all but workers",
    "outage of the state service",
    "machine hangs",
    "machine crashes",
    "machine receives no answers",
    "duplicate heartbeats",
    "lost answers",
    "late requests",
    "faulty machine",
    "no cloud capacity",
    "zones cut off from each other",
    "lost heartbeats",
    "late writes",
    "lost write answers",
    "late copies of heartbeats",
    "heartbeats replayed to the next leader",
    "late commands",
    "quick boots",
    "slow state service",
    "burst of cancellations",
    "cancelled at completion",
    "bursts of queries",
    "invalid requests",
    "slow links",
    "cloud outage",
    "lowered limits of the state service",
    "upgrade",
    "duties switched on",
    "lost zone",
    "late returns",
    "zone cut off",
    "half a zone lost",
    "paused controller",
    "slow boots",
    "failed boots",
    "frequent polling",
    "cancelled early",
    "changes arrive late",
    "refused by peers",
};
_Static_assert(ROWS(names) == SIM_FAULT_KINDS, "a name for each kind of fault");

/* An answer without commands is held back (long poll) until there is a command, but never so long that it
 * delays the worker's next heartbeat. */
static void days_without_faults(void **state) {
    (void)state;
    for (uint64_t seed = 1; seed <= 4; seed++) {
        struct sim_result result = run_small_scenario("quiet", seed, NULL, 0);
        if (result.longest_long_poll_ms > 500 || result.long_poll_starts * 5 < result.start_commands)
            fail_msg("seed %llu: an answer took %lld ms; %u of %u start commands in long-poll answers",
                     (unsigned long long)seed, (long long)result.longest_long_poll_ms,
                     result.long_poll_starts, result.start_commands);
    }
}

static void run_single_faults(enum sim_fault_kind first, enum sim_fault_kind end) {
    for (int kind = (int)first; kind < (int)end; kind++)
        for (uint64_t seed = 1; seed <= 2; seed++) {
            const struct sim_fault faults[] = {
                {(enum sim_fault_kind)kind, 25000, 20000 + 9000 * (amb_ms)seed, -1},
                {(enum sim_fault_kind)kind, 80000, 25000, -1}};
            run_small_scenario(names[kind], seed, faults, ROWS(faults));
        }
}

static void controller_faults(void **state) {
    (void)state;
    run_single_faults(SIM_KILL, SIM_CUT_PEERS);
}

static void peer_network_faults(void **state) {
    (void)state;
    run_single_faults(SIM_CUT_PEERS, SIM_MACHINE_HANG);
}

static void machine_faults(void **state) {
    (void)state;
    run_single_faults(SIM_MACHINE_HANG, SIM_LOSE_RESPONSES);
}

static void platform_service_faults(void **state) {
    (void)state;
    run_single_faults(SIM_LOSE_RESPONSES, SIM_LOSE_HEARTBEATS);
}

static void message_faults(void **state) {
    (void)state;
    run_single_faults(SIM_LOSE_HEARTBEATS, SIM_QUICK_BOOTS);
}

static void timing_faults(void **state) {
    (void)state;
    run_single_faults(SIM_QUICK_BOOTS, SIM_CANCEL_BURST);
}

static void user_faults(void **state) {
    (void)state;
    run_single_faults(SIM_CANCEL_BURST,
                      SIM_LOWER_STORE_LIMITS); /* it is permanent: tests/scenarios/test_upgrade.c has it */
}

static void unfit_jobs_are_refused(void **state) {
    (void)state;
    const struct sim_fault faults[] = {{SIM_INVALID_REQUESTS, 15000, 60000, -1}};
    struct sim_result result = run_small_scenario("invalid requests", 1, faults, ROWS(faults));
    if (result.refused < 10) fail_msg("%u unfit jobs refused", result.refused);
}

/* Each load alone, then with a killed leader and a burst of cancellations. */
static void loads(void **state) {
    (void)state;
    static const struct {
        const char *what;
        unsigned load;
        uint32_t accepted;
    } rows[] = {
        {"zone-bound jobs", SIM_LOAD_ZONE_BOUND, 16},
        {"teams at their limits", SIM_LOAD_SMALL_QUOTAS, 16},
        {"a stream of one-task jobs", SIM_LOAD_STREAM, 600},
        {"jobs whose tasks end far apart", SIM_LOAD_UNEVEN_TASKS, 24},
        {"more work than capacity", SIM_LOAD_OVERLOAD, 24},
    };
    static const struct sim_fault faults[] = {{SIM_KILL, 40000, 1, -1}, {SIM_CANCEL_BURST, 60000, 8000, 4}};
    for (size_t i = 0; i < ROWS(rows); i++)
        for (size_t count = 0; count <= ROWS(faults); count += ROWS(faults)) {
            const struct sim_scenario scenario = {&sim_small,   1,      LENGTH_MS + 60000,
                                                  rows[i].load, faults, count};
            struct sim_result result = sim_run(&scenario);
            if (result.violation[0]) fail_msg("%s, %zu faults: %s", rows[i].what, count, result.violation);
            if (result.accepted < rows[i].accepted || result.done < rows[i].accepted / 4 || result.open_jobs)
                fail_msg("%s, %zu faults: %u accepted, %u done, %u left open", rows[i].what, count,
                         result.accepted, result.done, result.open_jobs);
        }
}

/* Combinations of faults that a site's standard scenarios lack. */
static void selected_fault_combinations(void **state) {
    (void)state;
    static const struct {
        const char *what;
        struct sim_fault faults[6];
        size_t fault_count;
    } scenarios[] = {
        {"all controllers killed during an outage",
         {{SIM_STORE_OUTAGE, 30000, 30000, -1},
          {SIM_KILL, 40000, 1, 0},
          {SIM_KILL, 40000, 1, 1},
          {SIM_KILL, 40000, 1, 2}},
         4},
        {"restarts during an election",
         {{SIM_KILL, 30000, 1, -1},
          {SIM_RESTART, 33100, 1, 0},
          {SIM_RESTART, 33300, 1, 1},
          {SIM_RESTART, 33500, 1, 2},
          {SIM_RESTART, 34000, 1, -1}},
         5},
        {"a long outage", {{SIM_STORE_OUTAGE, 25000, 70000, -1}}, 1},
        {"late requests and failovers",
         {{SIM_LATE_REQUESTS, 20000, 60000, -1}, {SIM_KILL, 30000, 1, -1}, {SIM_KILL, 50000, 1, -1}},
         3},
        {"lost answers and a failover",
         {{SIM_LOSE_RESPONSES, 20000, 60000, -1},
          {SIM_KILL, 30000, 1, -1},
          {SIM_CUT_STORE, 50000, 20000, -1}},
         3},
        {"duplicate heartbeats across failovers",
         {{SIM_DUPLICATE_HEARTBEATS, 15000, 90000, 0},
          {SIM_DUPLICATE_HEARTBEATS, 15000, 90000, 1},
          {SIM_KILL, 40000, 1, -1},
          {SIM_KILL, 60000, 1, -1}},
         4},
        {"only the workers reach the leader", {{SIM_CUT_ALL_BUT_AGENTS, 30000, 40000, -1}}, 1},
        {"zones cut off from each other and the leader killed",
         {{SIM_ZONE_PARTITION, 30000, 30000, -1}, {SIM_KILL, 35000, 1, -1}},
         2},
        {"a machine without answers while the cloud has no capacity",
         {{SIM_LOSE_HEARTBEAT_REPLIES, 25000, 40000, -1}, {SIM_NO_CAPACITY, 20000, 40000, -1}},
         2},
    };
    for (size_t i = 0; i < ROWS(scenarios); i++)
        for (uint64_t seed = 1; seed <= 2; seed++)
            run_small_scenario(scenarios[i].what, seed, scenarios[i].faults, scenarios[i].fault_count);
}

static void random_faults(uint64_t seed, struct sim_fault *fault, size_t count) {
    uint64_t state = seed * 0x9e3779b97f4a7c15u;
    for (size_t i = 0; i < count; i++) {
        state ^= state << 13, state ^= state >> 7, state ^= state << 17;
        fault[i].kind = (enum sim_fault_kind)(state % RANDOM_KINDS);
        fault[i].at = 15000 + (amb_ms)(state >> 16) % 110000;
        fault[i].lasts = 3000 + (amb_ms)(state >> 40) % 40000;
        fault[i].which = (state >> 60) < 8 ? -1 : (int)((state >> 58) % 3);
    }
}

static void run_random_scenarios(uint64_t first, uint64_t last) {
    struct sim_fault faults[8];
    for (uint64_t seed = first; seed <= last; seed++) {
        random_faults(seed, faults, ROWS(faults));
        run_small_scenario("random faults", seed, faults, ROWS(faults));
    }
}

static void random_days(void **state) {
    (void)state;
    run_random_scenarios(1, 6);
}

static void more_random_days(void **state) {
    (void)state;
    run_random_scenarios(7, 12);
}

/* Random scenarios that once broke a rule. */
static void past_failures(void **state) {
    (void)state;
    static const struct {
        const char *what;
        uint64_t seed;
    } rows[] = {
        {"a cancellation confirmed just before an outage, unknown to a leader that its peers confirm", 1074},
        {"a stale placement of an earlier leader started again, above the team's limit", 1180},
        {"a job that arrived while the leader was unreachable was never scheduled", 1035},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct sim_fault faults[8];
        random_faults(rows[i].seed, faults, ROWS(faults));
        run_small_scenario(rows[i].what, rows[i].seed, faults, ROWS(faults));
    }
}

/* Random scenarios of tests/standin/explore.c that broke a rule, as reduced by it to the faults that matter.
 */
static void past_explorer_failures(void **state) {
    (void)state;
    static const struct {
        const char *what;
        struct sim_scenario scenario;
        struct sim_fault faults[4];
        size_t count;
    } rows[] = {
        {"cancelled while a new leader reads its records for 24 s",
         {&sim_small, 228, 300000, SIM_LOAD_STREAM, NULL, 0},
         {{SIM_REPLAYED_HEARTBEATS, 41912, 1582, 58},
          {SIM_LOSE_RESPONSES, 65826, 39578, -1},
          {SIM_CUT_ALL, 67769, 5104, 1}},
         3},
        {"a corrupted resubmission at a controller that the state service refuses",
         {&sim_small, 403, 300000, 0, NULL, 0},
         {{SIM_INVALID_REQUESTS, 57953, 43944, 1}, {SIM_STORE_REFUSES_NODE, 53637, 42186, 0}},
         2},
        {"a corrupted resubmission at a controller that is cut off from the state service",
         {&sim_small, 74, 300000, 0, NULL, 0},
         {{SIM_CUT_STORE, 62537, 25953, -1}, {SIM_INVALID_REQUESTS, 73179, 4983, 0}},
         2},
        {"corrupted resubmissions and bursts of queries while the state service is slow",
         {&sim_small, 867, 300000, SIM_LOAD_SMALL_QUOTAS, NULL, 0},
         {{SIM_POLL_BURST, 105243, 15352, 0},
          {SIM_SLOW_STORE, 104433, 25791, 0},
          {SIM_REPLAYED_HEARTBEATS, 86460, 40552, 32},
          {SIM_INVALID_REQUESTS, 88781, 31985, 2}},
         4},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct sim_scenario scenario = rows[i].scenario;
        scenario.faults = rows[i].faults;
        scenario.fault_count = rows[i].count;
        struct sim_result result = sim_run(&scenario);
        if (result.violation[0]) fail_msg("%s: %s", rows[i].what, result.violation);
        if (result.accepted < 12 || result.done < 3 || result.starts < 10)
            fail_msg("%s: %u accepted, %u done, %u starts", rows[i].what, result.accepted, result.done,
                     result.starts);
    }
}

/* A larger deployment: seven controllers, over a hundred machines, bursts of hundreds of tasks. */
static void grown_day(void **state) {
    (void)state;
    const struct sim_fault faults[] = {{SIM_KILL, 30000, 1, -1},
                                       {SIM_ZONE_PARTITION, 40000, 15000, -1},
                                       {SIM_STORE_OUTAGE, 60000, 12000, -1},
                                       {SIM_KILL, 65000, 1, -1},
                                       {SIM_LATE_REQUESTS, 75000, 15000, -1},
                                       {SIM_CUT_ALL_BUT_AGENTS, 95000, 15000, -1},
                                       {SIM_LOSE_RESPONSES, 80000, 9000, -1},
                                       {SIM_MACHINE_HANG, 85000, 25000, -1}};
    struct sim_result result = sim_run_default_load(&sim_grown, 7, LENGTH_MS, faults, ROWS(faults));
    if (result.violation[0]) fail_msg("%s", result.violation);
    if (result.accepted < 100 || result.done < 40 || result.starts < 900 || result.open_jobs)
        fail_msg("%u accepted, %u done, %u starts, %u left open", result.accepted, result.done, result.starts,
                 result.open_jobs);
}

/* Heartbeats are so rare that a fraction of their interval is longer than a worker waits for an answer. */
static void slow_reports(void **state) {
    (void)state;
    struct sim_result result = sim_run_default_load(&sim_slow, 1, LENGTH_MS + 100000, NULL, 0);
    if (result.violation[0]) fail_msg("%s", result.violation);
    if (result.accepted < 12 || result.done < 3 || result.starts < 10 || result.open_jobs ||
        result.longest_long_poll_ms > 2000)
        fail_msg("%u accepted, %u done, %u starts, %u left open, an answer took %lld ms", result.accepted,
                 result.done, result.starts, result.open_jobs, (long long)result.longest_long_poll_ms);
}

/* The size of the fleet deployments: hundreds of machines, rare heartbeats, long leases. All controllers are
 * killed at once while machines hang or crash, a machine receives no answers, a zone is cut off and
 * heartbeats are duplicated. */
static void fleet_day(void **state) {
    (void)state;
    const struct sim_fault faults[] = {
        {SIM_KILL, 20000, 1, -1},
        {SIM_LOSE_HEARTBEAT_REPLIES, 25000, 30000, -1},
        {SIM_DUPLICATE_HEARTBEATS, 25000, 60000, 3},
        {SIM_ZONE_PARTITION, 40000, 30000, -1},
        {SIM_KILL, 45000, 1, -1},
        {SIM_MACHINE_HANG, 50000, 30000, -1},
        {SIM_MACHINE_CRASH, 52000, 1, -1},
        {SIM_STORE_OUTAGE, 75000, 10000, -1},
        {SIM_KILL, 80000, 1, 0},
        {SIM_KILL, 80000, 1, 1},
        {SIM_KILL, 80000, 1, 2},
        {SIM_KILL, 80000, 1, 3},
        {SIM_KILL, 80000, 1, 4},
        {SIM_KILL, 80000, 1, 5},
        {SIM_RESTART, 80000, 1, 6},
        {SIM_RESTART, 84000, 1, -1},
        {SIM_LATE_REQUESTS, 95000, 10000, -1},
        {SIM_CUT_ALL_BUT_AGENTS, 100000, 20000, -1},
    };
    struct sim_result result = sim_run_default_load(&sim_fleet, 3, LENGTH_MS, faults, ROWS(faults));
    if (result.violation[0]) fail_msg("%s", result.violation);
    if (result.accepted < 600 || result.done < 200 || result.starts < 7000 || result.open_jobs)
        fail_msg("%u accepted, %u done, %u starts, %u left open", result.accepted, result.done, result.starts,
                 result.open_jobs);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(fleet_day),
        cmocka_unit_test(grown_day),
        cmocka_unit_test(days_without_faults),
        cmocka_unit_test(slow_reports),
        cmocka_unit_test(controller_faults),
        cmocka_unit_test(peer_network_faults),
        cmocka_unit_test(machine_faults),
        cmocka_unit_test(platform_service_faults),
        cmocka_unit_test(message_faults),
        cmocka_unit_test(timing_faults),
        cmocka_unit_test(user_faults),
        cmocka_unit_test(unfit_jobs_are_refused),
        cmocka_unit_test(loads),
        cmocka_unit_test(selected_fault_combinations),
        cmocka_unit_test(random_days),
        cmocka_unit_test(more_random_days),
        cmocka_unit_test(past_failures),
        cmocka_unit_test(past_explorer_failures),
    };
    if (!choose_named_test(tests, ROWS(tests), argc, argv)) return 2;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
