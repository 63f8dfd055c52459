/* Queue of requests to the key-value store, with one list per priority. Sends each request as soon as there
 * are tokens for it and delivers its answer. */
#include "internal.h"

#include "amberpin/http/http.h"
#include "amberpin/kvstore/token_budget.h"

#include <stdlib.h>

static const char CONTENT_TYPE[] = "application/cbor";

/* After "too many requests" nothing is sent for this fraction (1/n) of the call timeout. */
enum { THROTTLES_PER_CALL_TIMEOUT = 4 };

/* Share of one second's request tokens that watch reads leave unused. One read serves all callers that wait
 * for it, so a short delay costs little. Without the reserve a follower had no request token for one
 * submission in three while many short jobs started and ended, or while users sent many times as many
 * requests as usual. */
static const double WATCH_RESERVED_SHARE = 0.25;

struct amb_store_request *store_request_new(struct amb_store *store, enum amb_store_priority priority,
                                            amb_store_callback on_done, void *arg) {
    struct amb_store_request *request = amb_alloc(sizeof *request);
    request->store = store;
    request->timeout = store->call_timeout;
    request->priority = priority;
    request->on_done = on_done;
    request->arg = arg;
    return request;
}

static void request_free(struct amb_store_request *request) {
    amb_buf_free(&request->message.body);
    free(request);
}

/* ---- answers ---- */

static void update_health(struct amb_store *store, int status, amb_ms now) {
    if (status == AMB_KVSTORE_STATUS_TOO_MANY_REQUESTS)
        store->throttled_until = now + store->call_timeout / THROTTLES_PER_CALL_TIMEOUT;
    else if (status == AMB_KVSTORE_STATUS_NO_ANSWER || status == AMB_KVSTORE_STATUS_UNAVAILABLE)
        store->last_failure_at = now;
    else
        store->last_success_at = now;
}

static void complete_user_write(struct amb_store *store, const struct amb_store_request *request,
                                int status) {
    if (request->priority != AMB_STORE_PRIORITY_USER) return;
    store->pending_user_writes -= request->write_count;
    /* A successful write is counted when the watch reports it. */
    if (status != AMB_KVSTORE_STATUS_OK) store->user_write_bucket.tokens -= request->write_count;
}

static void deliver_parsed(struct amb_store_request *request, int status, const char *body, size_t len) {
    const struct amb_cbor_item *item = len ? amb_cbor_parse(body, len) : NULL;
    /* An unreadable answer proves nothing about what was done. */
    if (status == AMB_KVSTORE_STATUS_OK && !item) status = AMB_KVSTORE_STATUS_NO_ANSWER;
    if (request->on_done) request->on_done(request->arg, status, item);
}

static void deliver(struct amb_store_request *request, int status, const char *body, size_t len) {
    if (request->on_bytes) {
        request->on_bytes(request->arg, status, body, len);
        return;
    }
    /* Only a watch is told that its answer was too large, because it must then list all keys instead. For any
     * other call the outcome is unknown. */
    if (status == AMB_HTTP_RESPONSE_TOO_LARGE) status = AMB_KVSTORE_STATUS_NO_ANSWER;
    deliver_parsed(request, status, body, len);
}

static void on_response(void *arg, int status, const char *body, size_t len) {
    struct amb_store_request *request = arg;
    struct amb_store *store = request->store;
    update_health(store, status, amb_now());
    if (status == AMB_KVSTORE_STATUS_TOO_MANY_REQUESTS && request->write_count)
        amb_store_lower_limits(store, "write refused with too many requests");
    complete_user_write(store, request, status);
    deliver(request, status, body, len);
    request_free(request);
}

/* ---- sending ---- */

static void request_send(struct amb_store_request *request) {
    struct amb_store *store = request->store;
    const struct amb_kvstore_message *message = &request->message;
    store->request_bucket.tokens -= 1;
    if (request->priority == AMB_STORE_PRIORITY_USER)
        store->pending_user_writes += request->write_count;
    else
        store->write_bucket.tokens -= request->write_count;
    amb_http_call(store->address, message->method, message->path, CONTENT_TYPE, message->body.data,
                  message->body.len, request->timeout, on_response, request);
}

