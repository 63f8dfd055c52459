/* Applies changes of keys: each change goes to the module that handles this kind of key. */
#include "amberpin/base/log.h"
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/node.h"
#include "internal.h"

#include <string.h>

const char AMB_WATCHED_PREFIX[] = "a/";

static const char JOB_PREFIX[] = "a/job/";
static const char FORMAT_KEY[] = "a/format";
static const char LEASE_PROXY_PREFIX[] = "a/deputy/";
static const char DUTY_PREFIX[] = "a/duty";
static const char DUTY_INTENT_PREFIX[] = "a/order/";

/* Returns the part after the prefix, or NULL if the key does not begin with it. */
static const char *strip_prefix(const char *key, const char *prefix) {
    size_t len = strlen(prefix);
    return strncmp(key, prefix, len) ? NULL : key + len;
}

static bool is_duty_key(const char *key) {
    return strip_prefix(key, DUTY_PREFIX) || strip_prefix(key, DUTY_INTENT_PREFIX);
}

void amb_watch_apply_key(struct amb_node *node, const char *key, const struct amb_cbor_item *value,
                         uint64_t revision) {
    const struct amb_key_change change = {.key = key, .value = value, .revision = revision};
    const char *zone = strip_prefix(key, LEASE_PROXY_PREFIX);
    const char *ref = strip_prefix(key, JOB_PREFIX);
    if (!strcmp(key, AMB_LEADER_KEY))
        amb_election_apply_key(node, value, revision);
    else if (!strcmp(key, FORMAT_KEY))
        amb_format_apply_key(node, value);
    else if (zone)
        amb_lease_proxy_apply_key(node, zone, value, revision);
    else if (ref)
        amb_jobs_apply_item(node, ref, value, revision);
    else if (is_duty_key(key))
        amb_event_post(node, &(struct amb_event){.type = AMB_EVENT_DUTY_KEY_CHANGED, .change = change});
}

/* Values of jobs make up most of a page, so they are parsed only if their revision is newer than the known
 * one. */
static void apply_change(void *context, const struct amb_change *change) {
    struct amb_node *node = context;
    const char *ref = strip_prefix(change->key, JOB_PREFIX);
    if (ref) {
        amb_jobs_apply_bytes(node, ref, change->value, change->value_len, change->revision);
        return;
    }
    const struct amb_cbor_item *value =
        change->value ? amb_cbor_parse(change->value, change->value_len) : NULL;
    amb_watch_apply_key(node, change->key, value, change->revision);
}

static void apply_parsed_change(void *context, const struct amb_parsed_change *change) {
    amb_watch_apply_key(context, change->key, change->value, change->revision);
}

/* Handles a page in an encoding that amb_change_page_decode does not support. */
static bool apply_parsed_page(struct amb_node *node, const void *page, size_t len, uint64_t *store_revision) {
    amb_debug("changes: page of %zu bytes: not in the plain encodings, using the full CBOR parser", len);
    return amb_change_page_parse(page, len, store_revision, apply_parsed_change, node);
}

bool amb_watch_apply_page(struct amb_node *node, const void *page, size_t len, amb_ms sent_at) {
    struct amb_watch *watch = &node->watch;
    uint64_t store_revision;
    if (!amb_change_page_decode(page, len, &store_revision, apply_change, node) &&
        !apply_parsed_page(node, page, len, &store_revision))
        return false;
    if (store_revision > watch->known_revision) watch->known_revision = store_revision;
    amb_debug("changes: read up to revision %llu, %zu bytes, sent %lld ms ago",
              (unsigned long long)store_revision, len, (long long)(amb_now() - sent_at));
    watch->last_read_at = amb_now();
    if (sent_at > watch->last_read_sent_at) watch->last_read_sent_at = sent_at;
    return true;
}
