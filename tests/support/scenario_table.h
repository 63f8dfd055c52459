/* Days against the stand-in as rows of a table: every rule must hold at every moment, what was accepted must
 * get done, and the day must have brought its trouble about: as many cancellations as the row says, at least.
 */
#ifndef AMBERPIN_TESTS_DAY_TABLE_H
#define AMBERPIN_TESTS_DAY_TABLE_H

#include "check.h"
#include "standin.h"

enum { SCENARIO_MS = 300000, MAX_FAULTS = 40 };

struct fault_scenario {
    const char *name;
    uint32_t min_cancelled; /* at least, over all seeds */
    unsigned load;
    struct sim_fault faults[MAX_FAULTS]; /* ends with one that begins at 0 */
};

static inline size_t count_scenario_faults(const struct fault_scenario *day) {
    size_t count = 0;
    while (count < MAX_FAULTS && day->faults[count].at) count++;
    return count;
}

static inline void run_seeds(const struct fault_scenario *day, uint64_t first, uint64_t last) {
    uint32_t cancelled = 0;
    for (uint64_t seed = first; seed <= last; seed++) {
        const struct sim_scenario plan = {.size = &sim_small,
                                          .seed = seed,
                                          .length = SCENARIO_MS,
                                          .load = day->load,
                                          .faults = day->faults,
                                          .fault_count = count_scenario_faults(day)};
        struct sim_result result = sim_run(&plan);
        if (result.violation[0])
            fail_msg("%s, seed %llu: %s", day->name, (unsigned long long)seed, result.violation);
        if (result.accepted < 12 || result.done < 3 || result.starts < 10 || result.open_jobs)
            fail_msg("%s, seed %llu: %u accepted, %u done, %u starts, %u left open", day->name,
                     (unsigned long long)seed, result.accepted, result.done, result.starts, result.open_jobs);
        cancelled += result.cancelled;
    }
    if (cancelled < day->min_cancelled) fail_msg("%s: only %u cancellations", day->name, cancelled);
}

#endif
