/* Timing of repeated runs: processor time of this process, and quantiles of samples. */
#ifndef AMBERPIN_BENCH_MEASURE_H
#define AMBERPIN_BENCH_MEASURE_H

#include <stddef.h>

double bench_cpu_ns(void); /* processor time that this process has used */

/* Sorts the samples and returns a quantile of them: 0 is the least, 0.5 the median, 1 the largest; 0 if count
 * is 0. */
double bench_quantile(double *samples, size_t count, double quantile);

#endif
