/* Whole days against the stand-in: one trouble at a time, then several drawn at once. Every rule must hold at
 * every moment, and once the troubles are over all that was accepted must get done. */
#include "named_tests.h"
#include "small_scenario.h"

#include "amberpin/base/log.h"

enum { DAY = 240000, DRAWN_KINDS = SIM_ZONE_PARTITION + 1 };

static const char *const names[] = {
    "kill",
    "brief kill",
    "cut state",
    "refuse state",
    "cut workers",
    "cut peers",
    "cut all",
    "cut but workers",
    "outage",
    "hang",
    "die",
    "deaf",
    "copies",
    "lost answers",
    "late requests",
    "bad machine",
    "no capacity",
    "zones apart",
    "mute",
    "late writes",
    "lost write answers",
    "late reports",
    "reports kept for the next leader",
    "late commands",
    "quick boots",
    "slow state service",
    "burst of cancellations",
    "cancelled at the end",
    "close looks",
    "odd requests",
    "slow links",
    "cloud outage",
    "lowered limits",
    "upgrade",
    "duties",
    "lost zone",
    "late returns",
    "cut zone",
    "half a zone",
    "freeze",
    "late boots",
    "no boots",
    "questions",
};
_Static_assert(ROWS(names) == SIM_FAULT_KINDS, "a name for each kind of fault");

/* Answers that would say nothing wait for orders, but never so long that a worker would report later. */
static void days_without_faults(void **state) {
    (void)state;
    for (uint64_t seed = 1; seed <= 4; seed++) {
        struct sim_result result = run_small_scenario("quiet", seed, NULL, 0);
        if (result.longest_long_poll_ms > 500 || result.long_poll_starts * 5 < result.start_commands)
            fail_msg("seed %llu: an answer took %lld ms; %u of %u orders in kept answers",
                     (unsigned long long)seed, (long long)result.longest_long_poll_ms,
                     result.long_poll_starts, result.start_commands);
    }
}

static void single_troubles(enum sim_fault_kind first, enum sim_fault_kind end) {
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
    single_troubles(SIM_KILL, SIM_CUT_PEERS);
}

static void peer_network_faults(void **state) {
    (void)state;
    single_troubles(SIM_CUT_PEERS, SIM_MACHINE_HANG);
}

static void machine_faults(void **state) {
    (void)state;
    single_troubles(SIM_MACHINE_HANG, SIM_LOSE_RESPONSES);
}

static void platform_service_faults(void **state) {
    (void)state;
    single_troubles(SIM_LOSE_RESPONSES, SIM_LOSE_HEARTBEATS);
}

static void message_faults(void **state) {
    (void)state;
    single_troubles(SIM_LOSE_HEARTBEATS, SIM_QUICK_BOOTS);
}

static void timing_faults(void **state) {
    (void)state;
    single_troubles(SIM_QUICK_BOOTS, SIM_CANCEL_BURST);
}

static void user_faults(void **state) {
    (void)state;
    single_troubles(SIM_CANCEL_BURST,
                    SIM_LOWER_STORE_LIMITS); /* that lasts: tests/scenarios/test_upgrade.c */
}

static void unfit_jobs_are_refused(void **state) {
    (void)state;
    const struct sim_fault faults[] = {{SIM_INVALID_REQUESTS, 15000, 60000, -1}};
    struct sim_result result = run_small_scenario("odd requests", 1, faults, ROWS(faults));
    if (result.refused < 10) fail_msg("%u unfit jobs refused", result.refused);
}

/* What a day's jobs may be like; and each with a leader that ends and a burst of cancellations. */
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
        {"more work than room", SIM_LOAD_OVERLOAD, 24},
    };
    static const struct sim_fault faults[] = {{SIM_KILL, 40000, 1, -1}, {SIM_CANCEL_BURST, 60000, 8000, 4}};
    for (size_t i = 0; i < ROWS(rows); i++)
        for (size_t count = 0; count <= ROWS(faults); count += ROWS(faults)) {
            const struct sim_scenario plan = {&sim_small, 1, DAY + 60000, rows[i].load, faults, count};
            struct sim_result result = sim_run(&plan);
            if (result.violation[0]) fail_msg("%s, %zu faults: %s", rows[i].what, count, result.violation);
            if (result.accepted < rows[i].accepted || result.done < rows[i].accepted / 4 || result.open_jobs)
                fail_msg("%s, %zu faults: %u accepted, %u done, %u left open", rows[i].what, count,
                         result.accepted, result.done, result.open_jobs);
        }
}

