/* Measures single parts of the scheduler, and compares them with another build of this program.
 *
 * A figure is the processor time of one run of a case. Each case is sampled repeatedly; the median and the
 * middle half (the quartiles) of the samples are printed. With --against, both programs run alternately, case
 * by case, so that a change of the machine's speed affects both; each pair gives a ratio, and the median and
 * the middle half of the ratios are printed. */
#include "cases.h"
#include "measure.h"

#include "amberpin/base/log.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { CASE_NAME = 96, SAMPLES_MAX = 1000, DEFAULT_SAMPLES = 15, DEFAULT_PAIRS = 9 };
static const double SAMPLE_NS = 4e6;        /* approximate length of a sample of a repeatable case */
static const double FRESH_SAMPLES_NS = 2e7; /* total run time in a sample of a case with fresh input */
enum { FRESH_SAMPLES_MAX = 60 };

struct arguments {
    const char *program, *filter, *against;
    int samples;
    bool once, raw, list;
};

/* ---- cases ---- */

typedef struct bench_cases (*case_source)(void);
static const case_source sources[] = {bench_codec_cases,
                                      bench_http_cases,
                                      bench_report_cases,
                                      bench_submit_cases,
                                      bench_scheduling_cycle_cases,
                                      bench_heartbeat_cases,
                                      bench_watch_cases,
                                      bench_load_cases,
                                      bench_tick_cases,
                                      bench_pipeline_cases,
                                      bench_start_read_cases};
enum { SOURCES = sizeof sources / sizeof *sources };

static void case_name(char out[CASE_NAME], const struct bench_case *bench) {
    snprintf(out, CASE_NAME, "%s%s%s", bench->name, bench->size ? "/" : "",
             bench->size ? bench->size->name : "");
}

/* ---- measuring ---- */

static double time_runs(const struct bench_case *bench, void *input, long runs) {
    double start = bench_cpu_ns();
    for (long i = 0; i < runs; i++) bench->run(input);
    return (bench_cpu_ns() - start) / (double)runs;
}

static double time_fresh_run(const struct bench_case *bench) {
    void *input = bench->prepare(bench->size);
    double ns = time_runs(bench, input, 1);
    bench->finish(input);
    return ns;
}

/* A sample is the median of several runs, each on fresh input. */
static double sample_fresh(const struct bench_case *bench, bool once) {
    double runs[FRESH_SAMPLES_MAX];
    size_t count = 0;
    double total = 0;
    while (count < FRESH_SAMPLES_MAX && total < FRESH_SAMPLES_NS) {
        total += runs[count++] = time_fresh_run(bench);
        if (once) break;
    }
    return bench_quantile(runs, count, 0.5);
}

static long runs_for_sample(const struct bench_case *bench, void *input) {
    time_runs(bench, input, 1); /* warms up caches and the allocator */
    double ns = time_runs(bench, input, 3);
    long runs = ns > 0 ? (long)(SAMPLE_NS / ns) : 1000;
    return runs > 0 ? runs : 1;
}

static size_t measure(const struct bench_case *bench, const struct arguments *args, double *samples) {
    size_t count = args->once ? 1 : (size_t)args->samples;
    if (bench->fresh) {
        for (size_t i = 0; i < count; i++) samples[i] = sample_fresh(bench, args->once);
        return count;
    }
    void *input = bench->prepare(bench->size);
    long runs = args->once ? 1 : runs_for_sample(bench, input);
    for (size_t i = 0; i < count; i++) samples[i] = time_runs(bench, input, runs);
    bench->finish(input);
    return count;
}

/* ---- comparing ---- */

/* Returns the median in ns that a build of this program prints for one case; negative if it has no such case.
 */
static double run_program(const char *program, const char *name) {
    char command[4096], line[256];
    double ns = -1;
    snprintf(command, sizeof command, "'%s' --raw --samples 3 --case '%s'", program, name);
    FILE *out = popen(command, "r");
    if (!out) return -1;
    while (fgets(line, sizeof line, out)) {
        char *space = strrchr(line, ' '), *end;
        if (!space || strncmp(line, name, (size_t)(space - line)) || name[space - line]) continue;
        double value = strtod(space + 1, &end);
        if (end != space + 1) ns = value;
    }
    return pclose(out) ? -1 : ns;
}

