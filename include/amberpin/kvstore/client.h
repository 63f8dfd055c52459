/* Client of the consensus-backed key-value store. Every call is queued by priority until tokens are
 * available, is sent once, and is answered exactly once through its callback, from the event loop. */
#ifndef AMBERPIN_KVSTORE_CLIENT_H
#define AMBERPIN_KVSTORE_CLIENT_H

#include "amberpin/codec/messages.h"
#include "amberpin/kvstore/responses.h"
#include "amberpin/kvstore/store.h"
#include "amberpin/kvstore/transaction.h"

/* Receives the answer to a call: its HTTP status and its body, which is valid only during the callback (NULL:
 * none). Status 0: there was no readable answer, so the request may have been carried out, or may still be.
 * responses.h converts status and body into typed results. */
typedef void (*amb_store_callback)(void *arg, int status, const struct amb_cbor_item *body);

/* The same with the unparsed bytes of the body, for answers that can be large. */
typedef void (*amb_store_bytes_callback)(void *arg, int status, const void *body, size_t len);

/* Initializes the connection with a follower's share of the rates that the settings allow. */
void amb_store_init(struct amb_store *store, const struct amb_settings *settings, amb_ms call_timeout);

/* Reads one key. */
void amb_store_get(struct amb_store *store, const char *key, enum amb_store_priority priority,
                   amb_store_callback on_done, void *arg);

/* Lists one page of the keys with a prefix. `after`: the last key of the previous page; NULL or empty for the
 * first page. */
void amb_store_list(struct amb_store *store, const char *prefix, const char *after,
                    amb_store_callback on_done, void *arg);

/* Watches a prefix for all changes after a store revision. Answered when there are any, or after `wait`. */
void amb_store_watch(struct amb_store *store, const char *prefix, uint64_t after, amb_ms wait,
                     amb_store_bytes_callback on_done, void *arg);

/* Commits a transaction and resets it to empty. */
void amb_store_commit(struct amb_store *store, struct amb_txn *transaction, enum amb_store_priority priority,
                      amb_store_callback on_done, void *arg);

/* Leases. Keys attached to a lease are removed when it is revoked or has not been renewed for its time to
 * live. */
void amb_store_grant_lease(struct amb_store *store, amb_ms ttl, amb_store_callback on_done, void *arg);
void amb_store_renew_lease(struct amb_store *store, uint64_t lease_id, amb_store_callback on_done, void *arg);
/* The outcome is not reported: a lease that could not be revoked expires. */
void amb_store_revoke_lease(struct amb_store *store, uint64_t lease_id);

#endif
