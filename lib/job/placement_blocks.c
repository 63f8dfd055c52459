#include "amberpin/job/placement_blocks.h"

#include "amberpin/base/log.h"
#include "amberpin/node/node.h"

#include <stdlib.h>
#include <string.h>

void amb_placement_block_get_key(char out[AMB_BLOCK_KEY_SIZE], const struct amb_placement_block *block) {
    amb_placement_key_format(out, block->job->ref, block->id);
}

uint32_t amb_placement_blocks_first_format_size(const struct amb_settings *settings) {
    return amb_placement_block_capacity(AMB_LAYOUT_BY_SETTINGS, settings->value_kb);
}

/* Returns the layout of new blocks. Until the second format is active, it is the layout that a process of the
 * first format reads; from then on, the layout whose blocks the store accepts even with lowered limits. */
static enum amb_block_layout get_active_layout(const struct amb_node *node) {
    return amb_format_active(node) >= AMB_FORMAT_2 ? AMB_LAYOUT_BY_KEY : AMB_LAYOUT_BY_SETTINGS;
}

double amb_placement_blocks_lowered_value_kb(const struct amb_node *node) {
    return amb_settings_lowered_limits(&node->settings).value_kb;
}

static uint32_t get_wanted_block_size(const struct amb_node *node, const struct amb_job *job) {
    if (get_active_layout(node) == AMB_LAYOUT_BY_SETTINGS)
        return amb_placement_blocks_first_format_size(&node->settings);
    uint32_t tasks =
        amb_placement_block_capacity(AMB_LAYOUT_BY_KEY, amb_placement_blocks_lowered_value_kb(node));
    return job->max_tasks_per_block && job->max_tasks_per_block < tasks ? job->max_tasks_per_block : tasks;
}

static void create_blocks(struct amb_job *job, enum amb_block_layout layout, uint32_t tasks_per_block) {
    job->block_layout = layout;
    job->tasks_per_block = tasks_per_block;
    job->block_count = (job->spec->task_count + tasks_per_block - 1) / tasks_per_block;
    job->blocks = amb_alloc(job->block_count * sizeof *job->blocks);
    for (uint32_t i = 0; i < job->block_count; i++) {
        job->blocks[i].job = job;
        job->blocks[i].id = (struct amb_placement_block_id){layout, tasks_per_block, i};
        job->blocks[i].task_range = amb_placement_block_task_range(job->blocks[i].id, job->spec->task_count);
    }
}

void amb_placement_blocks_create(struct amb_node *node, struct amb_job *job) {
    job->max_tasks_per_block = 0;
    create_blocks(job, get_active_layout(node), get_wanted_block_size(node, job));
}

void amb_placement_blocks_free(struct amb_job *job) {
    for (uint32_t i = 0; i < job->block_count; i++) amb_buf_free(&job->blocks[i].value);
    free(job->blocks);
    free(job->superseded_blocks);
    job->blocks = job->superseded_blocks = NULL;
    job->block_count = job->superseded_count = 0;
}

struct amb_placement_block *amb_placement_blocks_add_superseded(struct amb_job *job) {
    job->superseded_blocks =
        amb_realloc(job->superseded_blocks, (job->superseded_count + 1) * sizeof *job->superseded_blocks);
    struct amb_placement_block *block = &job->superseded_blocks[job->superseded_count++];
    memset(block, 0, sizeof *block);
    block->job = job;
    block->superseded = true;
    return block;
}

static bool is_same_id(struct amb_placement_block_id left, struct amb_placement_block_id right) {
    return left.layout == right.layout && left.tasks_per_block == right.tasks_per_block &&
           left.index == right.index;
}

struct amb_placement_block *amb_placement_blocks_find(struct amb_job *job, struct amb_placement_block_id id) {
    if (id.layout == job->block_layout && id.tasks_per_block == job->tasks_per_block &&
        id.index < job->block_count)
        return &job->blocks[id.index];
    for (uint32_t i = 0; i < job->superseded_count; i++)
        if (is_same_id(job->superseded_blocks[i].id, id)) return &job->superseded_blocks[i];
    return NULL;
}

static void set_dirty(struct amb_placement_block *block, bool urgent) {
    if (!block->dirty) block->dirty_at = amb_now();
    block->dirty = true;
    if (urgent) block->urgent = true;
}

void amb_placement_block_mark_dirty(struct amb_node *node, struct amb_task *task, bool urgent) {
    (void)node;
    set_dirty(&task->job->blocks[task->index / task->job->tasks_per_block], urgent);
}

/* ---- replacement of blocks by smaller ones ----
 * A block that has become too large to write cannot be changed any more, not even to mark it as superseded.
 * Therefore each block that replaces it is authoritative for the tasks that it holds from the moment when it
 * exists, whatever the old block says. The old block stays authoritative for all other tasks, so that no step
 * of the replacement depends on another step. */

static bool needs_write(const struct amb_task *task) {
    return task->state == AMB_TASK_PLACED || (task->done && task->completion != AMB_COMPLETION_DURABLE);
}

void amb_placement_block_abandon_write(struct amb_placement_block *block) {
    block->write_in_flight = false;
    block->revision_uncertain = true;
    amb_buf_free(&block->value);
    for (uint32_t i = block->task_range.first; i < block->task_range.end; i++) {
        struct amb_task *task = &block->job->tasks[i];
        task->write_in_flight = false;
        if (task->completion == AMB_COMPLETION_WRITING) task->completion = AMB_COMPLETION_UNRECORDED;
    }
}

/* Keeps the id and the revision of a block that exists, or may exist, in the store. */
static void keep_as_superseded(struct amb_job *job, const struct amb_placement_block *old) {
    struct amb_placement_block *block = amb_placement_blocks_add_superseded(job);
    block->revision = old->revision;
    block->revision_uncertain = old->revision_uncertain;
    block->id = old->id;
    block->task_range = old->task_range;
}

void amb_placement_blocks_replace(struct amb_job *job, enum amb_block_layout layout,
                                  uint32_t tasks_per_block) {
    struct amb_placement_block *old = job->blocks;
    uint32_t old_count = job->block_count;
    amb_info("job %s: replacing %u blocks of %u tasks by blocks of %u tasks", job->ref, old_count,
             job->tasks_per_block, tasks_per_block);
    for (uint32_t i = 0; i < old_count; i++) {
        if (old[i].write_in_flight) amb_placement_block_abandon_write(&old[i]);
        if (old[i].revision || old[i].revision_uncertain) keep_as_superseded(job, &old[i]);
    }
    free(old);
    create_blocks(job, layout, tasks_per_block);
    for (uint32_t i = 0; i < job->spec->task_count; i++)
        if (needs_write(&job->tasks[i])) set_dirty(&job->blocks[i / tasks_per_block], true);
}

/* The size to be written changes when the second format becomes active, or when a block is found to be too
 * large. Tasks are never moved to larger blocks, which would not be authoritative. */
void amb_placement_blocks_adapt_size(struct amb_node *node, struct amb_job *job) {
    enum amb_block_layout layout = get_active_layout(node);
    uint32_t tasks_per_block = get_wanted_block_size(node, job);
    const struct amb_placement_block_id wanted = {layout, tasks_per_block, 0},
                                        current = {job->block_layout, job->tasks_per_block, 0};
    if (amb_placement_block_precedes(wanted, current))
        amb_placement_blocks_replace(job, layout, tasks_per_block);
}
