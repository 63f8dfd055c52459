/* Runs random scenarios, with faults drawn in clusters, over a range of seeds. When a scenario violates a
 * rule, it is reduced by removing faults and loads while a rule is still violated, and printed as a table row
 * for a test.
 *
 *     explore [-j PROCESSES] [-s small|grown|fleet|slow] [-t SECONDS] [-c] [-d] [-v] FIRST LAST
 *
 * With -c users cancel many jobs soon after submitting them, while changes reach some nodes late and peers
 * refuse connections.
 * With -v it prints a line for every scenario. The digest at the end of the line covers all requests and
 * answers, so that two versions of the library that behave alike print the same line for the same seed. With
 * -d single-holder duties are on, either from the start or switched on later, and in some scenarios switched
 * off again. */
#include "standin.h"

#include "amberpin/base/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum {
    MAX_CLUSTERED_FAULTS = 10,
    LATE_CHANGE_FAULTS = 3,
    /* Plus an upgrade, lowered limits and duties, and early cancellations with late changes. */
    MAX_DRAWN_FAULTS = MAX_CLUSTERED_FAULTS + 3 + 1 + LATE_CHANGE_FAULTS,
    MAX_CLUSTERS = 3,
    MIN_CLUSTER_START_MS = 20000,
    MAX_CLUSTER_START_MS = 120000,
    CLUSTER_SPAN_MS = 6000,            /* the faults of a cluster begin within this time */
    MIN_TIME_AFTER_FAULTS_MS = 140000, /* from the end of the last fault to the end of the scenario */
    MIN_LENGTH_MS = 300000,
    MIN_UPGRADE_INTERVAL_MS = 2000, /* between the restarts of two nodes */
    MAX_UPGRADE_INTERVAL_MS = 30000,
    LOADS = 6,
    /* The work can take longer than the scenario, since one-task jobs are submitted faster than small team
     * quotas let them run. Of 2,000 random scenarios the longest took another 222 s. */
    OVERTIME_MS = 300000,
};

static const char *const fault_kind_names[] = {
    "SIM_KILL",
    "SIM_RESTART",
    "SIM_CUT_STORE",
    "SIM_STORE_REFUSES_NODE",
    "SIM_CUT_AGENTS",
    "SIM_CUT_PEERS",
    "SIM_CUT_ALL",
    "SIM_CUT_ALL_BUT_AGENTS",
    "SIM_STORE_OUTAGE",
    "SIM_MACHINE_HANG",
    "SIM_MACHINE_CRASH",
    "SIM_LOSE_HEARTBEAT_REPLIES",
    "SIM_DUPLICATE_HEARTBEATS",
    "SIM_LOSE_RESPONSES",
    "SIM_LATE_REQUESTS",
    "SIM_FAULTY_MACHINE",
    "SIM_NO_CAPACITY",
    "SIM_ZONE_PARTITION",
    "SIM_LOSE_HEARTBEATS",
    "SIM_LATE_WRITES",
    "SIM_UNANSWERED_WRITES",
    "SIM_LATE_HEARTBEAT_COPIES",
    "SIM_REPLAYED_HEARTBEATS",
    "SIM_LATE_COMMANDS",
    "SIM_QUICK_BOOTS",
    "SIM_SLOW_STORE",
    "SIM_CANCEL_BURST",
    "SIM_CANCEL_AT_COMPLETION",
    "SIM_POLL_BURST",
    "SIM_INVALID_REQUESTS",
    "SIM_SLOW_LINKS",
    "SIM_CLOUD_OUTAGE",
    "SIM_LOWER_STORE_LIMITS",
    "SIM_UPGRADE",
    "SIM_SWITCH_DUTIES",
    "SIM_LOSE_ZONE",
    "SIM_LATE_RETURNS",
    "SIM_CUT_ZONE",
    "SIM_LOSE_HALF_ZONE",
    "SIM_PAUSE_NODE",
    "SIM_SLOW_BOOTS",
    "SIM_FAILED_BOOTS",
    "SIM_FREQUENT_POLLING",
    "SIM_CANCEL_EARLY",
    "SIM_SLOW_CHANGES",
    "SIM_REFUSE_PEERS",
};
_Static_assert(sizeof fault_kind_names / sizeof *fault_kind_names == SIM_FAULT_KINDS,
               "a name for each kind of fault");

