#include "amberpin/election/format_version.h"

#include "amberpin/base/log.h"
#include "amberpin/codec/election_records.h"
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/node.h"

static const char FORMAT_KEY[] = "a/format";

enum amb_format amb_format_supported(const struct amb_node *node) {
    return node->formats.test_override ? node->formats.test_override : AMB_FORMAT_LATEST;
}

enum amb_format amb_format_active(const struct amb_node *node) {
    enum amb_format recorded = node->formats.recorded ? node->formats.recorded : AMB_FORMAT_1;
    return recorded < amb_format_supported(node) ? recorded : amb_format_supported(node);
}

bool amb_format_has_older_peer(const struct amb_node *node) {
    /* Once the key is written, no node restarts with an older version. An older format announced since then
     * comes from a delayed message. */
    if (amb_format_active(node) == AMB_FORMAT_LATEST) return false;
    for (uint32_t i = 0; i < node->peers.count; i++) {
        enum amb_format peer_format = node->peers.list[i].format;
        if (peer_format && peer_format < AMB_FORMAT_LATEST) return true;
    }
    return false;
}

void amb_format_update_peer(struct amb_peer *peer, enum amb_format format) {
    enum amb_format announced = format ? format : AMB_FORMAT_1;
    if (announced != peer->format)
        amb_info("peer %s: announces format version %d", peer->member, (int)announced);
    peer->format = announced;
}

void amb_format_apply_key(struct amb_node *node, const struct amb_cbor_item *value) {
    uint64_t recorded;
    if (!amb_format_record_decode(value, &recorded)) return; /* the key is never removed */
    if (recorded > AMB_FORMAT_LATEST)
        recorded = AMB_FORMAT_LATEST; /* written by a later version that was rolled back */
    if (recorded <= node->formats.recorded) return;
    node->formats.recorded = (enum amb_format)recorded;
    amb_info("format version %d of records and messages is active", (int)amb_format_active(node));
}

void amb_format_complete_upgrade(struct amb_node *node, const char *evidence) {
    if (!node->formats.upgrade_complete) amb_info("format version: upgrade complete: %s", evidence);
    node->formats.upgrade_complete = true;
}

/* Each peer's last message counts, however old it is, because a peer that ran the latest version restarts
 * with the latest version. A peer that was never heard from may run an older version, and may become leader
 * in a part of the network that this node does not reach. */
static bool all_peers_support_latest(const struct amb_node *node) {
    for (uint32_t i = 0; i < node->peers.count; i++)
        if (node->peers.list[i].format < AMB_FORMAT_LATEST) return false;
    return true;
}

static void on_key_written(void *arg, int status, const struct amb_cbor_item *body) {
    struct amb_node *node = arg;
    (void)body;
    node->formats.write_pending = false;
    /* If there is no answer, the watch shows whether the key was written; nothing relies on it until then. */
    if (amb_store_call_result(status) == AMB_CALL_OK) {
        node->formats.recorded = AMB_FORMAT_LATEST;
        amb_info("format version %d of records and messages is active: recorded by this node",
                 (int)AMB_FORMAT_LATEST);
    }
    node->formats.retry_at = amb_now() + node->store.call_timeout;
}

static void write_format_key(struct amb_node *node) {
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    amb_format_record_encode(AMB_FORMAT_LATEST, &value);
    amb_txn_require_leadership(&transaction, node);
    amb_txn_compare(&transaction, FORMAT_KEY, 0);
    amb_txn_put(&transaction, FORMAT_KEY, &value, 0);
    amb_buf_free(&value);
    node->formats.write_pending = true;
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_FINAL_STATE, on_key_written, node);
}

void amb_format_tick(struct amb_node *node, amb_ms now) {
    struct amb_format_negotiation *negotiation = &node->formats;
    if (!amb_election_may_act(node) || !node->controller.restored_at) return;
    if (negotiation->write_pending || now < negotiation->retry_at) return;
    if (amb_format_supported(node) < AMB_FORMAT_LATEST) return;
    if (amb_format_active(node) == AMB_FORMAT_LATEST) return;
    if (negotiation->upgrade_complete || all_peers_support_latest(node)) write_format_key(node);
}