/* The combinations that the standard days of a site lack. */
static void selected_fault_combinations(void **state) {
    (void)state;
    static const struct {
        const char *what;
        struct sim_fault faults[6];
        size_t fault_count;
    } days[] = {
        {"all controllers lost during an outage",
         {{SIM_STORE_OUTAGE, 30000, 30000, -1},
          {SIM_KILL, 40000, 1, 0},
          {SIM_KILL, 40000, 1, 1},
          {SIM_KILL, 40000, 1, 2}},
         4},
        {"restarts in mid-election",
         {{SIM_KILL, 30000, 1, -1},
          {SIM_RESTART, 33100, 1, 0},
          {SIM_RESTART, 33300, 1, 1},
          {SIM_RESTART, 33500, 1, 2},
          {SIM_RESTART, 34000, 1, -1}},
         5},
        {"a long outage", {{SIM_STORE_OUTAGE, 25000, 70000, -1}}, 1},
        {"late requests and a new leader",
         {{SIM_LATE_REQUESTS, 20000, 60000, -1}, {SIM_KILL, 30000, 1, -1}, {SIM_KILL, 50000, 1, -1}},
         3},
        {"lost answers and a new leader",
         {{SIM_LOSE_RESPONSES, 20000, 60000, -1},
          {SIM_KILL, 30000, 1, -1},
          {SIM_CUT_STORE, 50000, 20000, -1}},
         3},
        {"copies of reports across take-overs",
         {{SIM_DUPLICATE_HEARTBEATS, 15000, 90000, 0},
          {SIM_DUPLICATE_HEARTBEATS, 15000, 90000, 1},
          {SIM_KILL, 40000, 1, -1},
          {SIM_KILL, 60000, 1, -1}},
         4},
        {"only the workers reach the leader", {{SIM_CUT_ALL_BUT_AGENTS, 30000, 40000, -1}}, 1},
        {"zones apart and the leader dies",
         {{SIM_ZONE_PARTITION, 30000, 30000, -1}, {SIM_KILL, 35000, 1, -1}},
         2},
        {"a deaf machine while the cloud is empty",
         {{SIM_LOSE_HEARTBEAT_REPLIES, 25000, 40000, -1}, {SIM_NO_CAPACITY, 20000, 40000, -1}},
         2},
    };
    for (size_t i = 0; i < ROWS(days); i++)
        for (uint64_t seed = 1; seed <= 2; seed++)
            run_small_scenario(days[i].what, seed, days[i].faults, days[i].fault_count);
}

static void draw_faults(uint64_t seed, struct sim_fault *fault, size_t count) {
    uint64_t state = seed * 0x9e3779b97f4a7c15u;
    for (size_t i = 0; i < count; i++) {
        state ^= state << 13, state ^= state >> 7, state ^= state << 17;
        fault[i].kind = (enum sim_fault_kind)(state % DRAWN_KINDS);
        fault[i].at = 15000 + (amb_ms)(state >> 16) % 110000;
        fault[i].lasts = 3000 + (amb_ms)(state >> 40) % 40000;
        fault[i].which = (state >> 60) < 8 ? -1 : (int)((state >> 58) % 3);
    }
}

static void play_drawn(uint64_t first, uint64_t last) {
    struct sim_fault faults[8];
    for (uint64_t seed = first; seed <= last; seed++) {
        draw_faults(seed, faults, ROWS(faults));
        run_small_scenario("drawn", seed, faults, ROWS(faults));
    }
}

static void random_days(void **state) {
    (void)state;
    play_drawn(1, 6);
}

static void more_random_days(void **state) {
    (void)state;
    play_drawn(7, 12);
}

