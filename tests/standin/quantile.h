/* Quantiles of a histogram, to the width of a bin. */
#ifndef AMBERPIN_TESTS_STANDIN_QUANTILE_H
#define AMBERPIN_TESTS_STANDIN_QUANTILE_H

#include <gsl/gsl_histogram.h>

struct bin {
    double low, high;
};

/* The bin in which this share of all that was counted is reached. */
static inline struct bin quantile(const gsl_histogram *histogram, double share) {
    double seen = 0, all = gsl_histogram_sum(histogram);
    struct bin bin = {0, 0};
    for (size_t i = 0; i < gsl_histogram_bins(histogram); i++) {
        seen += gsl_histogram_get(histogram, i);
        gsl_histogram_get_range(histogram, i, &bin.low, &bin.high);
        if (seen >= all * share) break;
    }
    return bin;
}

#endif
