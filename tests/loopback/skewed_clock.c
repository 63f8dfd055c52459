/* Clock of a test build of the controller, in place of lib/base/clock.c. Environment variables set the offset
 * and the drift of its steady clock, which differ between machines. */
#include "amberpin/base/util.h"

#include <stdlib.h>
#include <sys/random.h>
#include <time.h>

static double from_environment(const char *name) {
    const char *text = getenv(name);
    return text ? strtod(text, NULL) : 0;
}

static double true_ms(clockid_t clock) {
    struct timespec time;
    clock_gettime(clock, &time);
    return (double)time.tv_sec * 1e3 + (double)time.tv_nsec / 1e6;
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
