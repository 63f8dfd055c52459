/* Token bucket: limits the number of requests or writes per second and allows short bursts. */
#ifndef AMBERPIN_TOKEN_BUCKET_H
#define AMBERPIN_TOKEN_BUCKET_H

#include "amberpin/base/util.h"

/* A zeroed bucket is empty and gains no tokens until it is given a rate. The owner subtracts tokens itself.
 * The count may become negative, which delays later requests. */
struct amb_token_bucket {
    double tokens_per_second, tokens;
    double burst_seconds; /* capacity, as the time in which it fills; 0: one second */
    amb_ms refilled_at;   /* 0: never */
};

/* The maximum number of tokens that the bucket can hold, at least one. */
double amb_token_bucket_capacity(const struct amb_token_bucket *bucket);

/* Changes the rate. Tokens above the new capacity are lost. Refill the bucket before calling this. */
void amb_token_bucket_set_rate(struct amb_token_bucket *bucket, double tokens_per_second);

/* Adds the tokens gained since the last refill. */
void amb_token_bucket_refill(struct amb_token_bucket *bucket, amb_ms now);

/* Delay for a bucket that lacks tokens and gains none. */
enum { AMB_TOKEN_BUCKET_NEVER_MS = INT32_MAX };

/* How long in ms until the bucket holds this many tokens, or is full if that is more than its capacity; 0: it
 * holds them now. AMB_TOKEN_BUCKET_NEVER_MS: it has no rate. */
amb_ms amb_token_bucket_delay(const struct amb_token_bucket *bucket, double tokens);

#endif
