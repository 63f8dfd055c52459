/* A day of the small stand-in on which every rule must hold, and all that was accepted must get done. */
#ifndef SMALL_DAY_H
#define SMALL_DAY_H

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
