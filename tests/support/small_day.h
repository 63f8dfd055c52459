/* A day of the small stand-in on which every rule must hold, and all that was accepted must get done. */
#ifndef SMALL_DAY_H
#define SMALL_DAY_H

#include "check.h"
#include "standin.h"

enum { SMALL_DAY_MS = 260000 };

static inline struct sim_result must_hold(const char *what, uint64_t seed, const struct sim_fault *faults,
                                          size_t count) {
    struct sim_result r = sim_day(&sim_small, seed, SMALL_DAY_MS, faults, count);
    if (r.broken[0]) fail_msg("%s, seed %llu: %s", what, (unsigned long long)seed, r.broken);
    if (r.accepted < 12 || r.done < 3 || r.starts < 10 || r.open)
        fail_msg("%s, seed %llu: %u accepted, %u done, %u starts, %u left open", what,
                 (unsigned long long)seed, r.accepted, r.done, r.starts, r.open);
    return r;
}

#endif
