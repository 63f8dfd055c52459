/* Plays days drawn in clusters of troubles over a range of seeds. When a day breaks a rule, faults and loads
 * are taken away as long as it still breaks, and the shortest day is printed as a table row for a test.
 *
 *     explore [-j PROCESSES] [-s small|grown|fleet|slow] [-t SECONDS] [-d] [-v] FIRST LAST
 *
 * With -v it tells of every day; the digest at the end of its line covers all that was sent and answered, so
 * that two versions of the library that behave alike print the same line for the same seed. With -d
 * single-holder duties are on, from the beginning or switched on, and perhaps off again, on the way.
 */
#include "standin.h"

#include "amberpin/base/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum {
    CLUSTERED_MOST = 10,
    FAULTS_MOST = CLUSTERED_MOST + 3, /* with an upgrade, lowered limits and duties */
    CLUSTERS_MOST = 3,
    FIRST_CLUSTER_MS = 20000,
    LAST_CLUSTER_MS = 120000,
    CLUSTER_MS = 6000, /* within which the faults of a cluster begin */
    AFTER_MS = 140000, /* that a day goes on after its last fault */
    LENGTH_MS = 300000,
    UPGRADE_LEAST_MS = 2000, /* from one node's end to the next */
    UPGRADE_MOST_MS = 30000,
    LOADS = 6,
    /* The work may need longer than the day: one-task jobs come faster than tight team limits let them run.
     * Of 2,000 drawn days the longest took 222 s more. */
    OVERTIME_MS = 300000,
};

static const char *const kinds[] = {
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
};
_Static_assert(sizeof kinds / sizeof *kinds == SIM_FAULT_KINDS, "a name for each kind of fault");

static const struct {
    const char *name;
    const struct sim_size *size;
} sizes[] = {{"small", &sim_small}, {"grown", &sim_grown}, {"fleet", &sim_fleet}, {"slow", &sim_slow}};

struct options {
    size_t size;
    int processes;
    bool verbose, duties;
    time_t ends; /* begins no day after that; 0: plays all */
    uint64_t first, last;
};

struct drawn {
    struct sim_scenario plan;
    struct sim_fault faults[FAULTS_MOST];
};

struct totals {
    uint64_t days, broken, crashed, overtime_days, orders_after_cancel, starts_after_cancel;
    amb_ms latest_order, longest_overtime;
};

/* ---- drawing ---- */

static uint64_t next_random(uint64_t *state) {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    return *state * 0x2545f4914f6cdd1du >> 16;
}

static amb_ms pick(uint64_t *state, amb_ms least, amb_ms most) {
    return least + (amb_ms)(next_random(state) % (uint64_t)(most - least + 1));
}

/* Short, about as long as the limits of the deployment, or well beyond them. */
static amb_ms draw_length(uint64_t *state, const struct sim_size *size) {
    switch (next_random(state) % 4) {
    case 0: return pick(state, 300, 4000);
    case 1: return pick(state, 4000, size->agent_lease_ms);
    case 2: return pick(state, size->agent_lease_ms, size->cancel_ms);
    default: return pick(state, size->cancel_ms, size->cancel_ms * 3 / 2);
    }
}

static int draw_which(uint64_t *state, enum sim_fault_kind kind, const struct sim_size *size) {
    switch (kind) {
    case SIM_CANCEL_BURST: return (int)pick(state, 1, 12);
    case SIM_LATE_WRITES:
    case SIM_UNANSWERED_WRITES:
    case SIM_LATE_HEARTBEAT_COPIES:
    case SIM_REPLAYED_HEARTBEATS:
    case SIM_LATE_COMMANDS:
    case SIM_CANCEL_AT_COMPLETION: return (int)pick(state, 10, 60);
    default:
        if (next_random(state) % 2) return -1;
        return (int)pick(state, 0, size->nodes < 3 ? 0 : 2);
    }
}

static void draw_fault(uint64_t *state, const struct sim_size *size, amb_ms cluster,
                       struct sim_fault *fault) {
    fault->kind = (enum sim_fault_kind)(next_random(state) % SIM_LOWER_STORE_LIMITS);
    fault->at = cluster + pick(state, 0, CLUSTER_MS);
    fault->lasts = draw_length(state, size);
    fault->which = draw_which(state, fault->kind, size);
}

/* On every third day: in the midst of the clusters, or before. */
static void draw_upgrade(uint64_t *state, struct drawn *day) {
    if (next_random(state) % 3) return;
    day->faults[day->plan.fault_count++] = (struct sim_fault){
        .kind = SIM_UPGRADE,
        .at = pick(state, FIRST_CLUSTER_MS, LAST_CLUSTER_MS / 2),
        .lasts = pick(state, UPGRADE_LEAST_MS, UPGRADE_MOST_MS),
        .which = (int)pick(state, 1, 2),
    };
}

/* On every third day; not before an upgrade is over. */
static void draw_lowered_limits(uint64_t *state, struct drawn *day) {
    if (next_random(state) % 3) return;
    day->faults[day->plan.fault_count++] =
        (struct sim_fault){.kind = SIM_LOWER_STORE_LIMITS,
                           .at = pick(state, FIRST_CLUSTER_MS, LAST_CLUSTER_MS),
                           .lasts = 1,
                           .which = -1};
}

