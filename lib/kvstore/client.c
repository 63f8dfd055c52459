/* The calls of the client. Each one encodes a message and queues it by its priority. */
#include "amberpin/kvstore/client.h"

#include "internal.h"

#include <string.h>

/* A page of a listing can be 512 KiB long, so its timeout is this multiple of the call timeout. */
enum { LIST_TIMEOUT_FACTOR = 3 };

void amb_store_init(struct amb_store *store, const struct amb_settings *settings, amb_ms call_timeout) {
    memset(store, 0, sizeof *store);
    strcpy(store->address, settings->store_addr);
    store->requests_per_second = settings->store_rps;
    store->writes_per_second = settings->store_write_rps;
    store->lowered_writes_per_second = amb_settings_lowered_limits(settings).write_rps;
    store->member_count = settings->peer_count + 1;
    store->call_timeout = call_timeout;
    store_init_buckets(store);
}

void amb_store_get(struct amb_store *store, const char *key, enum amb_store_priority priority,
                   amb_store_callback on_done, void *arg) {
    struct amb_store_request *request = store_request_new(store, priority, on_done, arg);
    amb_kvstore_encode_get(key, &request->message);
    store_request_enqueue(request);
}

void amb_store_list(struct amb_store *store, const char *prefix, const char *after,
                    amb_store_callback on_done, void *arg) {
    struct amb_store_request *request = store_request_new(store, AMB_STORE_PRIORITY_WATCH, on_done, arg);
    request->timeout *= LIST_TIMEOUT_FACTOR;
    amb_kvstore_encode_list(prefix, after, &request->message);
    store_request_enqueue(request);
}

void amb_store_watch(struct amb_store *store, const char *prefix, uint64_t after, amb_ms wait,
                     amb_store_bytes_callback on_done, void *arg) {
    struct amb_store_request *request = store_request_new(store, AMB_STORE_PRIORITY_WATCH, NULL, arg);
    request->on_bytes = on_done;
    request->timeout += wait;
    amb_kvstore_encode_watch(prefix, after, wait, &request->message);
    store_request_enqueue(request);
}

void amb_store_commit(struct amb_store *store, struct amb_txn *transaction, enum amb_store_priority priority,
                      amb_store_callback on_done, void *arg) {
    struct amb_store_request *request = store_request_new(store, priority, on_done, arg);
    request->write_count = transaction->operation_count;
    amb_kvstore_encode_commit(&transaction->compares, transaction->compare_count, &transaction->operations,
                              transaction->operation_count, &request->message);
    amb_buf_free(&transaction->compares);
    amb_buf_free(&transaction->operations);
    memset(transaction, 0, sizeof *transaction);
    store_request_enqueue(request);
}

void amb_store_grant_lease(struct amb_store *store, amb_ms ttl, amb_store_callback on_done, void *arg) {
    struct amb_store_request *request = store_request_new(store, AMB_STORE_PRIORITY_LEASE, on_done, arg);
    amb_kvstore_encode_grant_lease(ttl, &request->message);
    store_request_enqueue(request);
}

void amb_store_renew_lease(struct amb_store *store, uint64_t lease_id, amb_store_callback on_done,
                           void *arg) {
    struct amb_store_request *request = store_request_new(store, AMB_STORE_PRIORITY_LEASE, on_done, arg);
    amb_kvstore_encode_renew_lease(lease_id, &request->message);
    store_request_enqueue(request);
}

void amb_store_revoke_lease(struct amb_store *store, uint64_t lease_id) {
    struct amb_store_request *request = store_request_new(store, AMB_STORE_PRIORITY_LEASE, NULL, NULL);
    amb_kvstore_encode_revoke_lease(lease_id, &request->message);
    store_request_enqueue(request);
}
