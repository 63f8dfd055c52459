/* Collects records and messages of the production version, as tests/data/production/README.md describes:
 *
 *     record DIRECTORY
 *
 * Runs scenarios in which all nodes have the production version, with faults that make it write every kind of
 * record. */
#include "recorder.h"
#include "standin.h"

#include <stdio.h>

enum { LENGTH_MS = 160000, AFTER_END_MS = 10000000, SEEDS = 8, MAX_PATH_BYTES = 4096 };

static const struct sim_size size = {3, 12, 14, 12, 3, 1000, 10000, 30000, 200, 20, 3};

/* The first fault keeps the nodes at the production version: its upgrade begins after the end. */
static const struct sim_fault faults[] = {
    {SIM_UPGRADE, AFTER_END_MS, 1000, -1}, {SIM_KILL, 40000, 1, -1},
    {SIM_RESTART, 95000, 1, -1},           {SIM_ZONE_PARTITION, 55000, 25000, -1},
    {SIM_MACHINE_HANG, 50000, 15000, -1},
};

static void write_samples(const char *directory, enum sim_sample_kind kind) {
    char path[MAX_PATH_BYTES];
    snprintf(path, sizeof path, "%s/%s.json", directory, sim_sample_names[kind]);
    const json_t *list = sim_samples(kind);
    printf("%s: %zu samples\n", sim_sample_names[kind], json_array_size(list));
    if (json_dump_file(list, path, JSON_INDENT(1) | JSON_SORT_KEYS))
        fprintf(stderr, "%s: not written\n", path);
}

int main(int argc, char **argv) {
    if (argc != 2 || !sim_is_production_available()) {
        fprintf(stderr, "usage: record DIRECTORY, with the production version in the history\n");
        return 2;
    }
    sim_recorder_start(true);
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct sim_result result = sim_run(&(struct sim_scenario){
            .size = &size,
            .seed = seed,
            .length = LENGTH_MS,
            .load = SIM_LOAD_ALL_FIELDS | SIM_LOAD_ZONE_BOUND | SIM_LOAD_OVERLOAD,
            .faults = faults,
            .fault_count = sizeof faults / sizeof *faults,
        });
        printf("seed %llu: %u accepted, %u done, %u cancelled %s\n", (unsigned long long)seed,
               result.accepted, result.done, result.cancelled, result.violation);
        if (result.violation[0]) return 1;
    }
    for (int kind = 0; kind < SIM_OTHER_RECORDS; kind++) write_samples(argv[1], (enum sim_sample_kind)kind);
    return 0;
}
