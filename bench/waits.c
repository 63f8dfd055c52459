/* Reads debug logs of controllers from standard input and prints a histogram of the worst minute of each kind
 * of wait: agent heartbeats from arrival to answer, submissions from arrival to acceptance, and renewals of
 * the leadership lease from due to sent. A line begins with a time in seconds and the controller's name,
 * which a log collector adds. The worst minute is the one with the largest mean among those with at least
 * ENOUGH waits. */
#include <gsl/gsl_histogram.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum wait_kind { HEARTBEAT_AT_ONCE, HEARTBEAT_LONG_POLL, SUBMISSION, RENEWAL, KINDS };
static const char *const kind_names[KINDS] = {
    "heartbeat to answer, sent at once",
    "heartbeat to answer, held until there is a command (long poll)",
    "submission to acceptance",
    "lease renewal due to sent",
};

enum { MINUTES = 24 * 60, SECONDS_PER_MINUTE = 60, ENOUGH = 10 };

/* Limits of the bins in milliseconds: a bin holds the waits from one limit to below the next. */
static const double bin_limits[] = {0, 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 1e9};
enum { BINS = sizeof bin_limits / sizeof *bin_limits - 1 };

struct minute {
    gsl_histogram *waits;
    double sum, longest, count;
};
static struct minute minutes[KINDS][MINUTES];

static void add(enum wait_kind kind, double second, double wait_ms) {
    size_t index = (size_t)(second / SECONDS_PER_MINUTE);
    if (second < 0 || index >= MINUTES) return;
    struct minute *minute = &minutes[kind][index];
    if (!minute->waits) {
        minute->waits = gsl_histogram_alloc(BINS);
        gsl_histogram_set_ranges(minute->waits, bin_limits, BINS + 1);
    }
    gsl_histogram_increment(minute->waits, wait_ms);
    minute->sum += wait_ms;
    minute->count++;
    if (wait_ms > minute->longest) minute->longest = wait_ms;
}

/* Reads the number between two texts; returns false if the line lacks them. */
static bool number_between(const char *line, const char *before, const char *after, double *out) {
    const char *at = strstr(line, before);
    if (!at) return false;
    char *end;
    *out = strtod(at + strlen(before), &end);
    return end != at + strlen(before) && !strncmp(end, after, strlen(after));
}

static void read_line(const char *line) {
    char *end;
    double wait_ms, second = strtod(line, &end);
    if (end == line) return;
    if (number_between(line, "request POST /hello: 200 after ", " ms", &wait_ms))
        add(strstr(line, ", kept") ? HEARTBEAT_LONG_POLL : HEARTBEAT_AT_ONCE, second, wait_ms);
    else if (number_between(line, "request POST /v1/jobs: 201 after ", " ms", &wait_ms))
        add(SUBMISSION, second, wait_ms);
    else if (number_between(line, "lease renewal sent ", " ms", &wait_ms))
        add(RENEWAL, second, wait_ms);
}

static const struct minute *worst_of(enum wait_kind kind) {
    const struct minute *worst = NULL;
    for (int i = 0; i < MINUTES; i++) {
        const struct minute *minute = &minutes[kind][i];
        if (minute->count < ENOUGH) continue;
        if (!worst || minute->sum / minute->count > worst->sum / worst->count) worst = minute;
    }
    return worst;
}

static void print_kind(enum wait_kind kind) {
    const struct minute *worst = worst_of(kind);
    double all = 0, below = 0;
    for (int i = 0; i < MINUTES; i++) all += minutes[kind][i].count;
    printf("%s: %.0f in all", kind_names[kind], all);
    if (!worst) {
        printf("\n");
        return;
    }
    printf("; worst minute %td: %.0f, mean %.1f ms, longest %.0f ms\n", worst - minutes[kind], worst->count,
           worst->sum / worst->count, worst->longest);
    for (size_t bin = 0; bin < BINS; bin++) {
        double count = gsl_histogram_get(worst->waits, bin);
        below += count;
        if (count > 0)
            printf("  below %5.0f ms  %6.0f  %5.1f%%\n", bin_limits[bin + 1], count,
                   100 * below / worst->count);
    }
}

int main(void) {
    char line[4096];
    while (fgets(line, sizeof line, stdin)) read_line(line);
    for (int kind = 0; kind < KINDS; kind++) print_kind((enum wait_kind)kind);
    return 0;
}