/* Drawn days that once broke something. */
static void past_failures(void **state) {
    (void)state;
    static const struct {
        const char *what;
        uint64_t seed;
    } rows[] = {
        {"a cancellation told just before an outage, unknown to a leader that its peers confirm", 1074},
        {"an earlier leader's stale placement started again, over the team's limit", 1180},
        {"a job that came while the leader was mute was never taken up", 1035},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct sim_fault faults[8];
        draw_faults(rows[i].seed, faults, ROWS(faults));
        run_small_scenario(rows[i].what, rows[i].seed, faults, ROWS(faults));
    }
}

/* Days that broke a rule when they were drawn by tests/standin/explore.c, taken apart by it. */
static void past_explorer_failures(void **state) {
    (void)state;
    static const struct {
        const char *what;
        struct sim_scenario plan;
        struct sim_fault faults[4];
        size_t count;
    } rows[] = {
        {"cancelled while a new leader reads its records for 24 s",
         {&sim_small, 228, 300000, SIM_LOAD_STREAM, NULL, 0},
         {{SIM_REPLAYED_HEARTBEATS, 41912, 1582, 58},
          {SIM_LOSE_RESPONSES, 65826, 39578, -1},
          {SIM_CUT_ALL, 67769, 5104, 1}},
         3},
        {"a spoilt repeat at a node that the state service refuses",
         {&sim_small, 403, 300000, 0, NULL, 0},
         {{SIM_INVALID_REQUESTS, 57953, 43944, 1}, {SIM_STORE_REFUSES_NODE, 53637, 42186, 0}},
         2},
        {"a spoilt repeat at a node that is cut from the state service",
         {&sim_small, 74, 300000, 0, NULL, 0},
         {{SIM_CUT_STORE, 62537, 25953, -1}, {SIM_INVALID_REQUESTS, 73179, 4983, 0}},
         2},
        {"spoilt repeats and close looks while the state service is slow",
         {&sim_small, 867, 300000, SIM_LOAD_SMALL_QUOTAS, NULL, 0},
         {{SIM_POLL_BURST, 105243, 15352, 0},
          {SIM_SLOW_STORE, 104433, 25791, 0},
          {SIM_REPLAYED_HEARTBEATS, 86460, 40552, 32},
          {SIM_INVALID_REQUESTS, 88781, 31985, 2}},
         4},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct sim_scenario plan = rows[i].plan;
        plan.faults = rows[i].faults;
        plan.fault_count = rows[i].count;
        struct sim_result result = sim_run(&plan);
        if (result.violation[0]) fail_msg("%s: %s", rows[i].what, result.violation);
        if (result.accepted < 12 || result.done < 3 || result.starts < 10)
            fail_msg("%s: %u accepted, %u done, %u starts", rows[i].what, result.accepted, result.done,
                     result.starts);
    }
}

/* The size of the grown deployments: seven nodes, over a hundred machines, bursts of hundreds of tasks. */
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
    struct sim_result result = sim_run_default_load(&sim_grown, 7, DAY, faults, ROWS(faults));
    if (result.violation[0]) fail_msg("%s", result.violation);
    if (result.accepted < 100 || result.done < 40 || result.starts < 900 || result.open_jobs)
        fail_msg("%u accepted, %u done, %u starts, %u left open", result.accepted, result.done, result.starts,
                 result.open_jobs);
}

/* Reports come so seldom that a part of their period is longer than a worker waits for an answer. */
static void slow_reports(void **state) {
    (void)state;
    struct sim_result result = sim_run_default_load(&sim_slow, 1, DAY + 100000, NULL, 0);
    if (result.violation[0]) fail_msg("%s", result.violation);
    if (result.accepted < 12 || result.done < 3 || result.starts < 10 || result.open_jobs ||
        result.longest_long_poll_ms > 2000)
        fail_msg("%u accepted, %u done, %u starts, %u left open, an answer took %lld ms", result.accepted,
                 result.done, result.starts, result.open_jobs, (long long)result.longest_long_poll_ms);
}

/* The size of the fleet deployments: hundreds of machines, slow reports, long leases. All controllers end
 * together while a zone is out of reach, a machine hears no answers, others hang or die, and late copies
 * come. */
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
    struct sim_result result = sim_run_default_load(&sim_fleet, 3, DAY, faults, ROWS(faults));
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