static const struct {
    const char *name;
    const struct sim_size *size;
} sizes[] = {{"small", &sim_small}, {"grown", &sim_grown}, {"fleet", &sim_fleet}, {"slow", &sim_slow}};

struct options {
    size_t size;
    int processes;
    bool verbose, duties, cancellations;
    time_t deadline; /* no scenario starts after this time; 0: no limit */
    uint64_t first, last;
};

struct drawn_scenario {
    struct sim_scenario plan;
    struct sim_fault faults[MAX_DRAWN_FAULTS];
};

struct totals {
    uint64_t scenarios, failed, crashed, overtime_scenarios, commands_after_cancel, starts_after_cancel;
    amb_ms latest_command, longest_overtime;
};

/* ---- random scenarios ---- */

static uint64_t next_random(uint64_t *state) {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    return *state * 0x2545f4914f6cdd1du >> 16;
}

static amb_ms random_between(uint64_t *state, amb_ms min, amb_ms max) {
    return min + (amb_ms)(next_random(state) % (uint64_t)(max - min + 1));
}

/* Short, about as long as the lease and cancellation times of the deployment, or longer. */
static amb_ms draw_duration(uint64_t *state, const struct sim_size *size) {
    switch (next_random(state) % 4) {
    case 0: return random_between(state, 300, 4000);
    case 1: return random_between(state, 4000, size->agent_lease_ms);
    case 2: return random_between(state, size->agent_lease_ms, size->cancel_ms);
    default: return random_between(state, size->cancel_ms, size->cancel_ms * 3 / 2);
    }
}

static int draw_target(uint64_t *state, enum sim_fault_kind kind, const struct sim_size *size) {
    switch (kind) {
    case SIM_CANCEL_BURST: return (int)random_between(state, 1, 12);
    case SIM_LATE_WRITES:
    case SIM_UNANSWERED_WRITES:
    case SIM_LATE_HEARTBEAT_COPIES:
    case SIM_REPLAYED_HEARTBEATS:
    case SIM_LATE_COMMANDS:
    case SIM_CANCEL_AT_COMPLETION: return (int)random_between(state, 10, 60);
    default:
        if (next_random(state) % 2) return -1;
        return (int)random_between(state, 0, size->nodes < 3 ? 0 : 2);
    }
}

static void draw_fault(uint64_t *state, const struct sim_size *size, amb_ms cluster,
                       struct sim_fault *fault) {
    fault->kind = (enum sim_fault_kind)(next_random(state) % SIM_LOWER_STORE_LIMITS);
    fault->at = cluster + random_between(state, 0, CLUSTER_SPAN_MS);
    fault->lasts = draw_duration(state, size);
    fault->which = draw_target(state, fault->kind, size);
}

/* In every third scenario: among the clusters, or before them. */
static void draw_upgrade(uint64_t *state, struct drawn_scenario *scenario) {
    if (next_random(state) % 3) return;
    scenario->faults[scenario->plan.fault_count++] = (struct sim_fault){
        .kind = SIM_UPGRADE,
        .at = random_between(state, MIN_CLUSTER_START_MS, MAX_CLUSTER_START_MS / 2),
        .lasts = random_between(state, MIN_UPGRADE_INTERVAL_MS, MAX_UPGRADE_INTERVAL_MS),
        .which = (int)random_between(state, 1, 2),
    };
}

/* In every third scenario; the fault takes effect only once an upgrade is over. */
static void draw_lowered_limits(uint64_t *state, struct drawn_scenario *scenario) {
    if (next_random(state) % 3) return;
    scenario->faults[scenario->plan.fault_count++] =
        (struct sim_fault){.kind = SIM_LOWER_STORE_LIMITS,
                           .at = random_between(state, MIN_CLUSTER_START_MS, MAX_CLUSTER_START_MS),
                           .lasts = 1,
                           .which = -1};
}

