/* Client of the consensus-backed key-value store. Every call is queued by its priority until there are tokens
 * for it, is sent once, and is answered exactly once through its callback, from the event loop. */
#ifndef AMBERPIN_KVSTORE_CLIENT_H
#define AMBERPIN_KVSTORE_CLIENT_H

#include "amberpin/codec/messages.h"
#include "amberpin/kvstore/responses.h"
#include "amberpin/kvstore/store.h"
#include "amberpin/kvstore/transaction.h"

/* The answer to a call: its HTTP status, and its body while the callback runs; NULL: none. Status 0: no
 * answer that can be read, so the request may have been carried out, or may be later. responses.h turns both
 * into results. */
typedef void (*amb_store_callback)(void *arg, int status, const cbor_item_t *body);

/* The same with the body's bytes unparsed, for answers that can be large. */
typedef void (*amb_store_bytes_callback)(void *arg, int status, const void *body, size_t len);

/* Starts with a follower's share of what the settings allow. */
void amb_store_init(struct amb_store *store, const struct amb_settings *settings, amb_ms call_timeout);

/* Reads one key. */
void amb_store_get(struct amb_store *store, const char *key, enum amb_store_priority priority,
                   amb_store_callback on_done, void *arg);

/* Lists a page of the keys with a prefix; `after`: the last key of the page before, NULL or empty for the
 * first page. */
void amb_store_list(struct amb_store *store, const char *prefix, const char *after,
                    amb_store_callback on_done, void *arg);

/* Asks for all changes after a store revision; answered when there are any, or after `wait`. */
void amb_store_watch(struct amb_store *store, const char *prefix, uint64_t after, amb_ms wait,
                     amb_store_bytes_callback on_done, void *arg);

/* Commits a transaction, and empties it. */
void amb_store_commit(struct amb_store *store, struct amb_txn *transaction, enum amb_store_priority priority,
                      amb_store_callback on_done, void *arg);

/* Leases: keys that are put on one are removed when it is revoked, or not renewed for its time to live. */
void amb_store_grant_lease(struct amb_store *store, amb_ms ttl, amb_store_callback on_done, void *arg);
void amb_store_renew_lease(struct amb_store *store, uint64_t lease_id, amb_store_callback on_done, void *arg);
/* Without an answer: a lease that could not be revoked expires. */
void amb_store_revoke_lease(struct amb_store *store, uint64_t lease_id);

#endif
