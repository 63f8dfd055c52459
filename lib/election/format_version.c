/* Which form of records and messages the cluster uses: what each node speaks, and the key that says what all
 * of them do. */
#include "amberpin/election/format_version.h"

#include "amberpin/base/log.h"
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
    /* Nobody comes back old once the key is written: an older word is a message that came late. */
    if (amb_format_active(node) == AMB_FORMAT_LATEST) return false;
    for (uint32_t i = 0; i < node->peers.count; i++) {
        enum amb_format peer_format = node->peers.list[i].format;
        if (peer_format && peer_format < AMB_FORMAT_LATEST) return true;
    }
    return false;
}

void amb_format_update_peer(struct amb_peer *peer, enum amb_format format) {
    enum amb_format announced = format ? format : AMB_FORMAT_1;
    if (announced != peer->format) amb_info("peer %s: speaks format %d", peer->member, (int)announced);
    peer->format = announced;
}

void amb_format_apply_key(struct amb_node *node, const cbor_item_t *value) {
    uint64_t recorded;
    if (!amb_cbor_get_uint(amb_cbor_map_get(value, "format"), &recorded))
        return; /* never removed: written for good */
    if (recorded > AMB_FORMAT_LATEST)
        recorded = AMB_FORMAT_LATEST; /* of a later version that has been taken back */
    if (recorded <= node->formats.recorded) return;
    node->formats.recorded = (enum amb_format)recorded;
    amb_info("format %d is in use", (int)amb_format_active(node));
}

void amb_format_complete_upgrade(struct amb_node *node, const char *evidence) {
    if (!node->formats.upgrade_complete) amb_info("the upgrade is over: %s", evidence);
    node->formats.upgrade_complete = true;
}

/* Each peer's last word counts, however old: a process that was new comes back new. One that was never heard
 * of may be old, and may take the lead from a side that we do not reach. */
static bool all_peers_support_latest(const struct amb_node *node) {
    for (uint32_t i = 0; i < node->peers.count; i++)
        if (node->peers.list[i].format < AMB_FORMAT_LATEST) return false;
    return true;
}

static void on_key_written(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node = arg;
    (void)body;
    node->formats.write_pending = false;
    /* Without an answer news tells whether it was written; until then nothing relies on it. */
    if (status == 200) {
        node->formats.recorded = AMB_FORMAT_LATEST;
        amb_info("format %d is in use: written by this node", (int)AMB_FORMAT_LATEST);
    }
    node->formats.retry_at = amb_now() + node->store.call_timeout;
}

static void write_format_key(struct amb_node *node) {
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    amb_cbor_write_map(&value, 1);
    amb_cbor_write_string(&value, "format");
    amb_cbor_write_uint(&value, AMB_FORMAT_LATEST);
    amb_txn_require_leadership(&transaction, node);
    amb_txn_compare(&transaction, FORMAT_KEY, 0);
    amb_txn_put(&transaction, FORMAT_KEY, &value, 0);
    amb_buf_free(&value);
    node->formats.write_pending = true;
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_FINAL_STATE, on_key_written, node);
}

void amb_format_tick(struct amb_node *node, amb_ms now) {
    struct amb_format_negotiation *negotiation = &node->formats;
    if (!amb_election_may_act(node) || !node->controller.restored_at || negotiation->write_pending ||
        now < negotiation->retry_at)
        return;
    if (amb_format_supported(node) < AMB_FORMAT_LATEST || amb_format_active(node) == AMB_FORMAT_LATEST)
        return;
    if (negotiation->upgrade_complete || all_peers_support_latest(node)) write_format_key(node);
}
