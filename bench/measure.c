#include "measure.h"

#include <stdlib.h>
#include <time.h>

double bench_cpu_ns(void) {
    struct timespec time;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return (double)time.tv_sec * 1e9 + (double)time.tv_nsec;
}

static int by_value(const void *left, const void *right) {
    double left_value = *(const double *)left, right_value = *(const double *)right;
    return (left_value > right_value) - (left_value < right_value);
}

double bench_quantile(double *samples, size_t count, double quantile) {
    if (!count) return 0;
    qsort(samples, count, sizeof *samples, by_value);
    return samples[(size_t)(quantile * (double)(count - 1) + 0.5)];
}
