/* When the blocks of jobs in the leader's care are written, and removed. */
#include "amberpin/node/node.h"
#include "amberpin/placement_log/block_write.h"

static bool has_block_in_flight(const struct amb_job *job) {
    for (uint32_t i = 0; i < job->block_count; i++)
        if (job->blocks[i].write_in_flight) return true;
    return false;
}

static void retry_write(struct amb_node *node, struct amb_placement_block *block, amb_ms now) {
    if (!block->value.len || now < block->retry_at) return;
    /* The guard on the job's stamp can hold no more: no copy will ever be carried out. */
    if (block->job_revision != block->job->revision)
        amb_placement_log_abandon_write(node, block);
    else
        amb_placement_log_send_block(node, block);
}

/* True: the block is being written, or still stands there when it is to be removed. */
static bool flush_block(struct amb_node *node, struct amb_placement_block *block, amb_ms now) {
    if (block->write_in_flight) {
        retry_write(node, block, now);
        return true;
    }
    if (block->job->state != AMB_JOB_QUEUED) return amb_placement_log_remove_block(node, block, now);
    /* Results wait a little so that one write holds several; placements go at once. */
    amb_ms flush_delay = block->urgent ? 0 : (amb_ms)(node->settings.heartbeat_s * 2000);
    if (block->dirty && now >= block->retry_at && now - block->dirty_at >= flush_delay)
        amb_placement_log_write_block(node, block);
    return false;
}

static void flush_job(struct amb_node *node, struct amb_job *job, amb_ms now) {
    /* A block that is still being written comes first: its write may have to be sent again, and the end of
     * the job must not pass it by. */
    if (job->state == AMB_JOB_QUEUED && job->done_count == job->spec->task_count && !job->bound_count &&
        !has_block_in_flight(job)) {
        if (!job->completion_in_flight && now >= job->completion_retry_at)
            amb_placement_log_finish_job(node, job);
        return;
    }
    if (job->state == AMB_JOB_QUEUED && !job->completion_in_flight)
        amb_placement_blocks_adapt_size(node, job);
    bool any_block_remains = false;
    /* Not before the job's end, even if others hold all their tasks: of a write that was sent more than once
     * a late copy, guarded with the key's absence, would find the key absent again. */
    for (uint32_t i = 0; i < job->superseded_count && job->state != AMB_JOB_QUEUED; i++)
        any_block_remains |= amb_placement_log_remove_block(node, &job->superseded_blocks[i], now);
    for (uint32_t i = 0; i < job->block_count; i++)
        any_block_remains |= flush_block(node, &job->blocks[i], now);
    if (job->state != AMB_JOB_QUEUED && !job->bound_count && !any_block_remains)
        amb_job_deactivate(node, job);
}

void amb_placement_log_flush(struct amb_node *node) {
    if (!amb_election_may_act(node) || !node->controller.restored_at) return;
    amb_ms now = amb_now();
    for (struct amb_job *job = node->jobs.active, *next; job; job = next) {
        next = job->next_active;
        flush_job(node, job, now);
    }
}