static void draw_day(struct drawn *day, const struct sim_size *size, uint64_t seed) {
    uint64_t state = seed * 0x9e3779b97f4a7c15u + 0x1234567;
    int clusters = (int)pick(&state, 1, CLUSTERS_MOST);
    memset(day, 0, sizeof *day);
    for (int cluster = 0; cluster < clusters; cluster++) {
        amb_ms at = pick(&state, FIRST_CLUSTER_MS, LAST_CLUSTER_MS);
        int count = (int)pick(&state, 2, 4);
        for (int i = 0; i < count && day->plan.fault_count < CLUSTERED_MOST; i++)
            draw_fault(&state, size, at, &day->faults[day->plan.fault_count++]);
    }
    draw_upgrade(&state, day);
    draw_lowered_limits(&state, day);
    day->plan.size = size;
    day->plan.seed = seed;
    day->plan.length = LENGTH_MS;
    for (size_t i = 0; i < day->plan.fault_count; i++) {
        amb_ms needed = day->faults[i].at + day->faults[i].lasts + AFTER_MS;
        if (day->faults[i].kind == SIM_UPGRADE) needed += day->faults[i].lasts * size->nodes;
        if (needed > day->plan.length) day->plan.length = needed;
    }
    if (next_random(&state) % 2) day->plan.load = 1u << next_random(&state) % LOADS;
    if (next_random(&state) % 4 == 0) day->plan.load |= SIM_LOAD_SMALL_QUOTAS;
    if (day->plan.load & SIM_LOAD_OVERLOAD) day->plan.load &= ~(unsigned)SIM_LOAD_SMALL_QUOTAS;
}

/* On half of the days from the beginning; on half they are switched off again. */
static void draw_duties(struct drawn *day, uint64_t seed) {
    uint64_t state = seed * 0x9e3779b97f4a7c15u + 0x7654321;
    struct sim_fault *fault = &day->faults[day->plan.fault_count++];
    *fault = (struct sim_fault){.kind = SIM_SWITCH_DUTIES, .lasts = SIM_PERMANENT_MS, .which = -1};
    if (next_random(&state) % 2) fault->at = pick(&state, FIRST_CLUSTER_MS / 2, LAST_CLUSTER_MS / 2);
    if (next_random(&state) % 2) fault->lasts = pick(&state, FIRST_CLUSTER_MS, LAST_CLUSTER_MS);
}

/* ---- shrinking ---- */

static struct sim_result play(struct drawn *day) {
    day->plan.faults = day->faults;
    return sim_run_until_done(&day->plan, OVERTIME_MS);
}

static bool try_without_fault(struct drawn *day, size_t index) {
    struct drawn less = *day;
    memmove(&less.faults[index], &less.faults[index + 1],
            (less.plan.fault_count - index - 1) * sizeof *less.faults);
    less.plan.fault_count--;
    if (!play(&less).violation[0]) return false;
    *day = less;
    return true;
}

static bool try_shorter_fault(struct drawn *day, size_t index) {
    struct drawn less = *day;
    less.faults[index].lasts /= 2;
    if (less.faults[index].lasts < 500 || !play(&less).violation[0]) return false;
    *day = less;
    return true;
}

static bool try_without_load(struct drawn *day, unsigned load) {
    struct drawn less = *day;
    less.plan.load &= ~load;
    if (!(day->plan.load & load) || !play(&less).violation[0]) return false;
    *day = less;
    return true;
}

/* Takes faults and loads away, then shortens what is left, as long as a rule still breaks. */
static void shrink(struct drawn *day) {
    bool smaller = true;
    while (smaller) {
        smaller = false;
        for (size_t i = day->plan.fault_count; i-- > 0;) smaller |= try_without_fault(day, i);
        for (unsigned load = 1; load <= SIM_LOAD_ALL_FIELDS; load <<= 1)
            smaller |= try_without_load(day, load);
    }
    for (size_t i = 0; i < day->plan.fault_count; i++)
        while (try_shorter_fault(day, i)) {}
}

/* ---- printing ---- */

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

static void print_row(const struct drawn *day, const char *size, const char *broken) {
    printf("{\"%s\", &sim_%s, %llu, %lld, ", broken, size, (unsigned long long)day->plan.seed,
           (long long)day->plan.length);
    print_load(day->plan.load);
    printf(", {");
    for (size_t i = 0; i < day->plan.fault_count; i++) {
        const struct sim_fault *fault = &day->faults[i];
        printf("%s{%s, %lld, %lld, %d}", i ? ", " : "", kinds[fault->kind], (long long)fault->at,
               (long long)fault->lasts, fault->which);
    }
    printf("}, %zu},\n", day->plan.fault_count);
    fflush(stdout);
}

/* ---- the range ---- */

