/* Restores the placement log when a controller becomes leader, block by block in the order of the listing. */
#include "amberpin/base/log.h"
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/node.h"
#include "block_restore.h"

/* Removes a block whose job is done or cannot have tasks any more: an earlier leader ended before it had
 * removed the block. */
static void remove_obsolete_block(struct amb_node *node, const char *key, uint64_t revision) {
    struct amb_txn transaction = {0};
    amb_txn_require_leadership(&transaction, node);
    amb_txn_compare(&transaction, key, revision);
    amb_txn_remove(&transaction, key);
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_READ, NULL, NULL);
}

/* Returns the job's block with this id, or adds it to the superseded blocks. */
static struct amb_placement_block *find_or_add_block(struct amb_node *node, struct amb_job *job,
                                                     struct amb_placement_block_id id) {
    if (id.layout == AMB_LAYOUT_BY_SETTINGS)
        id.tasks_per_block = amb_placement_blocks_first_format_size(&node->settings);
    const struct amb_placement_block_id current = {job->block_layout, job->tasks_per_block, 0};
    if (amb_placement_block_precedes(id, current)) { /* an earlier leader had to write smaller blocks */
        job->max_tasks_per_block = id.tasks_per_block;
        amb_placement_blocks_replace(job, id.layout, id.tasks_per_block);
    }
    struct amb_placement_block *block = amb_placement_blocks_find(job, id);
    if (block) return block;
    block = amb_placement_blocks_add_superseded(job);
    block->id = id;
    block->task_range = amb_placement_log_possible_range(job, id);
    return block;
}

/* Returns the block's job, which becomes active if it is not; NULL if the block is to be ignored. */
static struct amb_job *activate_job(struct amb_node *node, const char *ref, const char *key,
                                    uint64_t revision) {
    struct amb_job *job = amb_job_find(node, ref);
    if (!job || !job->spec) {
        amb_debug("block %s: placement block ignored: its job is over or unknown", key);
        if (job && (job->state == AMB_JOB_DONE || job->tasks_gone))
            remove_obsolete_block(node, key, revision);
        return NULL;
    }
    amb_job_activate(node, job);
    return job->active ? job : NULL;
}

/* Updates the job's state after tasks in this range have been restored. */
static void resume_job(struct amb_node *node, struct amb_job *job, struct amb_task_range restored) {
    if (job->spec->kind == AMB_JOB_KIND_GANG && job->bound_count && job->gang_state == AMB_GANG_IDLE)
        amb_gang_set_state(job, AMB_GANG_STARTING, "taken over from an earlier leader");
    if (job->state != AMB_JOB_CANCELLED) return;
    for (uint32_t i = restored.first; i < restored.end; i++)
        amb_task_request_stop(node, &job->tasks[i], 0, "job cancelled");
}

void amb_placement_log_restore(struct amb_node *node, const char *key, const struct amb_cbor_item *item,
                               uint64_t revision) {
    char ref[AMB_NAME_SIZE];
    struct amb_placement_block_id id;
    if (!amb_placement_key_parse(key, ref, &id)) return;
    if (id.layout == AMB_LAYOUT_BY_KEY && amb_format_supported(node) < AMB_FORMAT_2) return;
    struct amb_job *job = activate_job(node, ref, key, revision);
    if (!job) return;
    struct amb_placement_block *block = find_or_add_block(node, job, id);
    struct amb_placement_block_value value = amb_placement_block_decode(item);
    block->revision = revision;
    if (value.next_attempt > job->next_attempt) job->next_attempt = value.next_attempt;
    resume_job(node, job, amb_placement_log_restore_block(node, block, &value));
    amb_placement_block_value_free(&value);
}
