#include "amberpin/base/util.h"

#include <sys/random.h>
#include <time.h>

amb_ms amb_now(void) {
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (amb_ms)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t amb_wall_ms(void) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

uint64_t amb_nonce(void) {
    uint64_t nonce = 0;
    if (getrandom(&nonce, sizeof nonce, 0) != (ssize_t)sizeof nonce)
        nonce = (uint64_t)amb_wall_ms() * 2654435761u;
    return nonce >> 1;
}
