#include "block_write.h"

#include "amberpin/base/log.h"
#include "amberpin/codec/cbor_reader.h"
#include "amberpin/codec/kvstore_messages.h"
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/node.h"
#include "amberpin/placement_log/placement_log.h"
#include "store_call.h"

#include <stdio.h>

static void mark_durable(struct amb_node *node, struct amb_task *task) {
    if (task->write_in_flight && task->state == AMB_TASK_PLACED) {
        amb_task_set_state(node, task, AMB_TASK_BOUND, "placement recorded");
        amb_event_post(node, &(struct amb_event){.type = AMB_EVENT_PLACEMENT_DURABLE, .task = task});
    }
    task->write_in_flight = false;
    if (task->completion == AMB_COMPLETION_WRITING) task->completion = AMB_COMPLETION_DURABLE;
}

/* Handles a write in flight that is known to have been applied. */
static void complete_write(struct amb_node *node, struct amb_placement_block *block, uint64_t revision) {
    block->revision = revision;
    block->write_in_flight = false;
    block->retry_at = 0;
    amb_buf_free(&block->value);
    for (uint32_t i = block->task_range.first; i < block->task_range.end; i++)
        mark_durable(node, &block->job->tasks[i]);
}

void amb_placement_log_abandon_write(struct amb_node *node, struct amb_placement_block *block) {
    amb_placement_block_abandon_write(block); /* a copy may have been applied before the job changed */
    block->retry_at = 0;
    block->dirty = true;
    for (uint32_t i = block->task_range.first; i < block->task_range.end; i++) {
        struct amb_task *task = &block->job->tasks[i];
        if (task->machine && task->state == AMB_TASK_PLACED && block->job->state != AMB_JOB_QUEUED)
            amb_task_unbind(node, task, "job is over, and no start command was sent");
    }
}

static void handle_block_read(void *arg, int status, const struct amb_cbor_item *body) {
    struct amb_node *node;
    struct amb_placement_block *block = amb_placement_log_call_take_block(arg, &node);
    struct amb_kvstore_entry entry;
    if (!block || block->superseded || !block->write_in_flight) return;
    if (status == 200 && amb_kvstore_decode_entry(body, &entry)) {
        if (amb_placement_block_has_write_id(entry.value, block->write_id)) {
            complete_write(node, block, entry.revision);
            return;
        }
        if (entry.revision != block->revision) { /* unexpected: only the leader writes blocks */
            amb_error("block %s/%u: modified by another writer", block->job->ref, block->id.index);
            block->revision = entry.revision;
        }
    }
    /* The same content is sent again with the same comparisons, so that the first copy to be applied makes
     * all others fail. Only a change of the job's record guarantees that no copy is ever applied. */
    block->retry_at = amb_now() + node->store.call_timeout / 10;
}

/* A value whose size is above the lowered limits but within the present ones is refused only after the store
 * has lowered its limits, which it does after the upgrade. The block keeps its content until smaller blocks
 * replace it. */
static void handle_refused_value(struct amb_node *node, struct amb_placement_block *block) {
    double size = (double)amb_cbor_json_size(block->value.data, block->value.len);
    if (size > amb_placement_blocks_lowered_value_kb(node) * 1024 && size <= node->settings.value_kb * 1024) {
        amb_store_lower_limits(&node->store, "a value was refused for its size");
        amb_format_complete_upgrade(node, "a value was refused for its size");
        block->retry_at += node->store.call_timeout;
    } else {
        amb_error("block %s/%u: rejected as malformed by the state service", block->job->ref,
                  block->id.index);
        block->retry_at += node->store.call_timeout * 10;
    }
}

/* Reads the block back, because it is unknown whether the write in flight was applied. */
static void read_back(struct amb_node *node, struct amb_placement_block *block) {
    char key[AMB_BLOCK_KEY_SIZE];
    amb_placement_block_get_key(key, block);
    block->retry_at += node->store.call_timeout;
    amb_store_get(&node->store, key, AMB_STORE_PRIORITY_PLACEMENT, handle_block_read,
                  amb_placement_log_call_new(node, block));
}

static void handle_block_written(void *arg, int status, const struct amb_cbor_item *body) {
    struct amb_node *node;
    struct amb_placement_block *block = amb_placement_log_call_take_block(arg, &node);
    uint64_t revision;
    if (!block || block->superseded) return;
    if (status == 200 && amb_kvstore_decode_commit(body, &revision)) {
        complete_write(node, block, revision);
        return;
    }
    block->retry_at = amb_now() + node->store.call_timeout / 5;
    if (status == 409) {
        amb_placement_log_handle_conflict(node, body);
        if (node->election.role < AMB_ROLE_LEADER) return;
    }
    if (status == 0 || status == 409)
        read_back(node, block);
    else if (status == 400)
        handle_refused_value(node, block);
}

void amb_placement_log_send_block(struct amb_node *node, struct amb_placement_block *block) {
    char key[AMB_BLOCK_KEY_SIZE], job_key[AMB_NAME_SIZE + 16];
    struct amb_txn transaction = {0};
    amb_placement_block_get_key(key, block);
    amb_job_format_key(job_key, sizeof job_key, block->job->ref);
    amb_txn_require_leadership(&transaction, node);
    amb_txn_compare(&transaction, job_key, block->job_revision);
    amb_txn_compare(&transaction, key, block->revision);
    amb_txn_put(&transaction, key, &block->value, 0);
    block->retry_at = INT64_MAX; /* set when the call ends */
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_PLACEMENT, handle_block_written,
                     amb_placement_log_call_new(node, block));
}

/* Blocks of the first format keep their size, because an older process must be able to read them. */
static bool is_too_large(const struct amb_node *node, const struct amb_placement_block *block) {
    return block->id.layout == AMB_LAYOUT_BY_KEY && block->id.tasks_per_block > 1 &&
           (double)amb_cbor_json_size(block->value.data, block->value.len) >
               amb_placement_blocks_lowered_value_kb(node) * 1024;
}

/* Marks the placements and results that are in the value about to be sent. */
static void mark_in_flight(struct amb_placement_block *block) {
    for (uint32_t i = block->task_range.first; i < block->task_range.end; i++) {
        struct amb_task *task = &block->job->tasks[i];
        if (task->state == AMB_TASK_PLACED) task->write_in_flight = true;
        if (task->done && task->completion == AMB_COMPLETION_UNRECORDED)
            task->completion = AMB_COMPLETION_WRITING;
    }
    block->job_revision = block->job->revision;
    block->dirty = block->urgent = false;
    block->write_in_flight = true;
}

static void set_write_id(const struct amb_node *node, struct amb_placement_block *block) {
    static uint64_t counter;
    snprintf(block->write_id, sizeof block->write_id, "%llu-%llu", (unsigned long long)node->election.term,
             (unsigned long long)++counter);
}

void amb_placement_log_write_block(struct amb_node *node, struct amb_placement_block *block) {
    set_write_id(node, block);
    amb_placement_log_encode_block(node, block, &block->value);
    if (is_too_large(node, block)) {
        amb_buf_free(&block->value);
        block->job->max_tasks_per_block = block->id.tasks_per_block / 2;
        return;
    }
    mark_in_flight(block);
    amb_placement_log_send_block(node, block);
}
