/* Timing of repeated runs: processor time of this process, and order statistics of samples. */
#ifndef AMBERPIN_BENCH_MEASURE_H
#define AMBERPIN_BENCH_MEASURE_H

#include <stddef.h>

double bench_cpu_ns(void); /* processor time used by this process so far */

/* Sorts the samples. q: 0 is the least, 0.5 the median, 1 the largest. */
double bench_quantile(double *samples, size_t count, double quantile);

#endif
