#include "amberpin/kvstore/client.h"

#include "amberpin/base/log.h"
#include "amberpin/http/http.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct amb_store_request {
    struct amb_store_request *next;
    struct amb_store *store;
    char method[8];
    char path[320];
    struct amb_buf body;
    uint32_t write_count;
    amb_ms timeout;
    enum amb_store_priority priority;
    amb_store_callback on_done;
    amb_store_bytes_callback on_bytes; /* instead of fn: the answer is not parsed */
    void *arg;
};

enum amb_call_result amb_store_call_result(int status) {
    switch (status) {
    case 200: return AMB_CALL_OK;
    case 404: return AMB_CALL_NOT_FOUND;
    case 409: return AMB_CALL_CONFLICT;
    case 0: return AMB_CALL_NO_ANSWER;
    default: return AMB_CALL_REFUSED;
    }
}

/* ---- transactions ---- */

void amb_txn_compare(struct amb_txn *transaction, const char *key, uint64_t revision) {
    amb_cbor_write_map(&transaction->compares, 2);
    amb_cbor_write_string(&transaction->compares, "path");
    amb_cbor_write_string(&transaction->compares, key);
    amb_cbor_write_string(&transaction->compares, "stamp");
    amb_cbor_write_uint(&transaction->compares, revision);
    transaction->compare_count++;
}

void amb_txn_put(struct amb_txn *transaction, const char *key, const struct amb_buf *value,
                 uint64_t lease_id) {
    amb_cbor_write_map(&transaction->operations, lease_id ? 3 : 2);
    amb_cbor_write_string(&transaction->operations, "put");
    amb_cbor_write_string(&transaction->operations, key);
    amb_cbor_write_string(&transaction->operations, "value");
    amb_buf_append(&transaction->operations, value->data, value->len);
    if (lease_id) {
        amb_cbor_write_string(&transaction->operations, "tenure");
        amb_cbor_write_uint(&transaction->operations, lease_id);
    }
    transaction->operation_count++;
}

void amb_txn_remove(struct amb_txn *transaction, const char *key) {
    amb_cbor_write_map(&transaction->operations, 1);
    amb_cbor_write_string(&transaction->operations, "remove");
    amb_cbor_write_string(&transaction->operations, key);
    transaction->operation_count++;
}

/* ---- budget ---- */

double amb_token_bucket_capacity(const struct amb_token_bucket *bucket) {
    return fmax(bucket->tokens_per_second * (bucket->burst_seconds > 0 ? bucket->burst_seconds : 1), 1.0);
}

void amb_token_bucket_set_rate(struct amb_token_bucket *bucket, double tokens_per_second) {
    bucket->tokens_per_second = tokens_per_second;
    bucket->tokens = fmin(bucket->tokens, amb_token_bucket_capacity(bucket));
}

void amb_token_bucket_refill(struct amb_token_bucket *bucket, amb_ms now) {
    if (!bucket->refilled_at) bucket->refilled_at = now;
    if (now <= bucket->refilled_at) return;
    bucket->tokens += bucket->tokens_per_second * (double)(now - bucket->refilled_at) / 1000.0;
    bucket->refilled_at = now;
    bucket->tokens = fmin(bucket->tokens, amb_token_bucket_capacity(bucket));
}

amb_ms amb_token_bucket_delay(const struct amb_token_bucket *bucket, double tokens) {
    /* More than the bucket can ever hold is let through once it is full. */
    double missing = fmin(tokens, amb_token_bucket_capacity(bucket)) - bucket->tokens;
    return missing <= 1e-9 ? 0 : (amb_ms)ceil(missing / bucket->tokens_per_second * 1000.0);
}

/* ---- calls ---- */

static void dispatch(void *arg);

static void request_free(struct amb_store_request *request) {
    amb_buf_free(&request->body);
    free(request);
}

