/* Compares scenarios in which a zone is lost or flaps with and without zone recovery, on the same seeds: time
 * until each class serves again, lowest share of serving replicas over 30 s, evicted tasks, starts and
 * machine time. Takes long and is not part of CI:
 *
 *   zone_days FIRST LAST */
#include "quantile.h"
#include "standin.h"

#include <stdio.h>
#include <stdlib.h>

enum { LENGTH_MS = 200000, OVERTIME_MS = 300000, LOSS_MS = 50000, ZONE = 1, FAULTS = 4, VARIANTS = 2 };

static const struct scenario {
    const char *name;
    struct sim_fault faults[FAULTS];
    size_t count;
} scenarios[] = {
    {"one cut of 38 s", {{SIM_CUT_ZONE, LOSS_MS, 38000, ZONE}}, 1},
    {"permanent loss", {{SIM_LOSE_ZONE, LOSS_MS, 1, ZONE}}, 1},
    {"three cuts of 26 s, pauses of 4 s",
     {{SIM_CUT_ZONE, LOSS_MS, 26000, ZONE},
      {SIM_CUT_ZONE, LOSS_MS + 30000, 26000, ZONE},
      {SIM_CUT_ZONE, LOSS_MS + 60000, 26000, ZONE}},
     3},
    {"three cuts of 12 s, pauses of 12 s",
     {{SIM_CUT_ZONE, LOSS_MS, 12000, ZONE},
      {SIM_CUT_ZONE, LOSS_MS + 24000, 12000, ZONE},
      {SIM_CUT_ZONE, LOSS_MS + 48000, 12000, ZONE}},
     3},
};
enum { SCENARIOS = sizeof scenarios / sizeof *scenarios };

enum metric { ASSISTANT_S, DRAFTS_S, WORST_WINDOW, EVICTED, EVICTED_BATCH, STARTS, MACHINE_S, METRICS };

static const struct {
    const char *name;
    double max;
    size_t bins;
} metrics[METRICS] = {
    {"assistant serves again, s", 300, 300},
    {"drafts serve again, s", 300, 300},
    {"serving share in the worst 30 s", 1.0001, 1000},
    {"tasks evicted by lease expiry", 1000, 1000},
    {"batch tasks among them", 1000, 1000},
    {"starts", 10000, 2000},
    {"machine seconds", 20000, 2000},
};

static double value_of(enum metric metric, const struct sim_result *result) {
    switch (metric) {
    case ASSISTANT_S: return (double)result->recovery_ms[SIM_ASSISTANT] / 1000;
    case DRAFTS_S: return (double)result->recovery_ms[SIM_DRAFTS] / 1000;
    case WORST_WINDOW: return result->worst_served_share;
    case EVICTED: return result->evicted_tasks;
    case EVICTED_BATCH: return result->evicted_batch_tasks;
    case STARTS: return result->starts;
    case MACHINE_S: return result->machine_seconds;
    case METRICS: break;
    }
    return 0;
}

static void run_scenario(const struct scenario *scenario, uint64_t seed, bool recovery,
                         gsl_histogram **variant) {
    unsigned load = SIM_LOAD_ZONAL | (recovery ? SIM_LOAD_ZONE_RECOVERY : 0);
    const struct sim_scenario plan = {&sim_zonal, seed, LENGTH_MS, load, scenario->faults, scenario->count};
    struct sim_result result = sim_run_until_done(&plan, OVERTIME_MS);
    if (result.violation[0])
        printf("%s, seed %llu, %s: %s\n", scenario->name, (unsigned long long)seed,
               recovery ? "with" : "without", result.violation);
    for (int metric = 0; metric < METRICS; metric++)
        gsl_histogram_increment(variant[metric], value_of((enum metric)metric, &result));
}

static void print(const struct scenario *scenario, gsl_histogram *variants[VARIANTS][METRICS]) {
    printf("%s: mean, median, p90, without -> with\n", scenario->name);
    for (int metric = 0; metric < METRICS; metric++) {
        const gsl_histogram *without = variants[0][metric], *with = variants[1][metric];
        printf("  %-32s %8.2f %8.2f %8.2f -> %8.2f %8.2f %8.2f\n", metrics[metric].name,
               gsl_histogram_mean(without), quantile(without, 0.5).low, quantile(without, 0.9).low,
               gsl_histogram_mean(with), quantile(with, 0.5).low, quantile(with, 0.9).low);
    }
}

int main(int argc, char **argv) {
    if (argc != 3) return 2;
    uint64_t first = strtoull(argv[1], NULL, 10), last = strtoull(argv[2], NULL, 10);
    for (int i = 0; i < SCENARIOS; i++) {
        gsl_histogram *variants[VARIANTS][METRICS];
        for (int variant = 0; variant < VARIANTS; variant++)
            for (int metric = 0; metric < METRICS; metric++) {
                variants[variant][metric] = gsl_histogram_alloc(metrics[metric].bins);
                gsl_histogram_set_ranges_uniform(variants[variant][metric], 0, metrics[metric].max);
            }
        for (uint64_t seed = first; seed <= last; seed++)
            for (int variant = 0; variant < VARIANTS; variant++)
                run_scenario(&scenarios[i], seed, variant, variants[variant]);
        print(&scenarios[i], variants);
        for (int variant = 0; variant < VARIANTS; variant++)
            for (int metric = 0; metric < METRICS; metric++) gsl_histogram_free(variants[variant][metric]);
    }
    return 0;
}
