/* A token bucket: limits how many requests or changes are sent a second, and allows short bursts. */
#ifndef AMBERPIN_TOKEN_BUCKET_H
#define AMBERPIN_TOKEN_BUCKET_H

#include "amberpin/base/util.h"

/* Zeroed it is empty and gains nothing: give it a rate. The owner takes tokens out itself; their count may
 * become negative, which delays what comes next. */
struct amb_token_bucket {
    double tokens_per_second, tokens;
    double burst_seconds; /* holds what it gains in so many seconds; 0: in one */
    amb_ms refilled_at;   /* 0: never yet */
};

/* The most tokens that it can hold, at least one. */
double amb_token_bucket_capacity(const struct amb_token_bucket *bucket);

/* Changes the rate from now on; what no longer fits is lost. Refill first. */
void amb_token_bucket_set_rate(struct amb_token_bucket *bucket, double tokens_per_second);

/* Adds what was gained since the last refill. */
void amb_token_bucket_refill(struct amb_token_bucket *bucket, amb_ms now);

/* How long until it holds so many tokens, or is full if it never can; 0: it does now. */
amb_ms amb_token_bucket_delay(const struct amb_token_bucket *bucket, double tokens);

#endif