static void deliver_parsed(struct amb_store_request *request, int status, const char *body, size_t len) {
    cbor_item_t *item = len ? amb_cbor_parse(body, len) : NULL;
    /* An answer that can't be read proves nothing about what was done. */
    if (status == 200 && !item) status = 0;
    if (request->on_done) request->on_done(request->arg, status, item);
    if (item) cbor_decref(&item);
}

/* The answer to a call that follows changes has no bound but this node's: who asked must know. */
static void on_response(void *arg, int status, const char *body, size_t len) {
    struct amb_store_request *request = arg;
    struct amb_store *store = request->store;
    amb_ms now = amb_now();
    if (status == 429) store->throttled_until = now + store->call_timeout / 4;
    if (status == 429 && request->write_count) amb_store_lower_limits(store, "too many changes");
    if (status == 0 || status == 503)
        store->last_failure_at = now;
    else if (status != 429)
        store->last_success_at = now;
    if (request->priority == AMB_STORE_PRIORITY_USER) {
        store->pending_user_writes -= request->write_count;
        if (status != 200)
            store->user_write_bucket.tokens -= request->write_count; /* no news will tell of it */
    }
    if (status == AMB_HTTP_RESPONSE_TOO_LARGE && !request->on_bytes)
        status = 0; /* what it said is not known */
    if (request->on_bytes)
        request->on_bytes(request->arg, status, body, len);
    else
        deliver_parsed(request, status, body, len);
    request_free(request);
}

static void request_send(struct amb_store_request *request) {
    struct amb_store *store = request->store;
    store->request_bucket.tokens -= 1;
    if (request->priority == AMB_STORE_PRIORITY_USER)
        store->pending_user_writes += request->write_count;
    else
        store->write_bucket.tokens -= request->write_count;
    amb_http_call(store->address, request->method, request->path, "application/cbor", request->body.data,
                  request->body.len, request->timeout, on_response, request);
}

/* Users come to one node after another, in bursts. Were their half of the writes parted among the nodes, one
 * submission would use up a small share and the next be refused while the others' tokens lie unused. All
 * nodes follow all jobs, so each can count what the others write and draw on the whole. */
static amb_ms user_write_delay(const struct amb_store *store, uint32_t write_count, double reserved_share) {
    return write_count
               ? amb_token_bucket_delay(&store->user_write_bucket,
                                        store->pending_user_writes + write_count +
                                            reserved_share * store->user_write_bucket.tokens_per_second)
               : 0;
}

void amb_store_count_user_write(struct amb_store *store) {
    amb_token_bucket_refill(&store->user_write_bucket, amb_now());
    /* Seen late, many at a time, they were spread over the time before: no more than one bucket of debt. */
    store->user_write_bucket.tokens =
        fmax(store->user_write_bucket.tokens - 1, -store->user_write_bucket.tokens_per_second);
}

void amb_store_apply_token_loan(struct amb_store *store, double tokens) {
    amb_token_bucket_refill(&store->user_write_bucket, amb_now());
    double most = store->user_write_bucket.tokens_per_second;
    store->user_write_bucket.tokens = fmax(-most, fmin(store->user_write_bucket.tokens + tokens, most));
}

static void refill_buckets(struct amb_store *store) {
    amb_ms now = amb_now();
    amb_token_bucket_refill(&store->request_bucket, now);
    amb_token_bucket_refill(&store->write_bucket, now);
    amb_token_bucket_refill(&store->user_write_bucket, now);
}

/* Does a write of the leader's half wait for tokens? */
static bool has_own_write_waiting(const struct amb_store *store) {
    for (int priority = AMB_STORE_PRIORITY_FINAL_STATE; priority < AMB_STORE_PRIORITIES; priority++)
        for (const struct amb_store_request *request = store->queue_head[priority]; request;
             request = request->next)
            if (request->write_count) return true;
    return false;
}

/* What the leader's half may take of the users', which keep most of a bucket for a burst. */
static const double USER_RESERVED_SHARE = 0.7;

