/* Runs simulated scenarios given as rows of a table. No rule may be violated at any time, all accepted work
 * must be done, and the scenario must have taken effect: it has at least as many cancellations as its row
 * says. */
#ifndef AMBERPIN_TESTS_SCENARIO_TABLE_H
#define AMBERPIN_TESTS_SCENARIO_TABLE_H

#include "check.h"
#include "standin.h"

enum { SCENARIO_MS = 300000, MAX_FAULTS = 40 };

struct fault_scenario {
    const char *name;
    uint32_t min_cancelled; /* cancellations over all seeds */
    unsigned load;
    struct sim_fault faults[MAX_FAULTS]; /* terminated by an entry with at = 0 */
};

static inline size_t count_scenario_faults(const struct fault_scenario *scenario) {
    size_t count = 0;
    while (count < MAX_FAULTS && scenario->faults[count].at) count++;
    return count;
}

static inline void run_seeds(const struct fault_scenario *scenario, uint64_t first, uint64_t last) {
    uint32_t cancelled = 0;
    for (uint64_t seed = first; seed <= last; seed++) {
        const struct sim_scenario plan = {.size = &sim_small,
                                          .seed = seed,
                                          .length = SCENARIO_MS,
                                          .load = scenario->load,
                                          .faults = scenario->faults,
                                          .fault_count = count_scenario_faults(scenario)};
        struct sim_result result = sim_run(&plan);
        if (result.violation[0])
            fail_msg("%s, seed %llu: %s", scenario->name, (unsigned long long)seed, result.violation);
        if (result.accepted < 12 || result.done < 3 || result.starts < 10 || result.open_jobs)
            fail_msg("%s, seed %llu: %u accepted, %u done, %u starts, %u left open", scenario->name,
                     (unsigned long long)seed, result.accepted, result.done, result.starts, result.open_jobs);
        cancelled += result.cancelled;
    }
    if (cancelled < scenario->min_cancelled) fail_msg("%s: only %u cancellations", scenario->name, cancelled);
}

#endif
