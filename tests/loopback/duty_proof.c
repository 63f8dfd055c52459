/* Runs the loopback proof once for each seed, in a process of its own, up to --parallel at a time. */
#include "proof.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

enum { PARALLEL_MOST = 64, DIRECTORY_SIZE = 256, KEY_CALM = 256, KEY_IDLE, KEY_ONLY, KEY_OTHER };

struct arguments {
    int parallel;
    uint64_t first, last;
    int given;
    struct proof_plan plan;
    const char *directory;
};

struct job { /* a run in progress */
    pid_t pid;
    uint64_t seed;
    int pipe;
};

struct total {
    uint32_t runs, incomplete, broken;
    struct proof_verdict verdict;
};

static const struct argp_option options[] = {
    {"parallel", 'j', "N", 0, "runs at a time (1)", 0},
    {"controllers", 'c', "N", 0, "controllers of a run (5)", 0},
    {"handovers", 'n', "N", 0, "handovers that a run waits for (10)", 0},
    {"duties", 'd', 0, 0, "duties switched on", 0},
    {"program", 'p', "FILE", 0, "the controller (amberpin_skewed beside this program)", 0},
    {"other", KEY_OTHER, "FILE", 0,
     "another version, for the controllers with odd numbers; of a plain amberpin the clock has no drift", 0},
    {"directory", 'o', "DIR", 0, "keep settings, logs and events of each run there", 0},
    {"log-level", 'l', "LEVEL", 0, "of the controllers (info)", 0},
    {"calm", KEY_CALM, "SECONDS", 0, "do nothing to the controllers for that long, instead of handovers", 0},
    {"idle", KEY_IDLE, 0, 0, "without any work", 0},
    {"only", KEY_ONLY, "INCIDENT", 0,
     "pause, kill, cut, refused, outage, planned, lost, late or doubled alone", 0},
    {0},
};

static error_t parse(int key, char *arg,
                     struct argp_state *state) { /* NOLINT(readability-non-const-parameter) */
    struct arguments *arguments = state->input;
    switch (key) {
    case 'j': arguments->parallel = (int)strtol(arg, NULL, 10); return 0;
    case 'c': arguments->plan.controllers = (int)strtol(arg, NULL, 10); return 0;
    case 'n': arguments->plan.handovers = (uint32_t)strtoul(arg, NULL, 10); return 0;
    case 'd': arguments->plan.duties = true; return 0;
    case 'p': arguments->plan.program = arg; return 0;
    case 'o': arguments->directory = arg; return 0;
    case 'l': arguments->plan.log_level = arg; return 0;
    case KEY_CALM:
        arguments->plan.calm = true;
        arguments->plan.calm_for = amb_seconds_to_ms(strtod(arg, NULL));
        return 0;
    case KEY_IDLE: arguments->plan.idle = true; return 0;
    case KEY_ONLY:
        if (!proof_incident_known(arg)) argp_error(state, "there is no incident %s", arg);
        arguments->plan.only = arg;
        return 0;
    case KEY_OTHER: arguments->plan.other = arg; return 0;
    case ARGP_KEY_ARG:
        if (arguments->given >= 2) argp_usage(state);
        *(arguments->given++ ? &arguments->last : &arguments->first) = strtoull(arg, NULL, 10);
        return 0;
    case ARGP_KEY_END:
        if (arguments->given < 2) argp_usage(state);
        if (arguments->parallel < 1 || arguments->parallel > PARALLEL_MOST) argp_error(state, "-j: 1 to 64");
        if (arguments->plan.controllers < 1 || arguments->plan.controllers > SIM_NODES)
            argp_error(state, "-c: 1 to %d", SIM_NODES);
        if (arguments->plan.other && arguments->plan.controllers < 2)
            argp_error(state, "-c: 2 or more with --other");
        return 0;
    default: return ARGP_ERR_UNKNOWN;
    }
}

/* ---- one run, in a child ---- */

static void make_directory(const struct arguments *arguments, uint64_t seed, char out[DIRECTORY_SIZE]) {
    if (arguments->directory) {
        mkdir(arguments->directory, 0755);
        snprintf(out, DIRECTORY_SIZE, "%s/%llu", arguments->directory, (unsigned long long)seed);
        if (mkdir(out, 0755) == 0) return;
    } else {
        const char *base = getenv("TMPDIR");
        snprintf(out, DIRECTORY_SIZE, "%s/duty_proof.XXXXXX", base ? base : "/tmp");
        if (mkdtemp(out)) return;
    }
    fprintf(stderr, "duty_proof: %s can't be made\n", out);
    exit(2);
}

static void keep_events(const char *directory) {
    char path[DIRECTORY_SIZE + 16];
    snprintf(path, sizeof path, "%s/events", directory);
    FILE *out = fopen(path, "w");
    if (!out) return;
    proof_log_write(&run.log, out);
    fclose(out);
}

static void remove_files(const char *directory, int controllers) {
    static const char *const suffixes[] = {"toml", "xml", "log"};
    char path[DIRECTORY_SIZE + 32];
    for (int i = 0; i < controllers; i++) {
        for (size_t k = 0; k < sizeof suffixes / sizeof *suffixes; k++) {
            snprintf(path, sizeof path, "%s/n%d.%s", directory, i, suffixes[k]);
            unlink(path);
        }
    }
    rmdir(directory);
}