static double borrowable_user_tokens(const struct amb_store *store, double user_tokens) {
    if (!has_own_write_waiting(store)) return 0;
    double most = fmin(user_tokens - store->user_write_bucket.tokens_per_second * USER_RESERVED_SHARE,
                       store->write_bucket.tokens_per_second - store->write_bucket.tokens);
    return most < 1 ? 0 : floor(most);
}

/* When a fleet starts, or comes back after an outage, users have much to say and the leader nothing to
 * record: with their own half alone the first services were accepted up to 9 s late. When many small jobs
 * come and end, the leader has three records to write for each and users one: with its own half alone starts,
 * or ends, came a minute late. */
double amb_store_lend_tokens(struct amb_store *store) {
    refill_buckets(store);
    double user_tokens = store->user_write_bucket.tokens - store->pending_user_writes;
    double spare = fmin(store->write_bucket.tokens - store->write_bucket.tokens_per_second / 2,
                        store->user_write_bucket.tokens_per_second - user_tokens);
    double loan = spare >= 1 ? floor(spare) : -borrowable_user_tokens(store, user_tokens);
    if (loan == 0) return 0;
    store->write_bucket.tokens -= loan;
    amb_store_apply_token_loan(store, loan);
    dispatch(store);
    return loan;
}

/* What reads of changes leave of the requests of a second. One read answers all questions that wait for it,
 * so nothing is lost if it is a little later. (While jobs came and ended fast, and while users asked many
 * times as often, a follower had no request left for one submission in three.) */
static const double WATCH_RESERVED_SHARE = 0.25;

static amb_ms request_delay(const struct amb_store *store, const struct amb_store_request *request) {
    double reserved = request->priority == AMB_STORE_PRIORITY_WATCH
                          ? store->request_bucket.tokens_per_second * WATCH_RESERVED_SHARE
                          : 0;
    return amb_token_bucket_delay(&store->request_bucket, 1 + reserved);
}

/* How long until there are tokens for the operation. */
static amb_ms dispatch_delay(const struct amb_store *store, const struct amb_store_request *request,
                             amb_ms now) {
    if (request->priority == AMB_STORE_PRIORITY_LEASE)
        return 0; /* keeping the leadership never waits for tokens */
    amb_ms request_delay_ms = request_delay(store, request);
    amb_ms write_delay_ms =
        request->priority == AMB_STORE_PRIORITY_USER ? user_write_delay(store, request->write_count, 0)
        : request->write_count ? amb_token_bucket_delay(&store->write_bucket, request->write_count)
                               : 0;
    amb_ms delay = request_delay_ms > write_delay_ms ? request_delay_ms : write_delay_ms;
    return store->throttled_until - now > delay ? store->throttled_until - now : delay;
}

static void dispatch(void *arg) {
    struct amb_store *store = arg;
    amb_ms now = amb_now();
    refill_buckets(store);
    amb_ms next_attempt_in = 0;
    bool write_waits = false; /* a more urgent write of our own half does */
    for (int priority = 0; priority < AMB_STORE_PRIORITIES; priority++) {
        while (store->queue_head[priority]) {
            struct amb_store_request *request = store->queue_head[priority];
            /* Else small writes would take each token as it comes, and a larger one never find enough: jobs
             * that had ended were called done minutes late while placements went on. */
            if (write_waits && request->write_count) break;
            amb_ms delay = dispatch_delay(store, request, now);
            if (delay > 0) {
                if (!next_attempt_in || delay < next_attempt_in) next_attempt_in = delay;
                if (request->write_count && priority != AMB_STORE_PRIORITY_USER) write_waits = true;
                break; /* in order within a class; a read may pass a write that waits */
            }
            store->queue_head[priority] = request->next;
            if (!request->next) store->queue_tail[priority] = NULL;
            request_send(request);
        }
    }
    if (next_attempt_in) amb_timer_in(&store->dispatch_timer, next_attempt_in, dispatch, store);
}

