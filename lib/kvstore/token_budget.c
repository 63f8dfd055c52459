/* This node's share of the requests and writes that the store allows all members together. */
#include "amberpin/kvstore/token_budget.h"

#include "amberpin/base/log.h"
#include "internal.h"

#include <math.h>

/* The leader's share of the requests; the rest is divided evenly among the other nodes. */
static const double LEADER_REQUEST_SHARE = 0.5;

/* Share of the writes that is for users, whichever node they send their requests to. */
static const double USER_WRITE_SHARE = 0.5;

/* Share of the writes for the leader's records, and for all nodes' records as followers. */
static const double LEADER_WRITE_SHARE = 0.5, FOLLOWER_WRITE_SHARE = 0.5;

/* Share of the followers' writes that the holders of single-holder duties get, so that the sum of all shares
 * is the same as without duties. When the writes were divided evenly among the nodes, the two writes of a
 * scale-out request waited 2 s for tokens at its holder, while the other nodes did not use theirs. */
static const double DUTY_HOLDER_WRITE_SHARE = 0.5;

void store_refill_buckets(struct amb_store *store) {
    amb_ms now = amb_now();
    amb_token_bucket_refill(&store->request_bucket, now);
    amb_token_bucket_refill(&store->write_bucket, now);
    amb_token_bucket_refill(&store->user_write_bucket, now);
}

/* ---- shares ---- */

static double request_share(const struct amb_store *store) {
    if (store->member_count == 1) return 1;
    if (store->is_leader) return LEADER_REQUEST_SHARE;
    return (1 - LEADER_REQUEST_SHARE) / (store->member_count - 1);
}

static double write_share(const struct amb_store *store) {
    double follower = FOLLOWER_WRITE_SHARE / store->member_count;
    double others = FOLLOWER_WRITE_SHARE - follower; /* of all nodes but the leader */
    if (!store->duties_in_use) return store->is_leader ? LEADER_WRITE_SHARE : follower;
    double base = store->is_leader ? LEADER_WRITE_SHARE : follower * (1 - DUTY_HOLDER_WRITE_SHARE);
    return base + others * DUTY_HOLDER_WRITE_SHARE * store->duty_share;
}

static void apply_shares(struct amb_store *store) {
    double requests_per_second = store->requests_per_second * request_share(store);
    double writes_per_second = store->writes_per_second * write_share(store);
    amb_token_bucket_set_rate(&store->request_bucket, requests_per_second);
    amb_token_bucket_set_rate(&store->write_bucket, writes_per_second);
    amb_token_bucket_set_rate(&store->user_write_bucket, store->writes_per_second * USER_WRITE_SHARE);
}

void amb_store_set_leadership(struct amb_store *store, bool is_leader) {
    store->is_leader = is_leader;
    apply_shares(store);
}

void store_init_buckets(struct amb_store *store) {
    store->request_bucket.tokens = store->requests_per_second / store->member_count;
    store->write_bucket.tokens = store->writes_per_second / store->member_count;
    store->user_write_bucket.tokens = store->writes_per_second * USER_WRITE_SHARE;
    amb_store_set_leadership(store, false);
}

void amb_store_set_duty_share(struct amb_store *store, bool in_use, double share) {
    if (store->duties_in_use == in_use && store->duty_share == share) return;
    store_refill_buckets(store); /* the time since the last refill counts at the old rate */
    store->duties_in_use = in_use;
    store->duty_share = share;
    apply_shares(store);
}

void amb_store_lower_limits(struct amb_store *store, const char *evidence) {
    if (store->limits_lowered) return;
    store->limits_lowered = true;
    amb_info("state service: write limit lowered, %g instead of %g writes per second: %s",
             store->lowered_writes_per_second, store->writes_per_second, evidence);
    store->writes_per_second = store->lowered_writes_per_second;
    apply_shares(store);
}

/* ---- users' writes ---- */

/* Users send bursts of requests to one node after another. If their half of the writes were divided among the
 * nodes, one submission would use up a node's small share and the next would be refused while the other
 * nodes' tokens stay unused. All nodes watch all jobs, so each can count the writes of the others and use the
 * whole half. */
amb_ms store_user_write_delay(const struct amb_store *store, uint32_t write_count, double reserved_share) {
    if (!write_count) return 0;
    const struct amb_token_bucket *bucket = &store->user_write_bucket;
    double reserved = reserved_share * bucket->tokens_per_second;
    return amb_token_bucket_delay(bucket, store->pending_user_writes + write_count + reserved);
}

bool amb_store_can_write_for_user(struct amb_store *store, uint32_t write_count, double reserved_share) {
    store_refill_buckets(store);
    if (amb_now() < store->throttled_until) return false;
    if (store->queue_head[AMB_STORE_PRIORITY_USER]) return false;
    if (amb_token_bucket_delay(&store->request_bucket, 1) > 0) return false;
    return store_user_write_delay(store, write_count, reserved_share) == 0;
}

void amb_store_count_user_write(struct amb_store *store) {
    struct amb_token_bucket *bucket = &store->user_write_bucket;
    amb_token_bucket_refill(bucket, amb_now());
    /* Many writes reported late and at once were in fact spread over the time before, so the debt is limited
     * to one full bucket. */
    bucket->tokens = fmax(bucket->tokens - 1, -bucket->tokens_per_second);
}
