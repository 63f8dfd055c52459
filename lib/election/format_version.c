/* Which form of records and messages the cluster uses: what each node speaks, and the key that says what all
 * of them do. */
#include "amberpin/election/format_version.h"

#include "amberpin/base/log.h"
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/node.h"

static const char FORMAT_KEY[] = "a/format";

enum amb_format amb_format_spoken(const struct amb_node *node) {
    return node->formats.held_at ? node->formats.held_at : AMB_FORMAT_LATEST;
}

enum amb_format amb_format_in_use(const struct amb_node *node) {
    enum amb_format written = node->formats.written ? node->formats.written : AMB_FORMAT_1;
    return written < amb_format_spoken(node) ? written : amb_format_spoken(node);
}

bool amb_format_known_old(const struct amb_node *node) {
    /* Nobody comes back old once the key is written: an older word is a message that came late. */
    if (amb_format_in_use(node) == AMB_FORMAT_LATEST) return false;
    for (uint32_t i = 0; i < node->peers.count; i++) {
        enum amb_format last = node->peers.list[i].format;
        if (last && last < AMB_FORMAT_LATEST) return true;
    }
    return false;
}

void amb_format_heard(struct amb_peer *peer, enum amb_format format) {
    enum amb_format said = format ? format : AMB_FORMAT_1;
    if (said != peer->format) amb_info("peer %s: speaks format %d", peer->member, (int)said);
    peer->format = said;
}

void amb_format_key(struct amb_node *node, const cbor_item_t *value) {
    uint64_t written;
    if (!amb_cbor_uint(amb_cbor_get(value, "format"), &written)) return; /* never removed: written for good */
    if (written > AMB_FORMAT_LATEST)
        written = AMB_FORMAT_LATEST; /* of a later version that has been taken back */
    if (written <= node->formats.written) return;
    node->formats.written = (enum amb_format)written;
    amb_info("format %d is in use", (int)amb_format_in_use(node));
}

void amb_format_upgrade_over(struct amb_node *node, const char *sign) {
    if (!node->formats.upgrade_over) amb_info("the upgrade is over: %s", sign);
    node->formats.upgrade_over = true;
}

/* Each peer's last word counts, however old: a process that was new comes back new. One that was never heard
 * of may be old, and may take the lead from a side that we do not reach. */
static bool all_speak_latest(const struct amb_node *node) {
    for (uint32_t i = 0; i < node->peers.count; i++)
        if (node->peers.list[i].format < AMB_FORMAT_LATEST) return false;
    return true;
}

static void key_written(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node = arg;
    (void)body;
    node->formats.writing = false;
    /* Without an answer news tells whether it was written; until then nothing relies on it. */
    if (status == 200) {
        node->formats.written = AMB_FORMAT_LATEST;
        amb_info("format %d is in use: written by this node", (int)AMB_FORMAT_LATEST);
    }
    node->formats.retry_at = amb_now() + node->store.call_timeout;
}

static void write_key(struct amb_node *node) {
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    amb_w_map(&value, 1);
    amb_w_str(&value, "format");
    amb_w_uint(&value, AMB_FORMAT_LATEST);
    amb_guard_term(&transaction, node);
    amb_txn_guard(&transaction, FORMAT_KEY, 0);
    amb_txn_put(&transaction, FORMAT_KEY, &value, 0);
    amb_buf_free(&value);
    node->formats.writing = true;
    amb_store_commit(&node->store, &transaction, AMB_URGENT_FINAL, key_written, node);
}

void amb_format_tick(struct amb_node *node, amb_ms now) {
    struct amb_formats *formats = &node->formats;
    if (!amb_may_start(node) || !node->ctl.loaded_at || formats->writing || now < formats->retry_at) return;
    if (amb_format_spoken(node) < AMB_FORMAT_LATEST || amb_format_in_use(node) == AMB_FORMAT_LATEST) return;
    if (formats->upgrade_over || all_speak_latest(node)) write_key(node);
}
