/* Reading the records of placements and results, by a new leader. */
#include "amberpin/base/log.h"
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/node.h"
#include "amberpin/placement_log/store_call.h"

#include <stdlib.h>
#include <string.h>

static int find_in_catalog(const cbor_item_t *names, long position, struct amb_node *node, bool zone) {
    char name[AMB_NAME_SIZE];
    if (position < 0 || (size_t)position >= amb_cbor_list_length(names) ||
        !amb_cbor_copy_string(amb_cbor_list_item(names, (size_t)position), name, sizeof name))
        return -1;
    return zone ? amb_catalog_find_or_add_zone(&node->catalog, name)
                : amb_catalog_find_type(&node->catalog, name);
}

/* Of a job that is done or whose tasks are gone: its leader was lost before it had removed this. */
static void remove_obsolete_block(struct amb_node *node, const char *key, uint64_t revision) {
    struct amb_txn transaction = {0};
    amb_txn_require_leadership(&transaction, node);
    amb_txn_compare(&transaction, key, revision);
    amb_txn_remove(&transaction, key);
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_READ, NULL, NULL);
}

/* For each task, whether a block that counts more than this one speaks of it; NULL: none does. Such blocks
 * come first in the listing. */
static bool *find_superseded_tasks(const struct amb_job *job, const struct amb_placement_block *block) {
    bool *superseded = NULL;
    for (uint32_t block_index = 0; block_index < job->block_count + job->superseded_count; block_index++) {
        const struct amb_placement_block *other =
            block_index < job->block_count ? &job->blocks[block_index]
                                           : &job->superseded_blocks[block_index - job->block_count];
        if (!other->revision || !amb_placement_block_precedes(other->id, block->id)) continue;
        if (!superseded) superseded = amb_alloc(job->spec->task_count * sizeof *superseded);
        for (uint32_t i = other->task_range.first; i < other->task_range.end; i++) superseded[i] = true;
    }
    return superseded;
}

struct loading { /* a block being read */
    struct amb_node *node;
    struct amb_job *job;
    const cbor_item_t *value;
    amb_ms age;
    struct amb_task_range range;     /* what it can speak of */
    bool *superseded;                /* by task; NULL: none */
    struct amb_task_range mentioned; /* the tasks that it speaks of lie in here */
};

/* Does the block count for the task? */
static bool is_authoritative_for(struct loading *restore, uint32_t task) {
    if (task < restore->range.first || task >= restore->range.end) return false;
    bool first = restore->mentioned.first == restore->mentioned.end;
    if (first || task < restore->mentioned.first) restore->mentioned.first = task;
    if (first || task >= restore->mentioned.end) restore->mentioned.end = task + 1;
    return !restore->superseded || !restore->superseded[task];
}

static void restore_completed(struct loading *restore, const char *text) {
    struct amb_task_range done;
    while (amb_placement_block_next_completed(&text, &done))
        for (uint32_t i = done.first; i < done.end && i < restore->range.end; i++) {
            struct amb_task *task = &restore->job->tasks[i];
            if (!is_authoritative_for(restore, i) || task->done) continue;
            task->done = true;
            task->completion = AMB_COMPLETION_DURABLE;
            amb_task_set_state(restore->node, task, AMB_TASK_DONE, "its record says so");
            restore->job->done_count++;
        }
}

static void restore_placement(struct loading *restore, const struct amb_placement *placement) {
    struct amb_node *node = restore->node;
    if (!is_authoritative_for(restore, placement->task)) return;
    struct amb_machine *machine = amb_machine_get(node, placement->machine, true);
    if (!machine) return;
    if (machine->type_index < 0)
        machine->type_index =
            find_in_catalog(amb_cbor_map_get(restore->value, "t"), placement->type, node, false);
    if (machine->zone_index < 0)
        amb_machine_set_zone(
            machine, find_in_catalog(amb_cbor_map_get(restore->value, "z"), placement->zone, node, true));
    /* A list asked for long after that must name the machine: else it is gone, and need not be waited for as
     * if it had been met just now. */
    if (restore->age > 0 && amb_now() - restore->age < machine->first_known_at)
        machine->first_known_at = machine->created_at = amb_now() - restore->age;
    machine->spot = placement->spot;
    struct amb_task *task = &restore->job->tasks[placement->task];
    if (task->machine) return;
    amb_task_bind(node, task, machine, placement->attempt, AMB_TASK_BOUND);
    task->inherited = true;
}

