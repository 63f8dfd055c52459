/* Explores the scenarios of the protocol model of single-holder duties, also those too large for the tests.
 *
 *   duty_explore [SCENARIO [MAX_STATES [QUIESCE_EVERY]]]
 *
 * Without a scenario it prints the names of all; "all" explores every one. */
#include "scenarios.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int main(int argc, char **argv) {
    uint64_t most = argc > 2 ? strtoull(argv[2], NULL, 10) : 1000000;
    uint32_t quiesce_every = argc > 3 ? (uint32_t)strtoul(argv[3], NULL, 10) : 97;
    for (size_t i = 0; i < duty_scenario_count; i++) {
        const struct explorer_scenario *scenario = &duty_scenarios[i];
        if (argc < 2) printf("%s\n", scenario->name);
        if (argc < 2 || (strcmp(argv[1], scenario->name) != 0 && strcmp(argv[1], "all") != 0)) continue;
        struct explorer_result result = explorer_run(scenario, most, quiesce_every);
        printf("%s: %llu states, %llu steps, depth %u, %llu quiesced, %s%s%s%s\n", scenario->name,
               (unsigned long long)result.states, (unsigned long long)result.steps, result.depth,
               (unsigned long long)result.quiesced, result.complete ? "complete" : "NOT complete",
               result.violation ? ": " : "", result.violation ? result.violation : "",
               result.violation ? result.trace : "");
        if (result.violation) return 1;
    }
    return 0;
}