static struct amb_store_request *request_new(struct amb_store *store, const char *method,
                                             enum amb_store_priority priority, amb_store_callback on_done,
                                             void *arg) {
    struct amb_store_request *request = amb_alloc(sizeof *request);
    request->store = store;
    snprintf(request->method, sizeof request->method, "%s", method);
    request->timeout = store->call_timeout;
    request->priority = priority;
    request->on_done = on_done;
    request->arg = arg;
    return request;
}

static void request_enqueue(struct amb_store_request *request) {
    struct amb_store *store = request->store;
    enum amb_store_priority priority = request->priority;
    request->next = NULL;
    if (store->queue_tail[priority])
        store->queue_tail[priority]->next = request;
    else
        store->queue_head[priority] = request;
    store->queue_tail[priority] = request;
    dispatch(store);
}

void amb_store_init(struct amb_store *store, const struct amb_settings *settings, amb_ms call_timeout) {
    memset(store, 0, sizeof *store);
    strcpy(store->address, settings->store_addr);
    store->requests_per_second = settings->store_rps;
    store->writes_per_second = settings->store_write_rps;
    store->lowered_writes_per_second = amb_settings_lowered_limits(settings).write_rps;
    store->member_count = settings->peer_count + 1;
    store->call_timeout = call_timeout;
    store->request_bucket.tokens = store->requests_per_second / store->member_count;
    store->write_bucket.tokens = store->writes_per_second / store->member_count;
    store->user_write_bucket.tokens = store->writes_per_second * 0.5;
    amb_store_set_leadership(store, false);
}

/* The leader's share of all writes, and that of all nodes for what they write as followers. */
static const double LEADER_WRITE_SHARE = 0.5, FOLLOWER_WRITE_SHARE = 0.5;

/* What holders of duties may write together, taken from the followers' share, so that the sum of all shares
 * stays what it is without duties. Parted among the nodes alike, the two writes of a rental waited 2 s for
 * tokens at its holder, while nobody else needed the others'. */
static const double DUTY_HOLDER_WRITE_SHARE = 0.5;

static double write_share(const struct amb_store *store) {
    double follower = FOLLOWER_WRITE_SHARE / store->member_count;
    double others = FOLLOWER_WRITE_SHARE - follower; /* of all nodes but the leader */
    if (!store->duties_in_use) return store->is_leader ? LEADER_WRITE_SHARE : follower;
    double base = store->is_leader ? LEADER_WRITE_SHARE : follower * (1 - DUTY_HOLDER_WRITE_SHARE);
    return base + others * DUTY_HOLDER_WRITE_SHARE * store->duty_share;
}

void amb_store_set_leadership(struct amb_store *store, bool is_leader) {
    /* Requests: half of what there is goes to the leader, the other half to the other nodes alike. Writes:
     * half is for users, whichever node they come to, and half for what the leader records. */
    store->is_leader = is_leader;
    double share = store->member_count == 1 ? 1.0 : is_leader ? 0.5 : 0.5 / (store->member_count - 1);
    amb_token_bucket_set_rate(&store->request_bucket, store->requests_per_second * share);
    amb_token_bucket_set_rate(&store->write_bucket, store->writes_per_second * write_share(store));
    amb_token_bucket_set_rate(&store->user_write_bucket, store->writes_per_second * 0.5);
}

void amb_store_set_duty_share(struct amb_store *store, bool in_use, double share) {
    if (store->duties_in_use == in_use && store->duty_share == share) return;
    refill_buckets(store); /* what has passed counts at the old rate */
    store->duties_in_use = in_use;
    store->duty_share = share;
    amb_store_set_leadership(store, store->is_leader);
}

void amb_store_lower_limits(struct amb_store *store, const char *evidence) {
    if (store->limits_lowered) return;
    store->limits_lowered = true;
    amb_info("state service: limits lowered, %g instead of %g changes a second: %s",
             store->lowered_writes_per_second, store->writes_per_second, evidence);
    store->writes_per_second = store->lowered_writes_per_second;
    amb_store_set_leadership(store, store->is_leader);
}

