/* Token buckets. Token counts are fractional, so that no time between two refills is lost to rounding. */
#include "amberpin/kvstore/token_bucket.h"

#include <math.h>

static const double ROUNDING_ERROR = 1e-9; /* in tokens: a smaller shortfall is ignored */

double amb_token_bucket_capacity(const struct amb_token_bucket *bucket) {
    double seconds = bucket->burst_seconds > 0 ? bucket->burst_seconds : 1;
    return fmax(bucket->tokens_per_second * seconds, 1.0);
}

void amb_token_bucket_set_rate(struct amb_token_bucket *bucket, double tokens_per_second) {
    bucket->tokens_per_second = tokens_per_second;
    bucket->tokens = fmin(bucket->tokens, amb_token_bucket_capacity(bucket));
}

void amb_token_bucket_refill(struct amb_token_bucket *bucket, amb_ms now) {
    if (!bucket->refilled_at) bucket->refilled_at = now;
    if (now <= bucket->refilled_at) return;
    bucket->tokens += bucket->tokens_per_second * (double)(now - bucket->refilled_at) / 1000.0;
    bucket->tokens = fmin(bucket->tokens, amb_token_bucket_capacity(bucket));
    bucket->refilled_at = now;
}

amb_ms amb_token_bucket_delay(const struct amb_token_bucket *bucket, double tokens) {
    /* A request for more than the capacity is let through when the bucket is full. */
    double missing = fmin(tokens, amb_token_bucket_capacity(bucket)) - bucket->tokens;
    if (missing <= ROUNDING_ERROR) return 0;
    if (bucket->tokens_per_second <= 0) return AMB_TOKEN_BUCKET_NEVER_MS;
    return (amb_ms)ceil(missing / bucket->tokens_per_second * 1000.0);
}
