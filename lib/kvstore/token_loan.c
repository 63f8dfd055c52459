/* Write tokens that the leader lends from its half to the users' half, or back. When a fleet starts, or
 * recovers from an outage, users have much to write and the leader nothing to record: with their own half
 * alone the first services were accepted up to 9 s late. When many small jobs are submitted and end, the
 * leader writes three records for each and the users one: with its own half alone the starts or ends of jobs
 * were a minute late. */
#include "amberpin/kvstore/token_budget.h"

#include "internal.h"

#include <math.h>

/* Shares of a full bucket that are not lent: the users' for a burst, the leader's for its records. */
static const double USER_RESERVED_SHARE = 0.7, LEADER_RESERVED_SHARE = 0.5;

/* In tokens; a smaller loan waits until there is a whole token. */
static const double SMALLEST_LOAN = 1;

static double borrowable_user_tokens(const struct amb_store *store, double user_tokens) {
    if (!store_has_own_write_waiting(store)) return 0;
    double spare = user_tokens - store->user_write_bucket.tokens_per_second * USER_RESERVED_SHARE;
    double free_capacity = store->write_bucket.tokens_per_second - store->write_bucket.tokens;
    double max_loan = fmin(spare, free_capacity);
    return max_loan < SMALLEST_LOAN ? 0 : floor(max_loan);
}

double amb_store_lend_tokens(struct amb_store *store) {
    store_refill_buckets(store);
    struct amb_token_bucket *own = &store->write_bucket;
    const struct amb_token_bucket *users = &store->user_write_bucket;
    double user_tokens = users->tokens - store->pending_user_writes;
    double spare = own->tokens - own->tokens_per_second * LEADER_RESERVED_SHARE;
    double max_loan = fmin(spare, users->tokens_per_second - user_tokens);
    double loan = max_loan >= SMALLEST_LOAN ? floor(max_loan) : -borrowable_user_tokens(store, user_tokens);
    if (loan == 0) return 0;
    own->tokens -= loan;
    amb_store_apply_token_loan(store, loan);
    store_dispatch(store);
    return loan;
}

void amb_store_apply_token_loan(struct amb_store *store, double tokens) {
    struct amb_token_bucket *bucket = &store->user_write_bucket;
    amb_token_bucket_refill(bucket, amb_now());
    double capacity = bucket->tokens_per_second;
    bucket->tokens = fmax(-capacity, fmin(bucket->tokens + tokens, capacity));
}