static amb_ms longer_of(amb_ms first, amb_ms second) {
    return first > second ? first : second;
}

static amb_ms request_delay(const struct amb_store *store, const struct amb_store_request *request) {
    bool is_watch = request->priority == AMB_STORE_PRIORITY_WATCH;
    double reserved = is_watch ? store->request_bucket.tokens_per_second * WATCH_RESERVED_SHARE : 0;
    return amb_token_bucket_delay(&store->request_bucket, 1 + reserved);
}

static amb_ms write_delay(const struct amb_store *store, const struct amb_store_request *request) {
    if (!request->write_count) return 0;
    if (request->priority == AMB_STORE_PRIORITY_USER)
        return store_user_write_delay(store, request->write_count, 0);
    return amb_token_bucket_delay(&store->write_bucket, request->write_count);
}

/* How long until the request may be sent; 0: now. */
static amb_ms dispatch_delay(const struct amb_store *store, const struct amb_store_request *request,
                             amb_ms now) {
    if (request->priority == AMB_STORE_PRIORITY_LEASE) return 0; /* leases never wait for tokens */
    amb_ms delay = longer_of(request_delay(store, request), write_delay(store, request));
    return longer_of(delay, store->throttled_until - now);
}

static struct amb_store_request *dequeue(struct amb_store *store, enum amb_store_priority priority) {
    struct amb_store_request *request = store->queue_head[priority];
    store->queue_head[priority] = request->next;
    if (!request->next) store->queue_tail[priority] = NULL;
    return request;
}

/* State of one pass over the queues, from the most urgent class to the least. */
struct dispatch_pass {
    amb_ms now;
    amb_ms next_attempt_in; /* 0: no request waits for tokens */
    bool own_write_waits;   /* a write other than a user's waits in a more urgent class */
};

static void record_delay(struct dispatch_pass *pass, const struct amb_store_request *request, amb_ms delay) {
    if (!pass->next_attempt_in || delay < pass->next_attempt_in) pass->next_attempt_in = delay;
    if (request->write_count && request->priority != AMB_STORE_PRIORITY_USER) pass->own_write_waits = true;
}

/* Sends the requests of a class in order until one has to wait. A read of a later class may overtake a
 * waiting write. */
static void dispatch_class(struct amb_store *store, enum amb_store_priority priority,
                           struct dispatch_pass *pass) {
    while (store->queue_head[priority]) {
        const struct amb_store_request *request = store->queue_head[priority];
        /* Otherwise small writes would use each token as it is added, and a larger write would never get
         * enough: the final states of jobs were recorded minutes late while placements continued. */
        if (pass->own_write_waits && request->write_count) return;
        amb_ms delay = dispatch_delay(store, request, pass->now);
        if (delay > 0) {
            record_delay(pass, request, delay);
            return;
        }
        request_send(dequeue(store, priority));
    }
}

static void on_dispatch_timer(void *arg) {
    store_dispatch(arg);
}

void store_dispatch(struct amb_store *store) {
    struct dispatch_pass pass = {.now = amb_now()};
    store_refill_buckets(store);
    for (int priority = 0; priority < AMB_STORE_PRIORITIES; priority++)
        dispatch_class(store, (enum amb_store_priority)priority, &pass);
    if (pass.next_attempt_in)
        amb_timer_set_after(&store->dispatch_timer, pass.next_attempt_in, on_dispatch_timer, store);
}

void store_request_enqueue(struct amb_store_request *request) {
    struct amb_store *store = request->store;
    struct amb_store_request *tail = store->queue_tail[request->priority];
    request->next = NULL;
    if (tail)
        tail->next = request;
    else
        store->queue_head[request->priority] = request;
    store->queue_tail[request->priority] = request;
    store_dispatch(store);
}

bool store_has_own_write_waiting(const struct amb_store *store) {
    for (int priority = AMB_STORE_PRIORITY_FINAL_STATE; priority < AMB_STORE_PRIORITIES; priority++)
        for (const struct amb_store_request *request = store->queue_head[priority]; request;
             request = request->next)
            if (request->write_count) return true;
    return false;
}