static void draw_scenario(struct drawn_scenario *scenario, const struct sim_size *size, uint64_t seed) {
    uint64_t state = seed * 0x9e3779b97f4a7c15u + 0x1234567;
    int clusters = (int)random_between(&state, 1, MAX_CLUSTERS);
    memset(scenario, 0, sizeof *scenario);
    for (int cluster = 0; cluster < clusters; cluster++) {
        amb_ms at = random_between(&state, MIN_CLUSTER_START_MS, MAX_CLUSTER_START_MS);
        int count = (int)random_between(&state, 2, 4);
        for (int i = 0; i < count && scenario->plan.fault_count < MAX_CLUSTERED_FAULTS; i++)
            draw_fault(&state, size, at, &scenario->faults[scenario->plan.fault_count++]);
    }
    draw_upgrade(&state, scenario);
    draw_lowered_limits(&state, scenario);
    scenario->plan.size = size;
    scenario->plan.seed = seed;
    scenario->plan.length = MIN_LENGTH_MS;
    for (size_t i = 0; i < scenario->plan.fault_count; i++) {
        amb_ms needed = scenario->faults[i].at + scenario->faults[i].lasts + MIN_TIME_AFTER_FAULTS_MS;
        if (scenario->faults[i].kind == SIM_UPGRADE) needed += scenario->faults[i].lasts * size->nodes;
        if (needed > scenario->plan.length) scenario->plan.length = needed;
    }
    if (next_random(&state) % 2) scenario->plan.load = 1u << next_random(&state) % LOADS;
    if (next_random(&state) % 4 == 0) scenario->plan.load |= SIM_LOAD_SMALL_QUOTAS;
    if (scenario->plan.load & SIM_LOAD_OVERLOAD) scenario->plan.load &= ~(unsigned)SIM_LOAD_SMALL_QUOTAS;
}

/* Duties are on from the start in half of the scenarios, and switched off again in half. */
static void draw_duties(struct drawn_scenario *scenario, uint64_t seed) {
    uint64_t state = seed * 0x9e3779b97f4a7c15u + 0x7654321;
    struct sim_fault *fault = &scenario->faults[scenario->plan.fault_count++];
    *fault = (struct sim_fault){.kind = SIM_SWITCH_DUTIES, .lasts = SIM_PERMANENT_MS, .which = -1};
    if (next_random(&state) % 2)
        fault->at = random_between(&state, MIN_CLUSTER_START_MS / 2, MAX_CLUSTER_START_MS / 2);
    if (next_random(&state) % 2)
        fault->lasts = random_between(&state, MIN_CLUSTER_START_MS, MAX_CLUSTER_START_MS);
}

/* Early cancellations from the beginning on, and faults that keep nodes from hearing of them. */
static void draw_cancellations(struct drawn_scenario *scenario, const struct sim_size *size, uint64_t seed) {
    static const enum sim_fault_kind kinds[] = {SIM_SLOW_CHANGES, SIM_REFUSE_PEERS, SIM_CUT_PEERS};
    uint64_t state = seed * 0x9e3779b97f4a7c15u + 0x3141592;
    scenario->faults[scenario->plan.fault_count++] =
        (struct sim_fault){.kind = SIM_CANCEL_EARLY,
                           .at = MIN_CLUSTER_START_MS / 2,
                           .lasts = MAX_CLUSTER_START_MS,
                           .which = (int)random_between(&state, 20, 80)};
    for (int i = 0; i < LATE_CHANGE_FAULTS; i++)
        scenario->faults[scenario->plan.fault_count++] = (struct sim_fault){
            .kind = kinds[random_between(&state, 0, sizeof kinds / sizeof *kinds - 1)],
            .at = random_between(&state, MIN_CLUSTER_START_MS / 2, MAX_CLUSTER_START_MS),
            .lasts = draw_duration(&state, size),
            .which = draw_target(&state, SIM_SLOW_CHANGES, size),
        };
}

/* ---- reduction ---- */

static struct sim_result run_scenario(struct drawn_scenario *scenario) {
    scenario->plan.faults = scenario->faults;
    return sim_run_until_done(&scenario->plan, OVERTIME_MS);
}

static bool try_without_fault(struct drawn_scenario *scenario, size_t index) {
    struct drawn_scenario reduced = *scenario;
    memmove(&reduced.faults[index], &reduced.faults[index + 1],
            (reduced.plan.fault_count - index - 1) * sizeof *reduced.faults);
    reduced.plan.fault_count--;
    if (!run_scenario(&reduced).violation[0]) return false;
    *scenario = reduced;
    return true;
}

static bool try_shorter_fault(struct drawn_scenario *scenario, size_t index) {
    struct drawn_scenario reduced = *scenario;
    reduced.faults[index].lasts /= 2;
    if (reduced.faults[index].lasts < 500 || !run_scenario(&reduced).violation[0]) return false;
    *scenario = reduced;
    return true;
}

