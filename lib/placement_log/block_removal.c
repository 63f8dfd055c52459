/* Removal of the blocks of jobs that are over. */
#include "block_removal.h"

#include "amberpin/codec/kvstore_messages.h"
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/node.h"
#include "store_call.h"

static void handle_revision_read(void *arg, int status, const struct amb_cbor_item *body) {
    struct amb_node *node;
    struct amb_placement_block *block = amb_placement_log_call_take_block(arg, &node);
    struct amb_kvstore_entry entry;
    if (!block) return;
    block->write_in_flight = false;
    if (status == 404) {
        block->revision = 0;
        block->revision_uncertain = false;
    } else if (status == 200 && amb_kvstore_decode_entry(body, &entry)) {
        block->revision = entry.revision;
        block->revision_uncertain = false;
    }
    block->retry_at = amb_now() + node->store.call_timeout / 4;
}

static void handle_block_removed(void *arg, int status, const struct amb_cbor_item *body) {
    struct amb_node *node;
    struct amb_placement_block *block = amb_placement_log_call_take_block(arg, &node);
    if (!block) return;
    block->write_in_flight = false;
    block->retry_at = amb_now() + node->store.call_timeout / 4;
    if (status == 200)
        block->revision = 0;
    else if (status == 0 || status == 409)
        block->revision_uncertain = true;
    if (status == 409) amb_placement_log_handle_conflict(node, body);
}

static void read_revision(struct amb_node *node, const struct amb_placement_block *block, const char *key) {
    amb_store_get(&node->store, key, AMB_STORE_PRIORITY_READ, handle_revision_read,
                  amb_placement_log_call_new(node, block));
}

static void commit_removal(struct amb_node *node, const struct amb_placement_block *block, const char *key) {
    struct amb_txn transaction = {0};
    amb_txn_require_leadership(&transaction, node);
    amb_txn_compare(&transaction, key, block->revision);
    amb_txn_remove(&transaction, key);
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_READ, handle_block_removed,
                     amb_placement_log_call_new(node, block));
}

/* Call this only when no task of the job is on a machine. */
static void send_block_removal(struct amb_node *node, struct amb_placement_block *block) {
    char key[AMB_BLOCK_KEY_SIZE];
    amb_placement_block_get_key(key, block);
    block->write_in_flight = true;
    block->retry_at = INT64_MAX;
    amb_buf_free(&block->value);
    if (block->revision_uncertain)
        read_revision(node, block, key);
    else
        commit_removal(node, block, key);
}

bool amb_placement_log_remove_block(struct amb_node *node, struct amb_placement_block *block, amb_ms now) {
    if (block->write_in_flight) return true;
    bool may_exist = block->revision || block->revision_uncertain;
    if (may_exist && !block->job->bound_count && now >= block->retry_at) send_block_removal(node, block);
    return may_exist;
}
