#include "amberpin/base/util.h"

#include <sys/random.h>
#include <time.h>

amb_ms amb_now(void) {
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return (amb_ms)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t amb_wall_ms(void) {
    struct timespec t;
    clock_gettime(CLOCK_REALTIME, &t);
    return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

uint64_t amb_nonce(void) {
    uint64_t n = 0;
    if (getrandom(&n, sizeof n, 0) != (ssize_t)sizeof n) n = (uint64_t)amb_wall_ms() * 2654435761u;
    return n >> 1;
}
