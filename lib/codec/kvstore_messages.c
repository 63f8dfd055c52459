/* Encodes requests to the key-value store's HTTP interface and decodes its responses. */
#include "amberpin/codec/kvstore_messages.h"

#include "amberpin/codec/cbor_item.h"
#include "amberpin/codec/cbor_writer.h"

#include <stdio.h>

enum { LIST_PAGE_ENTRIES = 200 };

static const char METHOD_GET[] = "GET";
static const char METHOD_POST[] = "POST";
static const char METHOD_DELETE[] = "DELETE";

static const char FIELD_KEY[] = "path";
static const char FIELD_KEY_REVISION[] = "stamp";
static const char FIELD_STORE_REVISION[] = "epoch";
static const char FIELD_VALUE[] = "value";
static const char FIELD_LEASE[] = "tenure";
static const char FIELD_FAILED_COMPARES[] = "failed";
static const char FIELD_LEASE_TTL_MS[] = "ttl_ms";
static const char FIELD_COMPARES[] = "guards";
static const char FIELD_OPERATIONS[] = "then";
static const char FIELD_PUT[] = "put";
static const char FIELD_REMOVE[] = "remove";

/* ---- requests ---- */

void amb_kvstore_encode_get(const char *key, struct amb_kvstore_message *message) {
    message->method = METHOD_GET;
    snprintf(message->path, sizeof message->path, "/store/%s", key);
}

void amb_kvstore_encode_list(const char *prefix, const char *after, struct amb_kvstore_message *message) {
    message->method = METHOD_GET;
    if (after && *after)
        snprintf(message->path, sizeof message->path, "/store?prefix=%s&after=%s&most=%d", prefix, after,
                 LIST_PAGE_ENTRIES);
    else
        snprintf(message->path, sizeof message->path, "/store?prefix=%s&most=%d", prefix, LIST_PAGE_ENTRIES);
}

void amb_kvstore_encode_watch(const char *prefix, uint64_t after, amb_ms wait,
                              struct amb_kvstore_message *message) {
    message->method = METHOD_GET;
    snprintf(message->path, sizeof message->path, "/follow?prefix=%s&after=%llu&wait_ms=%lld", prefix,
             (unsigned long long)after, (long long)wait);
}

void amb_kvstore_encode_commit(const struct amb_buf *compares, uint32_t compare_count,
                               const struct amb_buf *operations, uint32_t operation_count,
                               struct amb_kvstore_message *message) {
    struct amb_buf *body = &message->body;
    message->method = METHOD_POST;
    snprintf(message->path, sizeof message->path, "/commit");
    amb_cbor_write_map(body, 2);
    amb_cbor_write_string(body, FIELD_COMPARES);
    amb_cbor_write_list(body, compare_count);
    amb_buf_append(body, compares->data, compares->len);
    amb_cbor_write_string(body, FIELD_OPERATIONS);
    amb_cbor_write_list(body, operation_count);
    amb_buf_append(body, operations->data, operations->len);
}

void amb_kvstore_encode_grant_lease(amb_ms ttl, struct amb_kvstore_message *message) {
    message->method = METHOD_POST;
    snprintf(message->path, sizeof message->path, "/leases");
    amb_cbor_write_map(&message->body, 1);
    amb_cbor_write_string(&message->body, FIELD_LEASE_TTL_MS);
    amb_cbor_write_uint(&message->body, (uint64_t)ttl);
}

void amb_kvstore_encode_renew_lease(uint64_t lease_id, struct amb_kvstore_message *message) {
    message->method = METHOD_POST;
    snprintf(message->path, sizeof message->path, "/leases/%llu/extend", (unsigned long long)lease_id);
}

void amb_kvstore_encode_revoke_lease(uint64_t lease_id, struct amb_kvstore_message *message) {
    message->method = METHOD_DELETE;
    snprintf(message->path, sizeof message->path, "/leases/%llu", (unsigned long long)lease_id);
}

/* ---- parts of a transaction ---- */

void amb_kvstore_encode_compare(const char *key, uint64_t revision, struct amb_buf *compares) {
    amb_cbor_write_map(compares, 2);
    amb_cbor_write_string(compares, FIELD_KEY);
    amb_cbor_write_string(compares, key);
    amb_cbor_write_string(compares, FIELD_KEY_REVISION);
    amb_cbor_write_uint(compares, revision);
}

void amb_kvstore_encode_put(const char *key, const struct amb_buf *value, uint64_t lease_id,
                            struct amb_buf *operations) {
    amb_cbor_write_map(operations, lease_id ? 3 : 2);
    amb_cbor_write_string(operations, FIELD_PUT);
    amb_cbor_write_string(operations, key);
    amb_cbor_write_string(operations, FIELD_VALUE);
    amb_buf_append(operations, value->data, value->len);
    if (!lease_id) return;
    amb_cbor_write_string(operations, FIELD_LEASE);
    amb_cbor_write_uint(operations, lease_id);
}

void amb_kvstore_encode_remove(const char *key, struct amb_buf *operations) {
    amb_cbor_write_map(operations, 1);
    amb_cbor_write_string(operations, FIELD_REMOVE);
    amb_cbor_write_string(operations, key);
}

/* ---- answers ---- */

bool amb_kvstore_decode_entry(const struct amb_cbor_item *body, struct amb_kvstore_entry *entry) {
    if (!amb_cbor_get_uint(amb_cbor_map_get(body, FIELD_KEY_REVISION), &entry->revision)) return false;
    entry->value = amb_cbor_map_get(body, FIELD_VALUE);
    return true;
}

bool amb_kvstore_decode_commit(const struct amb_cbor_item *body, uint64_t *revision) {
    return amb_cbor_get_uint(amb_cbor_map_get(body, FIELD_STORE_REVISION), revision);
}

bool amb_kvstore_decode_lease(const struct amb_cbor_item *body, uint64_t *lease_id) {
    return amb_cbor_get_uint(amb_cbor_map_get(body, FIELD_LEASE), lease_id);
}

bool amb_kvstore_conflict_is_on(const struct amb_cbor_item *body, const char *key) {
    struct amb_cbor_cursor failed = amb_cbor_list_begin(amb_cbor_map_get(body, FIELD_FAILED_COMPARES));
    const struct amb_cbor_item *failed_key;
    while ((failed_key = amb_cbor_next(&failed)) != NULL)
        if (amb_cbor_equals(failed_key, key)) return true;
    return false;
}
