/* Runs a scenario of the small deployment. No rule may be violated, and all accepted work must be done. */
#ifndef AMBERPIN_TESTS_SMALL_SCENARIO_H
#define AMBERPIN_TESTS_SMALL_SCENARIO_H

#include "check.h"
#include "standin.h"

enum { SMALL_SCENARIO_MS = 260000 };

static inline struct sim_result run_small_scenario(const char *what, uint64_t seed,
                                                   const struct sim_fault *faults, size_t count) {
    struct sim_result result = sim_run_default_load(&sim_small, seed, SMALL_SCENARIO_MS, faults, count);
    if (result.violation[0]) fail_msg("%s, seed %llu: %s", what, (unsigned long long)seed, result.violation);
    if (result.accepted < 12 || result.done < 3 || result.starts < 10 || result.open_jobs)
        fail_msg("%s, seed %llu: %u accepted, %u done, %u starts, %u left open", what,
                 (unsigned long long)seed, result.accepted, result.done, result.starts, result.open_jobs);
    return result;
}

#endif