static void run_seed(const struct arguments *arguments, uint64_t seed, int out) {
    char directory[DIRECTORY_SIZE];
    struct proof_plan plan = arguments->plan;
    plan.seed = seed;
    plan.tokens = seed % 2; /* 0: the protocol's cloud; 1: a cloud that refuses stale orders */
    plan.directory = directory;
    make_directory(arguments, seed, directory);
    struct proof_outcome outcome = proof_play(&plan);
    for (uint32_t i = 0; i < outcome.verdict.violations && i < 16; i++) {
        const struct proof_violation *violation = &outcome.verdict.first[i];
        const struct proof_event *event = &run.log.events[violation->event];
        fprintf(stderr, "seed %llu: %lld ms: %s: %s %s %s\n", (unsigned long long)seed, (long long)event->at,
                proof_violation_text(violation->type), proof_event_text(event->type), event->name,
                event->machine);
    }
    if (arguments->directory)
        keep_events(directory);
    else
        remove_files(directory, plan.controllers);
    if (write(out, &outcome, sizeof outcome) != sizeof outcome) _exit(2);
    _exit(0);
}

/* ---- all runs ---- */

static struct job start_job(const struct arguments *arguments, uint64_t seed) {
    int ends[2];
    if (pipe(ends) < 0) abort();
    fflush(stdout);
    struct job job = {.seed = seed, .pipe = ends[0], .pid = fork()};
    if (job.pid < 0) abort();
    if (job.pid == 0) {
        close(ends[0]);
        run_seed(arguments, seed, ends[1]);
    }
    close(ends[1]);
    return job;
}

static void print_verdict(const char *what, const struct proof_verdict *verdict) {
    printf("%s: %u handovers, %u incidents, %u machines rented, %u orders repeated, %u returned, %u starts, "
           "%u stale orders refused, %u late ones harmless, %u violations",
           what, verdict->handovers, verdict->incidents, verdict->rents, verdict->repeats, verdict->returns,
           verdict->starts, verdict->stale_refused, verdict->late, verdict->violations);
}

static void add_up(struct total *total, const struct proof_outcome *outcome) {
    struct proof_verdict *sum = &total->verdict;
    const struct proof_verdict *one = &outcome->verdict;
    total->runs++;
    total->incomplete += !outcome->complete;
    total->broken += outcome->broken[0] != 0;
    sum->handovers += one->handovers;
    sum->incidents += one->incidents;
    sum->rents += one->rents;
    sum->repeats += one->repeats;
    sum->returns += one->returns;
    sum->starts += one->starts;
    sum->stale_refused += one->stale_refused;
    sum->late += one->late;
    sum->violations += one->violations;
}

/* Prints the usage per controller and second. */
static void print_usage(const struct proof_outcome *outcome, int controllers) {
    double share = (double)outcome->took / 1000 * controllers;
    printf("usage: %d controllers, each second: %.2f state calls, %.2f cloud calls, %.2f ms of processor; "
           "memory %ld KB; in %.1f s and all: %u and %u calls, %u about who holds a duty\n",
           controllers, outcome->usage.state_calls / share, outcome->usage.cloud_calls / share,
           outcome->usage.processor_ms / share, outcome->usage.memory_kb, (double)outcome->took / 1000,
           outcome->usage.state_calls, outcome->usage.cloud_calls, outcome->usage.handover_calls);
}

static void end_job(const struct job *job, int controllers, struct total *total) {
    struct proof_outcome outcome = {0};
    char what[64];
    if (read(job->pipe, &outcome, sizeof outcome) != sizeof outcome) {
        memset(&outcome, 0, sizeof outcome);
        strcpy(outcome.broken, "the run itself ended early");
    }
    close(job->pipe);
    add_up(total, &outcome);
    snprintf(what, sizeof what, "seed %llu", (unsigned long long)job->seed);
    print_verdict(what, &outcome.verdict);
    printf(", %.1f s%s%s%s\n", (double)outcome.took / 1000, outcome.complete ? "" : ", INCOMPLETE",
           outcome.broken[0] ? ", BROKEN " : "", outcome.broken);
    print_usage(&outcome, controllers);
}

static void run_all(const struct arguments *arguments, struct total *total) {
    struct job jobs[PARALLEL_MOST];
    int count = 0;
    uint64_t seed = arguments->first;
    while (seed <= arguments->last || count) {
        while (count < arguments->parallel && seed <= arguments->last)
            jobs[count++] = start_job(arguments, seed++);
        pid_t pid = wait(NULL);
        for (int i = 0; i < count; i++) {
            if (jobs[i].pid != pid) continue;
            end_job(&jobs[i], arguments->plan.controllers, total);
            jobs[i] = jobs[--count];
            break;
        }
    }
}

int main(int argc, char **argv) {
    static const struct argp argp = {
        options, parse, "FIRST LAST", "Plays the loopback proof of single-holder duties for each seed.", 0,
        0,       0};
    static char beside[DIRECTORY_SIZE];
    struct arguments arguments = {.parallel = 1,
                                  .plan = {.controllers = 5, .handovers = 10, .log_level = "info"}};
    struct total total = {0};
    argp_parse(&argp, argc, argv, 0, NULL, &arguments);
    const char *slash = strrchr(argv[0], '/');
    snprintf(beside, sizeof beside, "%.*samberpin_skewed", slash ? (int)(slash + 1 - argv[0]) : 0, argv[0]);
    if (!arguments.plan.program) arguments.plan.program = beside;
    run_all(&arguments, &total);
    print_verdict("all", &total.verdict);
    printf(", %u runs, %u incomplete, %u broke a rule\n", total.runs, total.incomplete, total.broken);
    return total.verdict.violations || total.incomplete || total.broken;
}
