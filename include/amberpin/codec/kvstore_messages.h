/* Requests to the key-value store and its responses. The methods, paths and fields of its HTTP interface
 * appear only in this codec (change_page.c reads its pages of changes); other code deals with revisions,
 * compares, leases and entries. */
#ifndef AMBERPIN_KVSTORE_MESSAGES_H
#define AMBERPIN_KVSTORE_MESSAGES_H

#include "amberpin/base/util.h"

#include "amberpin/codec/cbor_item.h"

/* HTTP statuses of the store's responses that its client distinguishes. */
enum amb_kvstore_status {
    AMB_KVSTORE_STATUS_NO_ANSWER = 0, /* in place of a status: no response arrived in time */
    AMB_KVSTORE_STATUS_OK = 200,
    AMB_KVSTORE_STATUS_NOT_FOUND = 404,         /* no such key or lease */
    AMB_KVSTORE_STATUS_CONFLICT = 409,          /* a compare of the transaction failed */
    AMB_KVSTORE_STATUS_TOO_MANY_REQUESTS = 429, /* over the limit of requests or changes per second */
    AMB_KVSTORE_STATUS_UNAVAILABLE = 503,       /* the request was not carried out */
};

enum { AMB_KVSTORE_PATH_SIZE = 320 };

/* One HTTP request, which owns its body. */
struct amb_kvstore_message {
    const char *method; /* static text */
    char path[AMB_KVSTORE_PATH_SIZE];
    struct amb_buf body; /* CBOR; empty: none */
};

/* ---- requests; each function fills an empty message ---- */

/* Reads one key. */
void amb_kvstore_encode_get(const char *key, struct amb_kvstore_message *message);

/* Lists a page of the keys with a prefix, in order. `after` is the last key of the previous page; NULL or
 * empty requests the first page. */
void amb_kvstore_encode_list(const char *prefix, const char *after, struct amb_kvstore_message *message);

/* Requests the changes after a store revision. The store responds when there are any, or after `wait`. */
void amb_kvstore_encode_watch(const char *prefix, uint64_t after, amb_ms wait,
                              struct amb_kvstore_message *message);

/* Commits a transaction. The functions below encode its compares and operations one after another. */
void amb_kvstore_encode_commit(const struct amb_buf *compares, uint32_t compare_count,
                               const struct amb_buf *operations, uint32_t operation_count,
                               struct amb_kvstore_message *message);

void amb_kvstore_encode_grant_lease(amb_ms ttl, struct amb_kvstore_message *message);
void amb_kvstore_encode_renew_lease(uint64_t lease_id, struct amb_kvstore_message *message);
void amb_kvstore_encode_revoke_lease(uint64_t lease_id, struct amb_kvstore_message *message);

/* ---- parts of a transaction; each function appends one ---- */

/* The transaction commits only if the key has this revision; 0: only if the key does not exist. */
void amb_kvstore_encode_compare(const char *key, uint64_t revision, struct amb_buf *compares);

/* Sets a key to a CBOR value. lease_id 0: the key has no lease. */
void amb_kvstore_encode_put(const char *key, const struct amb_buf *value, uint64_t lease_id,
                            struct amb_buf *operations);

void amb_kvstore_encode_remove(const char *key, struct amb_buf *operations);

/* ---- successful responses; each function returns false and sets nothing if the body is malformed ---- */

/* A key that was read. The value is borrowed from the body. */
struct amb_kvstore_entry {
    const struct amb_cbor_item *value;
    uint64_t revision;
};

bool amb_kvstore_decode_entry(const struct amb_cbor_item *body, struct amb_kvstore_entry *entry);
/* Reads the store revision of a commit, which is the revision of every key that it has put. */
bool amb_kvstore_decode_commit(const struct amb_cbor_item *body, uint64_t *revision);
bool amb_kvstore_decode_lease(const struct amb_cbor_item *body, uint64_t *lease_id);

/* ---- the response to a transaction that was rejected for a conflict ---- */

/* Whether the compare on this key failed. */
bool amb_kvstore_conflict_is_on(const struct amb_cbor_item *body, const char *key);

#endif