static bool try_without_load(struct drawn_scenario *scenario, unsigned load) {
    struct drawn_scenario reduced = *scenario;
    reduced.plan.load &= ~load;
    if (!(scenario->plan.load & load) || !run_scenario(&reduced).violation[0]) return false;
    *scenario = reduced;
    return true;
}

/* Removes faults and loads, then shortens the remaining faults, while a rule is still violated. */
static void shrink(struct drawn_scenario *scenario) {
    bool reduced_any = true;
    while (reduced_any) {
        reduced_any = false;
        for (size_t i = scenario->plan.fault_count; i-- > 0;) reduced_any |= try_without_fault(scenario, i);
        for (unsigned load = 1; load <= SIM_LOAD_ALL_FIELDS; load <<= 1)
            reduced_any |= try_without_load(scenario, load);
    }
    for (size_t i = 0; i < scenario->plan.fault_count; i++)
        while (try_shorter_fault(scenario, i)) {}
}

/* ---- output ---- */

static void print_load(unsigned load) {
    static const char *const names[] = {
        "SIM_LOAD_ZONE_BOUND", "SIM_LOAD_SMALL_QUOTAS", "SIM_LOAD_STREAM",    "SIM_LOAD_UNEVEN_TASKS",
        "SIM_LOAD_OVERLOAD",   "SIM_LOAD_PIPELINES",    "SIM_LOAD_ALL_FIELDS"};
    if (!load) printf("0");
    const char *separator = "";
    for (size_t i = 0; i < sizeof names / sizeof *names; i++)
        if (load & 1u << i) {
            printf("%s%s", separator, names[i]);
            separator = " | ";
        }
}

static void print_row(const struct drawn_scenario *scenario, const char *size, const char *violation) {
    printf("{\"%s\", &sim_%s, %llu, %lld, ", violation, size, (unsigned long long)scenario->plan.seed,
           (long long)scenario->plan.length);
    print_load(scenario->plan.load);
    printf(", {");
    for (size_t i = 0; i < scenario->plan.fault_count; i++) {
        const struct sim_fault *fault = &scenario->faults[i];
        printf("%s{%s, %lld, %lld, %d}", i ? ", " : "", fault_kind_names[fault->kind], (long long)fault->at,
               (long long)fault->lasts, fault->which);
    }
    printf("}, %zu},\n", scenario->plan.fault_count);
    fflush(stdout);
}

/* ---- range of seeds ---- */

static void explore_seed(const struct options *options, uint64_t seed, struct totals *totals) {
    struct drawn_scenario scenario;
    draw_scenario(&scenario, sizes[options->size].size, seed);
    if (options->duties) draw_duties(&scenario, seed);
    if (options->cancellations) draw_cancellations(&scenario, sizes[options->size].size, seed);
    struct sim_result result = run_scenario(&scenario);
    totals->scenarios++;
    totals->overtime_scenarios += result.overtime_ms > 0;
    if (result.overtime_ms > totals->longest_overtime) totals->longest_overtime = result.overtime_ms;
    totals->commands_after_cancel += result.commands_after_cancel;
    totals->starts_after_cancel += result.starts_after_cancel;
    if (result.latest_command_after_cancel_ms > totals->latest_command)
        totals->latest_command = result.latest_command_after_cancel_ms;
    if (options->verbose || result.overtime_ms || result.commands_after_cancel) {
        printf("seed %llu: %u accepted, %u done, %u left open, %lld s of overtime, %u orders after a "
               "cancellation, at most %lld ms, digest %016llx\n",
               (unsigned long long)seed, result.accepted, result.done, result.open_jobs,
               (long long)result.overtime_ms / 1000, result.commands_after_cancel,
               (long long)result.latest_command_after_cancel_ms, (unsigned long long)result.digest);
        fflush(stdout);
    }
    if (!result.violation[0]) return;
    totals->failed++;
    printf("seed %llu BROKEN %s, digest %016llx\n", (unsigned long long)seed, result.violation,
           (unsigned long long)result.digest);
    shrink(&scenario);
    result = run_scenario(&scenario);
    print_row(&scenario, sizes[options->size].name, result.violation);
}

static void add_totals(struct totals *sum, const struct totals *part) {
    sum->scenarios += part->scenarios;
    sum->failed += part->failed;
    sum->crashed += part->crashed;
    sum->overtime_scenarios += part->overtime_scenarios;
    if (part->longest_overtime > sum->longest_overtime) sum->longest_overtime = part->longest_overtime;
    sum->commands_after_cancel += part->commands_after_cancel;
    sum->starts_after_cancel += part->starts_after_cancel;
    if (part->latest_command > sum->latest_command) sum->latest_command = part->latest_command;
}

