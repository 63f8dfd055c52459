/* When the blocks of jobs in the leader's care are written, and removed. */
#include "amberpin/node/node.h"
#include "amberpin/placement_log/block_write.h"

static bool in_flight(const struct amb_job *job) {
    for (uint32_t i = 0; i < job->block_count; i++)
        if (job->blocks[i].write_in_flight) return true;
    return false;
}

static void pump_in_flight(struct amb_node *node, struct amb_placement_block *block, amb_ms now) {
    if (!block->value.len || now < block->retry_at) return;
    /* The guard on the job's stamp can hold no more: no copy will ever be carried out. */
    if (block->job_revision != block->job->revision)
        amb_record_not_written(node, block);
    else
        amb_record_send_block(node, block);
}

/* True: the block is being written, or still stands there when it is to be removed. */
static bool pump_block(struct amb_node *node, struct amb_placement_block *block, amb_ms now) {
    if (block->write_in_flight) {
        pump_in_flight(node, block, now);
        return true;
    }
    if (block->job->state != AMB_JOB_QUEUED) return amb_record_remove_block(node, block, now);
    /* Results wait a little so that one write holds several; placements go at once. */
    amb_ms patience = block->urgent ? 0 : (amb_ms)(node->settings.report_s * 2000);
    if (block->dirty && now >= block->retry_at && now - block->dirty_at >= patience)
        amb_record_write_block(node, block);
    return false;
}

static void pump_job(struct amb_node *node, struct amb_job *job, amb_ms now) {
    /* A block that is still being written comes first: its write may have to be sent again, and the end of
     * the job must not pass it by. */
    if (job->state == AMB_JOB_QUEUED && job->done_count == job->spec->task_count && !job->bound_count &&
        !in_flight(job)) {
        if (!job->completion_in_flight && now >= job->completion_retry_at) amb_record_finish_job(node, job);
        return;
    }
    if (job->state == AMB_JOB_QUEUED && !job->completion_in_flight)
        amb_placement_blocks_adapt_size(node, job);
    bool stood = false;
    /* Not before the job's end, even if others hold all their tasks: of a write that was sent more than once
     * a late copy, guarded with the key's absence, would find the key absent again. */
    for (uint32_t i = 0; i < job->superseded_count && job->state != AMB_JOB_QUEUED; i++)
        stood |= amb_record_remove_block(node, &job->superseded_blocks[i], now);
    for (uint32_t i = 0; i < job->block_count; i++) stood |= pump_block(node, &job->blocks[i], now);
    if (job->state != AMB_JOB_QUEUED && !job->bound_count && !stood) amb_job_deactivate(node, job);
}

void amb_record_pump(struct amb_node *node) {
    if (!amb_election_may_act(node) || !node->controller.restored_at) return;
    amb_ms now = amb_now();
    for (struct amb_job *job = node->jobs.active, *next; job; job = next) {
        next = job->next_active;
        pump_job(node, job, now);
    }
}
