/* The clock of a test build of the controller: takes the place of lib/base/clock.c. Its steady clock starts
 * and drifts as the environment says, as those of different machines do. */
#include "amberpin/base/util.h"

#include <stdlib.h>
#include <sys/random.h>
#include <time.h>

static double from_environment(const char *name) {
    const char *text = getenv(name);
    return text ? strtod(text, NULL) : 0;
}

static double true_ms(clockid_t clock) {
    struct timespec t;
    clock_gettime(clock, &t);
    return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

amb_ms amb_now(void) {
    static double rate, offset;
    if (rate == 0) {
        rate = 1 + from_environment("AMB_TEST_CLOCK_PPM") / 1e6;
        offset = from_environment("AMB_TEST_CLOCK_OFFSET_MS") + 1;
    }
    return (amb_ms)(true_ms(CLOCK_MONOTONIC) * rate + offset);
}

int64_t amb_wall_ms(void) {
    return (int64_t)true_ms(CLOCK_REALTIME);
}

uint64_t amb_nonce(void) {
    uint64_t nonce = 0;
    if (getrandom(&nonce, sizeof nonce, 0) != (ssize_t)sizeof nonce) abort();
    return nonce >> 1;
}
