#include "amberpin/job/placement_blocks.h"

#include "amberpin/base/log.h"
#include "amberpin/node/node.h"

#include <stdlib.h>
#include <string.h>

void amb_record_block_key(char out[AMB_BLOCK_KEY], const struct amb_block *block) {
    amb_layout_key(out, block->job->ref, block->id);
}

uint32_t amb_record_tasks_per_block(const struct amb_settings *settings) {
    return amb_layout_tasks_per_block(AMB_LAYOUT_BY_SETTINGS, settings->value_kb);
}

/* What is written from now on. Before the second format is in use, exactly what a process of the first one
 * reads; after that, what the state service takes also when it has lowered its limits. */
static enum amb_layout layout_in_use(const struct amb_node *node) {
    return amb_format_active(node) >= AMB_FORMAT_2 ? AMB_LAYOUT_BY_KEY : AMB_LAYOUT_BY_SETTINGS;
}

double amb_record_lowered_value_kb(const struct amb_node *node) {
    return amb_settings_lowered_limits(&node->set).value_kb;
}

static uint32_t wanted_tasks_per_block(const struct amb_node *node, const struct amb_job *job) {
    if (layout_in_use(node) == AMB_LAYOUT_BY_SETTINGS) return amb_record_tasks_per_block(&node->set);
    uint32_t tasks = amb_layout_tasks_per_block(AMB_LAYOUT_BY_KEY, amb_record_lowered_value_kb(node));
    return job->fitting_tasks && job->fitting_tasks < tasks ? job->fitting_tasks : tasks;
}

static void make_blocks(struct amb_job *job, enum amb_layout layout, uint32_t tasks_per_block) {
    job->layout = layout;
    job->tasks_per_block = tasks_per_block;
    job->nblocks = (job->spec->tasks + tasks_per_block - 1) / tasks_per_block;
    job->blocks = amb_alloc(job->nblocks * sizeof *job->blocks);
    for (uint32_t i = 0; i < job->nblocks; i++) {
        job->blocks[i].job = job;
        job->blocks[i].id = (struct amb_block_id){layout, tasks_per_block, i};
        job->blocks[i].tasks = amb_layout_range(job->blocks[i].id, job->spec->tasks);
    }
}

void amb_record_job_taken(struct amb_node *node, struct amb_job *job) {
    job->fitting_tasks = 0;
    make_blocks(job, layout_in_use(node), wanted_tasks_per_block(node, job));
}

void amb_record_job_left(struct amb_job *job) {
    for (uint32_t i = 0; i < job->nblocks; i++) amb_buf_free(&job->blocks[i].value);
    free(job->blocks);
    free(job->replaced);
    job->blocks = job->replaced = NULL;
    job->nblocks = job->nreplaced = 0;
}

struct amb_block *amb_record_add_replaced(struct amb_job *job) {
    job->replaced = amb_grow(job->replaced, (job->nreplaced + 1) * sizeof *job->replaced);
    struct amb_block *block = &job->replaced[job->nreplaced++];
    memset(block, 0, sizeof *block);
    block->job = job;
    block->replaced = true;
    return block;
}

static bool same_id(struct amb_block_id a, struct amb_block_id b) {
    return a.layout == b.layout && a.tasks_per_block == b.tasks_per_block && a.index == b.index;
}

struct amb_block *amb_record_find_block(struct amb_job *job, struct amb_block_id id) {
    if (id.layout == job->layout && id.tasks_per_block == job->tasks_per_block && id.index < job->nblocks)
        return &job->blocks[id.index];
    for (uint32_t i = 0; i < job->nreplaced; i++)
        if (same_id(job->replaced[i].id, id)) return &job->replaced[i];
    return NULL;
}

static void set_dirty(struct amb_block *block, bool urgent) {
    if (!block->dirty) block->dirty_at = amb_now();
    block->dirty = true;
    if (urgent) block->urgent = true;
}

void amb_record_dirty(struct amb_node *node, struct amb_task *task, bool urgent) {
    (void)node;
    set_dirty(&task->job->blocks[task->index / task->job->tasks_per_block], urgent);
}

/* ---- blocks of another size ----
 * A block that has become too large to write can't be changed any more, not even to say that it counts no
 * longer. So the blocks that replace it count for the tasks that they hold from the moment when they stand
 * there, whatever it says, and it counts for the others: no step of the change needs another one. */

static bool has_news(const struct amb_task *task) {
    return task->state == AMB_TASK_PLACED || (task->done && !task->done_saved);
}

/* What was sent may be carried out still; what it says of its tasks is written anew in any case. */
void amb_record_give_up_write(struct amb_block *block) {
    block->in_flight = false;
    block->stamp_unsure = true;
    amb_buf_free(&block->value);
    for (uint32_t i = block->tasks.first; i < block->tasks.end; i++) {
        struct amb_task *task = &block->job->tasks[i];
        task->in_flight = false;
        if (!task->done_saved) task->done_sent = false;
    }
}

void amb_record_replace_blocks(struct amb_job *job, enum amb_layout layout, uint32_t tasks_per_block) {
    struct amb_block *old = job->blocks;
    uint32_t nold = job->nblocks;
    amb_info("job %s: %u blocks of %u tasks are replaced by blocks of %u", job->ref, nold,
             job->tasks_per_block, tasks_per_block);
    for (uint32_t i = 0; i < nold; i++) {
        if (old[i].in_flight) amb_record_give_up_write(&old[i]);
        if (!old[i].stamp && !old[i].stamp_unsure) continue;
        struct amb_block *block = amb_record_add_replaced(job);
        block->stamp = old[i].stamp;
        block->stamp_unsure = old[i].stamp_unsure;
        block->id = old[i].id;
        block->tasks = old[i].tasks;
    }
    free(old);
    make_blocks(job, layout, tasks_per_block);
    for (uint32_t i = 0; i < job->spec->tasks; i++)
        if (has_news(&job->tasks[i])) set_dirty(&job->blocks[i / tasks_per_block], true);
}

/* The size that is to be written may have changed: the second format has come into use, or a block came out
 * too large. Tasks are never moved to larger blocks, which would not count. */
void amb_record_adapt_blocks(struct amb_node *node, struct amb_job *job) {
    enum amb_layout layout = layout_in_use(node);
    uint32_t per = wanted_tasks_per_block(node, job);
    const struct amb_block_id wanted = {layout, per, 0}, present = {job->layout, job->tasks_per_block, 0};
    if (amb_layout_precedes(wanted, present)) amb_record_replace_blocks(job, layout, per);
}