static void explore_day(const struct options *options, uint64_t seed, struct totals *totals) {
    struct drawn day;
    draw_day(&day, sizes[options->size].size, seed);
    if (options->duties) draw_duties(&day, seed);
    struct sim_result result = play(&day);
    totals->days++;
    totals->overtime_days += result.overtime_ms > 0;
    if (result.overtime_ms > totals->longest_overtime) totals->longest_overtime = result.overtime_ms;
    totals->orders_after_cancel += result.commands_after_cancel;
    totals->starts_after_cancel += result.starts_after_cancel;
    if (result.latest_command_after_cancel_ms > totals->latest_order)
        totals->latest_order = result.latest_command_after_cancel_ms;
    if (options->verbose || result.overtime_ms || result.commands_after_cancel) {
        printf("seed %llu: %u accepted, %u done, %u left open, %lld s of overtime, %u orders after a "
               "cancellation, at most %lld ms, digest %016llx\n",
               (unsigned long long)seed, result.accepted, result.done, result.open_jobs,
               (long long)result.overtime_ms / 1000, result.commands_after_cancel,
               (long long)result.latest_command_after_cancel_ms, (unsigned long long)result.digest);
        fflush(stdout);
    }
    if (!result.violation[0]) return;
    totals->broken++;
    printf("seed %llu BROKEN %s, digest %016llx\n", (unsigned long long)seed, result.violation,
           (unsigned long long)result.digest);
    shrink(&day);
    result = play(&day);
    print_row(&day, sizes[options->size].name, result.violation);
}

static void add(struct totals *sum, const struct totals *part) {
    sum->days += part->days;
    sum->broken += part->broken;
    sum->crashed += part->crashed;
    sum->overtime_days += part->overtime_days;
    if (part->longest_overtime > sum->longest_overtime) sum->longest_overtime = part->longest_overtime;
    sum->orders_after_cancel += part->orders_after_cancel;
    sum->starts_after_cancel += part->starts_after_cancel;
    if (part->latest_order > sum->latest_order) sum->latest_order = part->latest_order;
}

/* Each day in a process of its own, so that one that crashes names its seed, and none leaves memory behind.
 */
static void explore_apart(const struct options *options, uint64_t seed, int totals_end) {
    struct totals totals = {0};
    int status;
    fflush(stdout);
    pid_t child = fork();
    if (child < 0) abort();
    if (!child) {
        explore_day(options, seed, &totals);
        _exit(write(totals_end, &totals, sizeof totals) == (ssize_t)sizeof totals ? 0 : 1);
    }
    if (waitpid(child, &status, 0) == child && WIFEXITED(status) && !WEXITSTATUS(status)) return;
    printf("seed %llu CRASHED, status %d\n", (unsigned long long)seed, status);
    totals = (struct totals){.days = 1, .crashed = 1};
    if (write(totals_end, &totals, sizeof totals) != (ssize_t)sizeof totals) abort();
}

static void explore_share(const struct options *options, int share, int totals_end) {
    uint64_t step = (uint64_t)options->processes;
    for (uint64_t seed = options->first + (uint64_t)share; seed <= options->last; seed += step)
        if (!options->ends || time(NULL) < options->ends) explore_apart(options, seed, totals_end);
    fflush(stdout);
}

/* One process for each share; the days' totals come through a pipe. */
static struct totals explore_all(const struct options *options) {
    struct totals sum = {0}, part;
    int ends[2];
    if (pipe(ends) < 0) abort();
    for (int share = 0; share < options->processes; share++) {
        pid_t child = fork();
        if (child < 0) abort();
        if (child) continue;
        close(ends[0]);
        explore_share(options, share, ends[1]);
        _exit(0);
    }
    close(ends[1]);
    while (read(ends[0], &part, sizeof part) == (ssize_t)sizeof part) add(&sum, &part);
    while (wait(NULL) > 0) {}
    return sum;
}

static bool read_options(int argc, char **argv, struct options *options) {
    int option;
    *options = (struct options){.processes = 1};
    while ((option = getopt(argc, argv, "j:s:t:dv")) != -1) {
        if (option == 'j') {
            options->processes = (int)strtol(optarg, NULL, 10);
        } else if (option == 't') {
            options->ends = time(NULL) + strtol(optarg, NULL, 10);
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
        fprintf(
            stderr,
            "usage: explore [-j PROCESSES] [-s small|grown|fleet|slow] [-t SECONDS] [-d] [-v] FIRST LAST\n");
        return 2;
    }
    struct totals totals = explore_all(&options);
    printf("%llu days, %llu broke a rule, %llu crashed, %llu took longer (at most %lld s) until all work was "
           "done; %llu orders (at most %lld ms) and %llu starts after a confirmed cancellation\n",
           (unsigned long long)totals.days, (unsigned long long)totals.broken,
           (unsigned long long)totals.crashed, (unsigned long long)totals.overtime_days,
           (long long)totals.longest_overtime / 1000, (unsigned long long)totals.orders_after_cancel,
           (long long)totals.latest_order, (unsigned long long)totals.starts_after_cancel);
    bool all = options.ends || totals.days == options.last - options.first + 1;
    return totals.broken || totals.crashed || !all;
}