static void compare(const char *name, const struct arguments *args) {
    double own[SAMPLES_MAX], other[SAMPLES_MAX], ratio[SAMPLES_MAX];
    for (int i = 0; i < args->samples; i++) {
        /* The order alternates, so that neither program always finds the machine warmed up. */
        if (i % 2) own[i] = run_program(args->program, name);
        other[i] = run_program(args->against, name);
        if (i % 2 == 0) own[i] = run_program(args->program, name);
        if (other[i] <= 0 || own[i] <= 0) {
            printf("%-40s not in both programs\n", name);
            return;
        }
        ratio[i] = own[i] / other[i];
    }
    size_t count = (size_t)args->samples;
    double low = bench_quantile(ratio, count, 0.25), middle = bench_quantile(ratio, count, 0.5),
           high = bench_quantile(ratio, count, 0.75);
    printf("%-40s %12.0f %12.0f %8.3f  (%.3f to %.3f)\n", name, bench_quantile(other, count, 0.5),
           bench_quantile(own, count, 0.5), middle, low, high);
    fflush(stdout);
}

/* ---- the program ---- */

static void report(const struct bench_case *bench, const char *name, const struct arguments *args) {
    double samples[SAMPLES_MAX];
    size_t count = measure(bench, args, samples);
    double middle = bench_quantile(samples, count, 0.5);
    if (args->raw)
        printf("%s %.1f\n", name, middle);
    else
        printf("%-40s %12.0f  (%.0f to %.0f)\n", name, middle, bench_quantile(samples, count, 0.25),
               bench_quantile(samples, count, 0.75));
    fflush(stdout);
}

static bool is_selected(const char *name, const struct arguments *args) {
    if (!args->filter) return true;
    return args->raw ? !strcmp(name, args->filter) : strstr(name, args->filter) != NULL;
}

static void run_case(const struct bench_case *bench, const struct arguments *args) {
    char name[CASE_NAME];
    case_name(name, bench);
    if (!is_selected(name, args)) return;
    if (args->list)
        puts(name);
    else if (args->against)
        compare(name, args);
    else
        report(bench, name, args);
}

static void print_head(const struct arguments *args) {
    if (args->list || args->raw) return;
    if (args->against)
        printf("%-40s %12s %12s %8s  %s\n", "case", "other, ns", "this, ns", "ratio", "middle half");
    else
        printf("%-40s %12s  %s\n", "case", "ns", "middle half");
}

enum { KEY_ONCE = 256, KEY_RAW };

static const struct argp_option options[] = {
    {"case", 'c', "TEXT", 0, "only cases whose name contains TEXT", 0},
    {"against", 'a', "PROGRAM", 0, "compare with another build; ratio: this program's time by PROGRAM's", 0},
    {"samples", 'n', "COUNT", 0, "samples of each case, or pairs with --against", 0},
    {"list", 'l', 0, 0, "print the names of the cases and exit", 0},
    {"once", KEY_ONCE, 0, 0, "run each case once, to check that it works", 0},
    {"raw", KEY_RAW, 0, 0, "print only name and median, of the case whose name is exactly TEXT", 0},
    {0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state) {
    struct arguments *args = state->input;
    switch (key) {
    case 'c': args->filter = arg; return 0;
    case 'a': args->against = arg; return 0;
    case 'l': args->list = true; return 0;
    case 'n':
        args->samples = (int)strtol(arg, NULL, 10);
        if (args->samples < 1 || args->samples > SAMPLES_MAX) argp_error(state, "--samples: 1 to 1000");
        return 0;
    case KEY_ONCE: args->once = true; return 0;
    case KEY_RAW: args->raw = true; return 0;
    default: return ARGP_ERR_UNKNOWN;
    }
}

int main(int argc, char **argv) {
    static const struct argp argp = {
        options, parse_option, 0, "Measures parts of amberpin, alone or against another build.", 0, 0, 0};
    struct arguments args = {.program = argv[0]};
    argp_parse(&argp, argc, argv, 0, 0, &args);
    if (!args.samples) args.samples = args.against ? DEFAULT_PAIRS : DEFAULT_SAMPLES;
    amb_log_init("error");
    print_head(&args);
    for (size_t source = 0; source < SOURCES; source++) {
        struct bench_cases cases = sources[source]();
        for (size_t i = 0; i < cases.count; i++) run_case(&cases.list[i], &args);
    }
    return 0;
}