static void restore_placements(struct loading *restore, const char *text) {
    struct amb_placement placement;
    while (amb_placement_block_next_placement(&text, &placement)) restore_placement(restore, &placement);
}

static amb_ms value_age(const cbor_item_t *value) {
    uint64_t written_wall_ms;
    return amb_cbor_get_uint(amb_cbor_map_get(value, "at"), &written_wall_ms)
               ? amb_wall_ms() - (int64_t)written_wall_ms
               : 0;
}

/* A block of the first format may have had any size: it speaks of the tasks that it names. */
static struct amb_task_range possible_task_range(const struct amb_job *job,
                                                 struct amb_placement_block_id id) {
    const struct amb_task_range all = {0, job->spec->task_count};
    return id.layout == AMB_LAYOUT_BY_SETTINGS ? all : amb_placement_block_task_range(id, all.end);
}

/* What a block says counts for the tasks of which no block that precedes it speaks. The tasks that it names
 * lie in the range that is returned. */
static struct amb_task_range restore_value(struct amb_node *node, struct amb_placement_block *block,
                                           const cbor_item_t *value) {
    struct loading restore = {.node = node,
                              .job = block->job,
                              .value = value,
                              .age = value_age(value),
                              .range = possible_task_range(block->job, block->id),
                              .superseded = find_superseded_tasks(block->job, block)};
    char *done = amb_cbor_dup_string(amb_cbor_map_get(value, "d")),
         *placed = amb_cbor_dup_string(amb_cbor_map_get(value, "p"));
    if (done) restore_completed(&restore, done);
    if (placed) restore_placements(&restore, placed);
    free(done);
    free(placed);
    free(restore.superseded);
    return restore.mentioned;
}

/* The place for a block that has been read. */
static struct amb_placement_block *find_or_add_block(struct amb_node *node, struct amb_job *job,
                                                     struct amb_placement_block_id id) {
    if (id.layout == AMB_LAYOUT_BY_SETTINGS)
        id.tasks_per_block = amb_placement_blocks_first_format_size(&node->settings);
    const struct amb_placement_block_id present = {job->block_layout, job->tasks_per_block, 0};
    if (amb_placement_block_precedes(id, present)) { /* of a leader that had to write smaller ones */
        job->max_tasks_per_block = id.tasks_per_block;
        amb_placement_blocks_replace(job, id.layout, id.tasks_per_block);
    }
    struct amb_placement_block *block = amb_placement_blocks_find(job, id);
    if (block) return block;
    block = amb_placement_blocks_add_superseded(job);
    block->id = id;
    block->task_range = possible_task_range(job, id);
    return block;
}

void amb_placement_log_restore(struct amb_node *node, const char *key, const cbor_item_t *value,
                               uint64_t revision) {
    char ref[AMB_NAME_SIZE];
    struct amb_placement_block_id id;
    if (!amb_placement_key_parse(key, ref, &id)) return;
    if (id.layout == AMB_LAYOUT_BY_KEY && amb_format_supported(node) < AMB_FORMAT_2) return;
    struct amb_job *job = amb_job_find(node, ref);
    if (!job || !job->spec) {
        amb_debug("block %s: its job is over", key);
        if (job && (job->state == AMB_JOB_DONE || job->tasks_gone))
            remove_obsolete_block(node, key, revision);
        return;
    }
    amb_job_activate(node, job);
    if (!job->active) return;
    struct amb_placement_block *block = find_or_add_block(node, job, id);
    block->revision = revision;
    uint64_t next_attempt;
    if (amb_cbor_get_uint(amb_cbor_map_get(value, "n"), &next_attempt) && next_attempt > job->next_attempt)
        job->next_attempt = next_attempt;
    struct amb_task_range mentioned = restore_value(node, block, value);
    if (job->spec->kind == AMB_JOB_KIND_GANG && job->bound_count && job->gang_state == AMB_GANG_IDLE)
        amb_gang_set_state(job, AMB_GANG_STARTING, "taken over");
    if (job->state == AMB_JOB_CANCELLED)
        for (uint32_t i = mentioned.first; i < mentioned.end; i++)
            amb_task_request_stop(node, &job->tasks[i], 0, "its job is cancelled");
}
