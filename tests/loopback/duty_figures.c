/* Reads the events of loopback runs from standard input (files of duty_proof --directory). Prints, for each
 * cause of a duty's loss of its holder, a histogram of the time until the next holder. */
#include <gsl/gsl_histogram.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { WAITS_MOST = 20000, DUTIES = 8, NODES = 16, NAME = 64 };
/* A lease of 400 ms ends within this time of its last renewal: an earlier incident is not the cause. */
enum { SOON_MS = 700 };
enum cause {
    CAUSE_KILL,
    CAUSE_PAUSE,
    CAUSE_CUT,
    CAUSE_REFUSED,
    CAUSE_OUTAGE,
    CAUSE_PLANNED,
    CAUSE_LEASE,
    CAUSES
};
static const char *const cause_names[CAUSES] = {
    "kill", "pause", "cut", "refused", "outage", "planned", "whatever was the cause, since the lease ended"};

static const double ends[] = {0, 50, 100, 200, 300, 400, 500, 600, 800, 1000, 1500, 2000, 3000, 5000, 1e9};
enum { BINS = sizeof ends / sizeof *ends - 1 };

static double waits[CAUSES][WAITS_MOST];
static size_t counts[CAUSES];

struct duty {
    char name[NAME];
    int holder; /* -1: none yet */
    bool released;
    double released_at;
};
static struct duty duties[DUTIES];
static int duty_count;

struct node {
    bool hit;
    enum cause cause;
    double hit_at;
};
static struct node nodes[NODES];

struct loss { /* the latest loss of a lease */
    bool known, hit;
    enum cause cause;
    double hit_at, at;
};
static struct loss member_losses[NODES], leader_loss;

static void forget_all(void) { /* at the start of another run */
    duty_count = 0;
    memset(nodes, 0, sizeof nodes);
    memset(member_losses, 0, sizeof member_losses);
    memset(&leader_loss, 0, sizeof leader_loss);
}

static struct duty *duty_of(const char *name) {
    for (int i = 0; i < duty_count; i++)
        if (!strcmp(duties[i].name, name)) return &duties[i];
    if (duty_count == DUTIES) exit(1);
    struct duty *duty = &duties[duty_count++];
    *duty = (struct duty){.holder = -1};
    snprintf(duty->name, sizeof duty->name, "%s", name);
    return duty;
}

static void add(enum cause cause, double wait_ms) {
    if (counts[cause] < WAITS_MOST) waits[cause][counts[cause]++] = wait_ms;
}

static void take_holder(struct duty *duty, int node, double at) {
    const struct loss *loss =
        !strcmp(duty->name, "leader") ? &leader_loss : &member_losses[duty->holder < 0 ? 0 : duty->holder];
    if (duty->released) {
        add(CAUSE_PLANNED, at - duty->released_at);
    } else if (duty->holder >= 0 && duty->holder != node && loss->known) {
        add(CAUSE_LEASE, at - loss->at);
        if (loss->hit) add(loss->cause, at - loss->hit_at);
    }
    duty->holder = node;
    duty->released = false;
}

static void take_incident(const char *name, int node, double at) {
    for (int cause = 0; cause < CAUSE_PLANNED; cause++) {
        if (strcmp(name, cause_names[cause]) != 0) continue;
        for (int i = 0; i < NODES; i++) /* an outage affects every node */
            if (i == node || cause == CAUSE_OUTAGE) nodes[i] = (struct node){true, (enum cause)cause, at};
    }
}

static void take_lease_end(const char *duty, int node, double at) {
    struct loss *loss = *duty ? &leader_loss : &member_losses[node];
    const struct node *lost = &nodes[node];
    bool soon = lost->hit && (at - lost->hit_at < SOON_MS || lost->cause == CAUSE_OUTAGE);
    *loss = (struct loss){true, soon, lost->cause, lost->hit_at, at};
}

static void read_line(const char *line) {
    char type[NAME], duty[NAME], name[NAME], rest[NAME];
    double at;
    if (sscanf(line, "%lf %63s duty=%63s", &at, type, rest) != 3) return;
    const char *node_at = strstr(line, " node="), *name_at = strstr(line, " name=");
    int node = node_at ? (int)strtol(node_at + 6, NULL, 10) : -1;
    snprintf(duty, sizeof duty, "%s", strncmp(rest, "name=", 5) ? rest : "");
    if (!name_at || sscanf(name_at, " name=%63s", name) != 1 || node < 0 || node >= NODES) return;
    if (!strcmp(type, "holder")) take_holder(duty_of(duty), node, at);
    if (!strcmp(type, "released")) {
        duty_of(duty)->released = true;
        duty_of(duty)->released_at = at;
    }
    if (!strcmp(type, "incident")) take_incident(name, node, at);
    if (!strcmp(type, "recovered") && !strcmp(name, "outage"))
        for (int i = 0; i < NODES; i++) nodes[i].hit = false;
    if (!strcmp(type, "lease-ended")) take_lease_end(duty, node, at);
}

static void print(enum cause cause) {
    size_t count = counts[cause];
    if (!count) return;
    gsl_histogram *histogram = gsl_histogram_alloc(BINS);
    gsl_histogram_set_ranges(histogram, ends, BINS + 1);
    for (size_t i = 0; i < count; i++) gsl_histogram_increment(histogram, waits[cause][i]);
    gsl_sort(waits[cause], 1, count);
    printf("%s: %zu, mean %.0f ms, median %.0f, 95 of 100 within %.0f, longest %.0f\n", cause_names[cause],
           count, gsl_stats_mean(waits[cause], 1, count),
           gsl_stats_quantile_from_sorted_data(waits[cause], 1, count, 0.5),
           gsl_stats_quantile_from_sorted_data(waits[cause], 1, count, 0.95), waits[cause][count - 1]);
    for (size_t i = 0; i < BINS; i++)
        if (gsl_histogram_get(histogram, i) > 0)
            printf("  from %5.0f ms: %5.0f\n", ends[i], gsl_histogram_get(histogram, i));
    gsl_histogram_free(histogram);
}

int main(void) {
    char line[1024];
    double last = 0;
    forget_all();
    while (fgets(line, sizeof line, stdin)) {
        double at = strtod(line, NULL);
        if (at < last) forget_all();
        last = at;
        read_line(line);
    }
    for (int cause = 0; cause < CAUSES; cause++) print((enum cause)cause);
    return 0;
}
