#include "block_restore.h"

#include "amberpin/node/node.h"

#include <stdlib.h>

/* The state of restoring one block. */
struct block_restore {
    struct amb_node *node;
    struct amb_job *job;
    const struct amb_placement_block_value *value;
    amb_ms age;                  /* since the value was written; 0 if unknown */
    struct amb_task_range range; /* tasks that the block may name */
    /* By task index: another block that holds the task takes precedence, so this block's entry for the task
     * is ignored. NULL: there is no such task. Owned. */
    bool *superseded;
    struct amb_task_range named; /* covers the tasks that the value has named so far */
};

/* A block of the first format may have been written with any size, so it may name any task of the job. */
struct amb_task_range amb_placement_log_possible_range(const struct amb_job *job,
                                                       struct amb_placement_block_id id) {
    const struct amb_task_range all = {0, job->spec->task_count};
    return id.layout == AMB_LAYOUT_BY_SETTINGS ? all : amb_placement_block_task_range(id, all.end);
}

/* ---- tasks for which a block is authoritative ---- */

static const struct amb_placement_block *get_nth_block(const struct amb_job *job, uint32_t position) {
    return position < job->block_count ? &job->blocks[position]
                                       : &job->superseded_blocks[position - job->block_count];
}

/* Returns, by task index, whether a block that precedes this one holds the task; NULL if no task is held by
 * one. Preceding blocks come first in the listing, so they have been restored already. */
static bool *find_superseded_tasks(const struct amb_job *job, const struct amb_placement_block *block) {
    bool *superseded = NULL;
    for (uint32_t i = 0; i < job->block_count + job->superseded_count; i++) {
        const struct amb_placement_block *other = get_nth_block(job, i);
        if (!other->revision || !amb_placement_block_precedes(other->id, block->id)) continue;
        if (!superseded) superseded = amb_alloc(job->spec->task_count * sizeof *superseded);
        for (uint32_t task = other->task_range.first; task < other->task_range.end; task++)
            superseded[task] = true;
    }
    return superseded;
}

static void extend_named_range(struct block_restore *restore, uint32_t task) {
    struct amb_task_range *named = &restore->named;
    bool is_first = named->first == named->end;
    if (is_first || task < named->first) named->first = task;
    if (is_first || task >= named->end) named->end = task + 1;
}

/* Handles a task that the value names. Returns whether the block is authoritative for it. */
static bool accept_named_task(struct block_restore *restore, uint32_t task) {
    if (task < restore->range.first || task >= restore->range.end) return false;
    extend_named_range(restore, task);
    return !restore->superseded || !restore->superseded[task];
}

/* ---- results ---- */

static void restore_completed_task(struct block_restore *restore, uint32_t index) {
    struct amb_task *task = &restore->job->tasks[index];
    if (!accept_named_task(restore, index) || task->done) return;
    task->done = true;
    task->completion = AMB_COMPLETION_DURABLE;
    amb_task_set_state(restore->node, task, AMB_TASK_DONE, "restored from the placement log");
    restore->job->done_count++;
}

static void restore_completed(struct block_restore *restore) {
    const char *text = restore->value->completed;
    struct amb_task_range completed;
    if (!text) return;
    while (amb_placement_block_next_completed(&text, &completed))
        for (uint32_t i = completed.first; i < completed.end && i < restore->range.end; i++)
            restore_completed_task(restore, i);
}

/* ---- placements ---- */

static int find_type(const struct block_restore *restore, int position) {
    char name[AMB_NAME_SIZE];
    if (!amb_placement_block_get_name(restore->value->types, position, name)) return -1;
    return amb_catalog_find_type(&restore->node->catalog, name);
}

static int find_zone(const struct block_restore *restore, int position) {
    char name[AMB_NAME_SIZE];
    if (!amb_placement_block_get_name(restore->value->zones, position, name)) return -1;
    return amb_catalog_find_or_add_zone(&restore->node->catalog, name);
}

static void restore_machine(const struct block_restore *restore, struct amb_machine *machine,
                            const struct amb_placement *placement) {
    amb_ms written_at = amb_now() - restore->age;
    if (machine->type_index < 0) machine->type_index = find_type(restore, placement->type);
    if (machine->zone_index < 0) amb_machine_set_zone(machine, find_zone(restore, placement->zone));
    /* A machine that was known when the block was written must be in a machine list that is requested long
     * after that, else it is gone. So it is dated back, and not waited for as if it had first been seen just
     * now. */
    if (restore->age > 0 && written_at < machine->first_known_at)
        machine->first_known_at = machine->created_at = written_at;
    machine->spot = placement->spot;
}

static void restore_placement(struct block_restore *restore, const struct amb_placement *placement) {
    if (!accept_named_task(restore, placement->task)) return;
    struct amb_machine *machine = amb_machine_get(restore->node, placement->machine, true);
    if (!machine) return;
    restore_machine(restore, machine, placement);
    struct amb_task *task = &restore->job->tasks[placement->task];
    if (task->machine) return;
    amb_task_bind(restore->node, task, machine, placement->attempt, AMB_TASK_BOUND);
    task->inherited = true;
}

static void restore_placements(struct block_restore *restore) {
    const char *text = restore->value->placed;
    struct amb_placement placement;
    if (!text) return;
    while (amb_placement_block_next_placement(&text, &placement)) restore_placement(restore, &placement);
}

struct amb_task_range amb_placement_log_restore_block(struct amb_node *node,
                                                      const struct amb_placement_block *block,
                                                      const struct amb_placement_block_value *value) {
    struct block_restore restore = {
        .node = node,
        .job = block->job,
        .value = value,
        .age = value->has_written_wall_ms ? amb_wall_ms() - value->written_wall_ms : 0,
        .range = amb_placement_log_possible_range(block->job, block->id),
        .superseded = find_superseded_tasks(block->job, block),
    };
    restore_completed(&restore);
    restore_placements(&restore);
    free(restore.superseded);
    return restore.named;
}
