/* Days against the stand-in as rows of a table: every rule must hold at every moment, what was accepted must
 * get done, and the day must have brought its trouble about: as many cancellations as the row says, at least.
 */
#ifndef AMBERPIN_TESTS_DAY_TABLE_H
#define AMBERPIN_TESTS_DAY_TABLE_H

#include "check.h"
#include "standin.h"

enum { LENGTH = 300000, FAULTS = 40 };

struct day {
    const char *what;
    uint32_t cancelled; /* at least, over all seeds */
    unsigned load;
    struct sim_fault faults[FAULTS]; /* ends with one that begins at 0 */
};

static inline size_t fault_count(const struct day *day) {
    size_t count = 0;
    while (count < FAULTS && day->faults[count].at) count++;
    return count;
}

static inline void play_seeds(const struct day *day, uint64_t first, uint64_t last) {
    uint32_t cancelled = 0;
    for (uint64_t seed = first; seed <= last; seed++) {
        const struct sim_plan plan = {.size = &sim_small,
                                      .seed = seed,
                                      .length = LENGTH,
                                      .load = day->load,
                                      .faults = day->faults,
                                      .fault_count = fault_count(day)};
        struct sim_result result = sim_play(&plan);
        if (result.broken[0])
            fail_msg("%s, seed %llu: %s", day->what, (unsigned long long)seed, result.broken);
        if (result.accepted < 12 || result.done < 3 || result.starts < 10 || result.open)
            fail_msg("%s, seed %llu: %u accepted, %u done, %u starts, %u left open", day->what,
                     (unsigned long long)seed, result.accepted, result.done, result.starts, result.open);
        cancelled += result.cancelled;
    }
    if (cancelled < day->cancelled) fail_msg("%s: only %u cancellations", day->what, cancelled);
}

#endif
