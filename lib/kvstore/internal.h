/* Declarations shared by the files of the key-value store's client: the token budgets and the request queue.
 */
#ifndef AMBERPIN_KVSTORE_INTERNAL_H
#define AMBERPIN_KVSTORE_INTERNAL_H

#include "amberpin/codec/kvstore_messages.h"
#include "amberpin/kvstore/client.h"

/* ---- token_budget.c ---- */

/* Sets the buckets to the rates of a follower, and their initial tokens to an equal share of one second's. */
void store_init_buckets(struct amb_store *store);

/* Adds to all buckets the tokens gained since their last refill. */
void store_refill_buckets(struct amb_store *store);

/* How long until the users' bucket has tokens for the writes in addition to the reserved share of itself (0
 * to 1). */
amb_ms store_user_write_delay(const struct amb_store *store, uint32_t write_count, double reserved_share);

/* ---- request_queue.c ---- */

/* A call that waits for tokens or for its answer. The queue frees it when it has been answered. */
struct amb_store_request {
    struct amb_store_request *next;
    struct amb_store *store;
    struct amb_kvstore_message message;
    uint32_t write_count; /* puts and removes */
    amb_ms timeout;
    enum amb_store_priority priority;
    amb_store_callback on_done;        /* NULL: the answer is dropped */
    amb_store_bytes_callback on_bytes; /* instead of on_done: the answer is not parsed */
    void *arg;
};

/* Allocates a request with the default timeout; the caller encodes its message. */
struct amb_store_request *store_request_new(struct amb_store *store, enum amb_store_priority priority,
                                            amb_store_callback on_done, void *arg);

/* Queues the request, which the queue then owns, and sends what may be sent. */
void store_request_enqueue(struct amb_store_request *request);

/* Sends the queued requests for which there are tokens. */
void store_dispatch(struct amb_store *store);

/* Whether a write other than a user's waits for tokens. */
bool store_has_own_write_waiting(const struct amb_store *store);

#endif