/* Runs each scenario in a child process, so that a crash is reported with its seed and no memory stays
 * allocated. */
static void explore_in_process(const struct options *options, uint64_t seed, int totals_pipe) {
    struct totals totals = {0};
    int status;
    fflush(stdout);
    pid_t child = fork();
    if (child < 0) abort();
    if (!child) {
        explore_seed(options, seed, &totals);
        _exit(write(totals_pipe, &totals, sizeof totals) == (ssize_t)sizeof totals ? 0 : 1);
    }
    if (waitpid(child, &status, 0) == child && WIFEXITED(status) && !WEXITSTATUS(status)) return;
    printf("seed %llu CRASHED, status %d\n", (unsigned long long)seed, status);
    totals = (struct totals){.scenarios = 1, .crashed = 1};
    if (write(totals_pipe, &totals, sizeof totals) != (ssize_t)sizeof totals) abort();
}

static void explore_share(const struct options *options, int share, int totals_pipe) {
    uint64_t step = (uint64_t)options->processes;
    for (uint64_t seed = options->first + (uint64_t)share; seed <= options->last; seed += step)
        if (!options->deadline || time(NULL) < options->deadline)
            explore_in_process(options, seed, totals_pipe);
    fflush(stdout);
}

/* One process per share of the seeds; totals of scenarios arrive through a pipe. */
static struct totals explore_all(const struct options *options) {
    struct totals sum = {0}, part;
    int pipe_ends[2];
    if (pipe(pipe_ends) < 0) abort();
    for (int share = 0; share < options->processes; share++) {
        pid_t child = fork();
        if (child < 0) abort();
        if (child) continue;
        close(pipe_ends[0]);
        explore_share(options, share, pipe_ends[1]);
        _exit(0);
    }
    close(pipe_ends[1]);
    while (read(pipe_ends[0], &part, sizeof part) == (ssize_t)sizeof part) add_totals(&sum, &part);
    while (wait(NULL) > 0) {}
    return sum;
}

static bool read_options(int argc, char **argv, struct options *options) {
    int option;
    *options = (struct options){.processes = 1};
    while ((option = getopt(argc, argv, "j:s:t:cdv")) != -1) {
        if (option == 'j') {
            options->processes = (int)strtol(optarg, NULL, 10);
        } else if (option == 't') {
            options->deadline = time(NULL) + strtol(optarg, NULL, 10);
        } else if (option == 'c') {
            options->cancellations = true;
        } else if (option == 'd') {
            options->duties = true;
        } else if (option == 'v') {
            options->verbose = true;
        } else if (option == 's') {
            while (strcmp(sizes[options->size].name, optarg))
                if (++options->size == sizeof sizes / sizeof *sizes) return false;
        } else {
            return false;
        }
    }
    if (argc - optind != 2 || options->processes < 1) return false;
    options->first = strtoull(argv[optind], NULL, 10);
    options->last = strtoull(argv[optind + 1], NULL, 10);
    return options->first && options->first <= options->last;
}

int main(int argc, char **argv) {
    struct options options;
    amb_log_init(getenv("LOG_LEVEL") ? getenv("LOG_LEVEL") : "error");
    if (!read_options(argc, argv, &options)) {
        fprintf(stderr, "usage: explore [-j PROCESSES] [-s small|grown|fleet|slow] [-t SECONDS] [-c] [-d] "
                        "[-v] FIRST LAST\n");
        return 2;
    }
    struct totals totals = explore_all(&options);
    printf("%llu scenarios, %llu violated a rule, %llu crashed, %llu needed overtime (at most %lld s) until "
           "all work was done; %llu start commands (at most %lld ms late) and %llu starts after a confirmed "
           "cancellation\n",
           (unsigned long long)totals.scenarios, (unsigned long long)totals.failed,
           (unsigned long long)totals.crashed, (unsigned long long)totals.overtime_scenarios,
           (long long)totals.longest_overtime / 1000, (unsigned long long)totals.commands_after_cancel,
           (long long)totals.latest_command, (unsigned long long)totals.starts_after_cancel);
    bool all = options.deadline || totals.scenarios == options.last - options.first + 1;
    return totals.failed || totals.crashed || !all;
}
