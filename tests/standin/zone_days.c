/* Days on which a zone is lost or flaps, with zone recovery and without, on the same seeds: the time until
 * each class serves again, replica time in the worst 30 s, work that was killed, starts and machine time.
 * Long, outside of CI:
 *
 *   zone_days FIRST LAST */
#include "quantile.h"
#include "standin.h"

#include <stdio.h>
#include <stdlib.h>

enum { DAY_MS = 200000, OVERTIME_MS = 300000, LOSS_MS = 50000, ZONE = 1, FAULTS = 4, SIDES = 2 };

static const struct scenario {
    const char *name;
    struct sim_fault faults[FAULTS];
    size_t count;
} scenarios[] = {
    {"one cut of 38 s", {{SIM_CUT_ZONE, LOSS_MS, 38000, ZONE}}, 1},
    {"lost for good", {{SIM_LOSE_ZONE, LOSS_MS, 1, ZONE}}, 1},
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

enum figure { ASSISTANT_S, DRAFTS_S, WORST_WINDOW, KILLED, KILLED_BATCH, STARTS, MACHINE_S, FIGURES };

static const struct {
    const char *name;
    double most;
    size_t bins;
} figures[FIGURES] = {
    {"assistant serves again, s", 300, 300},
    {"drafts serve again, s", 300, 300},
    {"replica time in the worst 30 s", 1.0001, 1000},
    {"tasks killed by their lease", 1000, 1000},
    {"of these batch", 1000, 1000},
    {"starts", 10000, 2000},
    {"machine seconds", 20000, 2000},
};

static double value_of(enum figure figure, const struct sim_result *result) {
    switch (figure) {
    case ASSISTANT_S: return (double)result->recovery_ms[SIM_ASSISTANT] / 1000;
    case DRAFTS_S: return (double)result->recovery_ms[SIM_DRAFTS] / 1000;
    case WORST_WINDOW: return result->worst_served_share;
    case KILLED: return result->evicted_tasks;
    case KILLED_BATCH: return result->evicted_batch_tasks;
    case STARTS: return result->starts;
    case MACHINE_S: return result->machine_seconds;
    case FIGURES: break;
    }
    return 0;
}

static void play(const struct scenario *scenario, uint64_t seed, bool recovery, gsl_histogram **side) {
    unsigned load = SIM_LOAD_ZONAL | (recovery ? SIM_LOAD_ZONE_RECOVERY : 0);
    const struct sim_scenario plan = {&sim_zonal, seed, DAY_MS, load, scenario->faults, scenario->count};
    struct sim_result result = sim_run_until_done(&plan, OVERTIME_MS);
    if (result.violation[0])
        printf("%s, seed %llu, %s: %s\n", scenario->name, (unsigned long long)seed,
               recovery ? "with" : "without", result.violation);
    for (int figure = 0; figure < FIGURES; figure++)
        gsl_histogram_increment(side[figure], value_of((enum figure)figure, &result));
}

static void print(const struct scenario *scenario, gsl_histogram *sides[SIDES][FIGURES]) {
    printf("%s: mean, median, p90, without -> with\n", scenario->name);
    for (int figure = 0; figure < FIGURES; figure++) {
        const gsl_histogram *without = sides[0][figure], *with = sides[1][figure];
        printf("  %-32s %8.2f %8.2f %8.2f -> %8.2f %8.2f %8.2f\n", figures[figure].name,
               gsl_histogram_mean(without), quantile(without, 0.5).low, quantile(without, 0.9).low,
               gsl_histogram_mean(with), quantile(with, 0.5).low, quantile(with, 0.9).low);
    }
}

int main(int argc, char **argv) {
    if (argc != 3) return 2;
    uint64_t first = strtoull(argv[1], NULL, 10), last = strtoull(argv[2], NULL, 10);
    for (int i = 0; i < SCENARIOS; i++) {
        gsl_histogram *sides[SIDES][FIGURES];
        for (int side = 0; side < SIDES; side++)
            for (int figure = 0; figure < FIGURES; figure++) {
                sides[side][figure] = gsl_histogram_alloc(figures[figure].bins);
                gsl_histogram_set_ranges_uniform(sides[side][figure], 0, figures[figure].most);
            }
        for (uint64_t seed = first; seed <= last; seed++)
            for (int side = 0; side < SIDES; side++) play(&scenarios[i], seed, side, sides[side]);
        print(&scenarios[i], sides);
        for (int side = 0; side < SIDES; side++)
            for (int figure = 0; figure < FIGURES; figure++) gsl_histogram_free(sides[side][figure]);
    }
    return 0;
}
