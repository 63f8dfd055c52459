#include "block_restore.h"

#include "amberpin/node/node.h"

#include <stdlib.h>

/* A block that is being restored. */
struct block_restore {
    struct amb_node *node;
    struct amb_job *job;
    const struct amb_placement_block_value *value;
    amb_ms age;                      /* since the value was written; 0: unknown */
    struct amb_task_range range;     /* the tasks that it may name */
    bool *superseded;                /* by task: a block that precedes it counts; NULL: for none. Owned */
    struct amb_task_range mentioned; /* the tasks that it has named so far lie in here */
};

/* A block of the first format may have had any size: it holds the tasks that it names. */
struct amb_task_range amb_placement_log_possible_range(const struct amb_job *job,
                                                       struct amb_placement_block_id id) {
    const struct amb_task_range all = {0, job->spec->task_count};
    return id.layout == AMB_LAYOUT_BY_SETTINGS ? all : amb_placement_block_task_range(id, all.end);
}

/* ---- which tasks a block counts for ---- */

static const struct amb_placement_block *get_block(const struct amb_job *job, uint32_t position) {
    return position < job->block_count ? &job->blocks[position]
                                       : &job->superseded_blocks[position - job->block_count];
}

/* By task, whether a block that precedes this one holds it; NULL: for none. Such blocks come first in the
 * listing, so they have been restored. */
static bool *find_superseded_tasks(const struct amb_job *job, const struct amb_placement_block *block) {
    bool *superseded = NULL;
    for (uint32_t i = 0; i < job->block_count + job->superseded_count; i++) {
        const struct amb_placement_block *other = get_block(job, i);
        if (!other->revision || !amb_placement_block_precedes(other->id, block->id)) continue;
        if (!superseded) superseded = amb_alloc(job->spec->task_count * sizeof *superseded);
        for (uint32_t task = other->task_range.first; task < other->task_range.end; task++)
            superseded[task] = true;
    }
    return superseded;
}

static void note_mention(struct block_restore *restore, uint32_t task) {
    struct amb_task_range *mentioned = &restore->mentioned;
    bool is_first = mentioned->first == mentioned->end;
    if (is_first || task < mentioned->first) mentioned->first = task;
    if (is_first || task >= mentioned->end) mentioned->end = task + 1;
}

/* The value names this task: does the block count for it? */
static bool mention_task(struct block_restore *restore, uint32_t task) {
    if (task < restore->range.first || task >= restore->range.end) return false;
    note_mention(restore, task);
    return !restore->superseded || !restore->superseded[task];
}

/* ---- results ---- */

static void restore_completed_task(struct block_restore *restore, uint32_t index) {
    struct amb_task *task = &restore->job->tasks[index];
    if (!mention_task(restore, index) || task->done) return;
    task->done = true;
    task->completion = AMB_COMPLETION_DURABLE;
    amb_task_set_state(restore->node, task, AMB_TASK_DONE, "its record says so");
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
    /* A list asked for long after that must name the machine: else it is gone, and need not be waited for as
     * if it had first been seen just now. */
    if (restore->age > 0 && written_at < machine->first_known_at)
        machine->first_known_at = machine->created_at = written_at;
    machine->spot = placement->spot;
}

static void restore_placement(struct block_restore *restore, const struct amb_placement *placement) {
    if (!mention_task(restore, placement->task)) return;
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
    return restore.mentioned;
}