bool amb_store_can_write_for_user(struct amb_store *store, uint32_t write_count, double reserved_share) {
    refill_buckets(store);
    return amb_now() >= store->throttled_until && !store->queue_head[AMB_STORE_PRIORITY_USER] &&
           !amb_token_bucket_delay(&store->request_bucket, 1) &&
           !user_write_delay(store, write_count, reserved_share);
}

void amb_store_get(struct amb_store *store, const char *key, enum amb_store_priority priority,
                   amb_store_callback on_done, void *arg) {
    struct amb_store_request *request = request_new(store, "GET", priority, on_done, arg);
    snprintf(request->path, sizeof request->path, "/store/%s", key);
    request_enqueue(request);
}

void amb_store_list(struct amb_store *store, const char *prefix, const char *after,
                    amb_store_callback on_done, void *arg) {
    struct amb_store_request *request = request_new(store, "GET", AMB_STORE_PRIORITY_WATCH, on_done, arg);
    request->timeout *= 3; /* up to 512 KiB */
    if (after && *after)
        snprintf(request->path, sizeof request->path, "/store?prefix=%s&after=%s&most=200", prefix, after);
    else
        snprintf(request->path, sizeof request->path, "/store?prefix=%s&most=200", prefix);
    request_enqueue(request);
}

void amb_store_watch(struct amb_store *store, const char *prefix, uint64_t after, amb_ms wait,
                     amb_store_bytes_callback on_done, void *arg) {
    struct amb_store_request *request = request_new(store, "GET", AMB_STORE_PRIORITY_WATCH, NULL, arg);
    request->on_bytes = on_done;
    request->timeout += wait;
    snprintf(request->path, sizeof request->path, "/follow?prefix=%s&after=%llu&wait_ms=%lld", prefix,
             (unsigned long long)after, (long long)wait);
    request_enqueue(request);
}

void amb_store_commit(struct amb_store *store, struct amb_txn *transaction, enum amb_store_priority priority,
                      amb_store_callback on_done, void *arg) {
    struct amb_store_request *request = request_new(store, "POST", priority, on_done, arg);
    strcpy(request->path, "/commit");
    request->write_count = transaction->operation_count;
    amb_cbor_write_map(&request->body, 2);
    amb_cbor_write_string(&request->body, "guards");
    amb_cbor_write_list(&request->body, transaction->compare_count);
    amb_buf_append(&request->body, transaction->compares.data, transaction->compares.len);
    amb_cbor_write_string(&request->body, "then");
    amb_cbor_write_list(&request->body, transaction->operation_count);
    amb_buf_append(&request->body, transaction->operations.data, transaction->operations.len);
    amb_buf_free(&transaction->compares);
    amb_buf_free(&transaction->operations);
    memset(transaction, 0, sizeof *transaction);
    request_enqueue(request);
}

void amb_store_grant_lease(struct amb_store *store, amb_ms ttl, amb_store_callback on_done, void *arg) {
    struct amb_store_request *request = request_new(store, "POST", AMB_STORE_PRIORITY_LEASE, on_done, arg);
    strcpy(request->path, "/leases");
    amb_cbor_write_map(&request->body, 1);
    amb_cbor_write_string(&request->body, "ttl_ms");
    amb_cbor_write_uint(&request->body, (uint64_t)ttl);
    request_enqueue(request);
}

void amb_store_renew_lease(struct amb_store *store, uint64_t lease_id, amb_store_callback on_done,
                           void *arg) {
    struct amb_store_request *request = request_new(store, "POST", AMB_STORE_PRIORITY_LEASE, on_done, arg);
    snprintf(request->path, sizeof request->path, "/leases/%llu/extend", (unsigned long long)lease_id);
    request_enqueue(request);
}

void amb_store_revoke_lease(struct amb_store *store, uint64_t lease_id) {
    struct amb_store_request *request = request_new(store, "DELETE", AMB_STORE_PRIORITY_LEASE, NULL, NULL);
    snprintf(request->path, sizeof request->path, "/leases/%llu", (unsigned long long)lease_id);
    request_enqueue(request);
}
