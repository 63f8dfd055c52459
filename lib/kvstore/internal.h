/* What the files of the key-value store's client share: the token budgets that the queue of requests asks,
 * and the queue that calls go through. */
#ifndef AMBERPIN_KVSTORE_INTERNAL_H
#define AMBERPIN_KVSTORE_INTERNAL_H

#include "amberpin/codec/kvstore_messages.h"
#include "amberpin/kvstore/client.h"

/* ---- token_budget.c ---- */

/* Fills the buckets, with the rates of a follower. */
void store_init_buckets(struct amb_store *store);

/* Adds to all buckets what they have gained until now. */
void store_refill_buckets(struct amb_store *store);

/* How long until the users' bucket has tokens for the writes, and keeps the reserved part of itself (0 to 1).
 */
amb_ms store_user_write_delay(const struct amb_store *store, uint32_t write_count, double reserved_share);

/* ---- request_queue.c ---- */

/* A call that waits for tokens or for its answer. The queue frees it once it is answered. */
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

/* A request without a message yet, with the usual timeout. */
struct amb_store_request *store_request_new(struct amb_store *store, enum amb_store_priority priority,
                                            amb_store_callback on_done, void *arg);

/* Queues the request, which is the queue's from now on, and sends what may be sent. */
void store_request_enqueue(struct amb_store_request *request);

/* Sends what there are tokens for. */
void store_dispatch(struct amb_store *store);

/* Does a write wait for tokens that is not a user's? */
bool store_has_own_write_waiting(const struct amb_store *store);

#endif
