/* Quantiles of a histogram, with the precision of a bin. */
#ifndef AMBERPIN_TESTS_STANDIN_QUANTILE_H
#define AMBERPIN_TESTS_STANDIN_QUANTILE_H

#include <gsl/gsl_histogram.h>

struct bin {
    double low, high;
};

/* The first bin at which the cumulative count reaches this share of the total. */
static inline struct bin quantile(const gsl_histogram *histogram, double share) {
    double reached = 0, total = gsl_histogram_sum(histogram);
    struct bin bin = {0, 0};
    for (size_t i = 0; i < gsl_histogram_bins(histogram); i++) {
        reached += gsl_histogram_get(histogram, i);
        gsl_histogram_get_range(histogram, i, &bin.low, &bin.high);
        if (reached >= total * share) break;
    }
    return bin;
}

#endif
