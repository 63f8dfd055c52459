/* This node's share of the requests and changes that the store allows all members together. */
#include "amberpin/kvstore/token_budget.h"

#include "amberpin/base/log.h"
#include "internal.h"

#include <math.h>

/* Requests: half of them are the leader's, the other half is divided evenly among the other nodes. */
static const double LEADER_REQUEST_SHARE = 0.5;

/* Changes: half of them are for users, whichever node they come to. */
static const double USER_WRITE_SHARE = 0.5;

/* The leader's share of all changes, and that of all nodes for what they write as followers. */
static const double LEADER_WRITE_SHARE = 0.5, FOLLOWER_WRITE_SHARE = 0.5;

/* What holders of duties may write together, taken from the followers' share, so that the sum of all shares
 * stays what it is without duties. Divided evenly among the nodes, the two writes of a request for machines
 * waited 2 s for tokens at its holder, while nobody else needed the others'. */
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
    store_refill_buckets(store); /* the time that has passed counts at the old rate */
    store->duties_in_use = in_use;
    store->duty_share = share;
    apply_shares(store);
}

void amb_store_lower_limits(struct amb_store *store, const char *evidence) {
    if (store->limits_lowered) return;
    store->limits_lowered = true;
    amb_info("state service: limits lowered, %g instead of %g changes a second: %s",
             store->lowered_writes_per_second, store->writes_per_second, evidence);
    store->writes_per_second = store->lowered_writes_per_second;
    apply_shares(store);
}

/* ---- users' writes ---- */

/* Users come to one node after another, in bursts. If their half of the writes were divided among the nodes,
 * one submission would use up a small share and the next be refused while the others' tokens lie unused. All
 * nodes follow all jobs, so each can count what the others write and draw on the whole. */
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
    /* Seen late, many at a time, they were spread over the time before: no more than one bucket of debt. */
    bucket->tokens = fmax(bucket->tokens - 1, -bucket->tokens_per_second);
}
