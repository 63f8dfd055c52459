/* Schedules the writes and removals of the blocks of the leader's active jobs, and the writes of these jobs'
 * final states. */
#include "amberpin/node/node.h"
#include "block_removal.h"
#include "block_write.h"
#include "job_completion.h"

static bool has_block_in_flight(const struct amb_job *job) {
    for (uint32_t i = 0; i < job->block_count; i++)
        if (job->blocks[i].write_in_flight) return true;
    return false;
}

static void retry_write(struct amb_node *node, struct amb_placement_block *block, amb_ms now) {
    if (!block->value.len || now < block->retry_at) return;
    /* Once the job's record has changed, the comparison with its revision fails: no copy is applied. */
    if (block->job_revision != block->job->revision)
        amb_placement_log_abandon_write(node, block);
    else
        amb_placement_log_send_block(node, block);
}

/* Results are delayed, so that one write holds several of them. Placements are written at once. */
static bool is_due(const struct amb_node *node, const struct amb_placement_block *block, amb_ms now) {
    amb_ms delay = block->urgent ? 0 : (amb_ms)(node->settings.heartbeat_s * 2000);
    return block->dirty && now >= block->retry_at && now - block->dirty_at >= delay;
}

/* Returns true if the block is being written, or if its job is over and the store may still have it. */
static bool flush_block(struct amb_node *node, struct amb_placement_block *block, amb_ms now) {
    if (block->write_in_flight) {
        retry_write(node, block, now);
        return true;
    }
    if (block->job->state != AMB_JOB_QUEUED) return amb_placement_log_remove_block(node, block, now);
    if (is_due(node, block, now)) amb_placement_log_write_block(node, block);
    return false;
}

/* Returns true if flush_block does for any block of the job. */
static bool flush_blocks(struct amb_node *node, struct amb_job *job, amb_ms now) {
    bool any_block_remains = false;
    /* Superseded blocks are removed only after the job's end, even if other blocks hold all their tasks: if a
     * block's first write was sent more than once, a late copy requires that the key is absent, and after an
     * early removal it would be applied. */
    for (uint32_t i = 0; i < job->superseded_count && job->state != AMB_JOB_QUEUED; i++)
        any_block_remains |= amb_placement_log_remove_block(node, &job->superseded_blocks[i], now);
    for (uint32_t i = 0; i < job->block_count; i++)
        any_block_remains |= flush_block(node, &job->blocks[i], now);
    return any_block_remains;
}

/* Whether all tasks are done and no block is being written. A write in flight must end first, because it may
 * have to be sent again and the job's final state must not overtake it. */
static bool is_complete(const struct amb_job *job) {
    return job->state == AMB_JOB_QUEUED && job->done_count == job->spec->task_count && !job->bound_count &&
           !has_block_in_flight(job);
}

static void flush_job(struct amb_node *node, struct amb_job *job, amb_ms now) {
    if (is_complete(job)) {
        if (!job->completion_in_flight && now >= job->completion_retry_at)
            amb_placement_log_finish_job(node, job);
        return;
    }
    if (job->state == AMB_JOB_QUEUED && !job->completion_in_flight)
        amb_placement_blocks_adapt_size(node, job);
    bool any_block_remains = flush_blocks(node, job, now);
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
