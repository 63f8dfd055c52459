/* Reading the records of placements and results, by a new leader. */
#include "amberpin/base/log.h"
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/node.h"
#include "amberpin/placement_log/store_call.h"

#include <stdlib.h>
#include <string.h>

static int mapped(const cbor_item_t *names, long i, struct amb_node *node, bool zone) {
    char name[AMB_NAME_SIZE];
    if (i < 0 || (size_t)i >= amb_cbor_len(names) ||
        !amb_cbor_str(amb_cbor_at(names, (size_t)i), name, sizeof name))
        return -1;
    return zone ? amb_catalog_find_or_add_zone(&node->catalog, name)
                : amb_catalog_find_type(&node->catalog, name);
}

/* Of a job that is done or whose tasks are gone: its leader was lost before it had removed this. */
static void remove_leftover(struct amb_node *node, const char *key, uint64_t stamp) {
    struct amb_txn transaction = {0};
    amb_txn_require_leadership(&transaction, node);
    amb_txn_compare(&transaction, key, stamp);
    amb_txn_remove(&transaction, key);
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_READ, NULL, NULL);
}

/* For each task, whether a block that counts more than this one speaks of it; NULL: none does. Such blocks
 * come first in the listing. */
static bool *spoken_of(const struct amb_job *job, const struct amb_placement_block *block) {
    bool *spoken = NULL;
    for (uint32_t b = 0; b < job->block_count + job->superseded_count; b++) {
        const struct amb_placement_block *other =
            b < job->block_count ? &job->blocks[b] : &job->superseded_blocks[b - job->block_count];
        if (!other->revision || !amb_layout_precedes(other->id, block->id)) continue;
        if (!spoken) spoken = amb_alloc(job->spec->task_count * sizeof *spoken);
        for (uint32_t i = other->task_range.first; i < other->task_range.end; i++) spoken[i] = true;
    }
    return spoken;
}

struct loading { /* a block being read */
    struct amb_node *node;
    struct amb_job *job;
    const cbor_item_t *value;
    amb_ms age;
    struct amb_task_range holds; /* what it can speak of */
    bool *spoken_of;             /* by task; NULL: none */
    struct amb_task_range named; /* the tasks that it speaks of lie in here */
};

/* Does the block count for the task? */
static bool counts_for(struct loading *loading, uint32_t task) {
    if (task < loading->holds.first || task >= loading->holds.end) return false;
    bool first = loading->named.first == loading->named.end;
    if (first || task < loading->named.first) loading->named.first = task;
    if (first || task >= loading->named.end) loading->named.end = task + 1;
    return !loading->spoken_of || !loading->spoken_of[task];
}

static void load_done(struct loading *loading, const char *text) {
    struct amb_task_range done;
    while (amb_layout_next_done(&text, &done))
        for (uint32_t i = done.first; i < done.end && i < loading->holds.end; i++) {
            struct amb_task *task = &loading->job->tasks[i];
            if (!counts_for(loading, i) || task->done) continue;
            task->done = task->done_write_pending = task->done_durable = true;
            amb_task_set_state(loading->node, task, AMB_TASK_DONE, "its record says so");
            loading->job->done_count++;
        }
}

static void load_placement(struct loading *loading, const struct amb_placement *placement) {
    struct amb_node *node = loading->node;
    if (!counts_for(loading, placement->task)) return;
    struct amb_machine *machine = amb_machine_get(node, placement->machine, true);
    if (!machine) return;
    if (machine->type_index < 0)
        machine->type_index = mapped(amb_cbor_get(loading->value, "t"), placement->type, node, false);
    if (machine->zone_index < 0)
        amb_machine_learn_zone(machine,
                               mapped(amb_cbor_get(loading->value, "z"), placement->zone, node, true));
    /* A list asked for long after that must name the machine: else it is gone, and need not be waited for as
     * if it had been met just now. */
    if (loading->age > 0 && amb_now() - loading->age < machine->first_known_at)
        machine->first_known_at = machine->created_at = amb_now() - loading->age;
    machine->spot = placement->spot;
    struct amb_task *task = &loading->job->tasks[placement->task];
    if (task->machine) return;
    amb_task_bind(node, task, machine, placement->attempt, AMB_TASK_BOUND);
    task->inherited = true;
}

static void load_placements(struct loading *loading, const char *text) {
    struct amb_placement placement;
    while (amb_layout_next_placement(&text, &placement)) load_placement(loading, &placement);
}

static amb_ms value_age(const cbor_item_t *value) {
    uint64_t wall;
    return amb_cbor_uint(amb_cbor_get(value, "at"), &wall) ? amb_wall_ms() - (int64_t)wall : 0;
}

/* A block of the first format may have had any size: it speaks of the tasks that it names. */
static struct amb_task_range may_hold(const struct amb_job *job, struct amb_placement_block_id id) {
    const struct amb_task_range all = {0, job->spec->task_count};
    return id.layout == AMB_LAYOUT_BY_SETTINGS ? all : amb_layout_range(id, all.end);
}

/* What a block says counts for the tasks of which no block that precedes it speaks. The tasks that it names
 * lie in the range that is returned. */
static struct amb_task_range load_value(struct amb_node *node, struct amb_placement_block *block,
                                        const cbor_item_t *value) {
    struct loading loading = {.node = node,
                              .job = block->job,
                              .value = value,
                              .age = value_age(value),
                              .holds = may_hold(block->job, block->id),
                              .spoken_of = spoken_of(block->job, block)};
    char *done = amb_cbor_text(amb_cbor_get(value, "d")), *placed = amb_cbor_text(amb_cbor_get(value, "p"));
    if (done) load_done(&loading, done);
    if (placed) load_placements(&loading, placed);
    free(done);
    free(placed);
    free(loading.spoken_of);
    return loading.named;
}

/* The place for a block that has been read. */
static struct amb_placement_block *block_read_from(struct amb_node *node, struct amb_job *job,
                                                   struct amb_placement_block_id id) {
    if (id.layout == AMB_LAYOUT_BY_SETTINGS)
        id.tasks_per_block = amb_placement_blocks_first_format_size(&node->settings);
    const struct amb_placement_block_id present = {job->block_layout, job->tasks_per_block, 0};
    if (amb_layout_precedes(id, present)) { /* of a leader that had to write smaller ones */
        job->max_tasks_per_block = id.tasks_per_block;
        amb_placement_blocks_replace(job, id.layout, id.tasks_per_block);
    }
    struct amb_placement_block *block = amb_placement_blocks_find(job, id);
    if (block) return block;
    block = amb_placement_blocks_add_superseded(job);
    block->id = id;
    block->task_range = may_hold(job, id);
    return block;
}

void amb_record_load(struct amb_node *node, const char *key, const cbor_item_t *value, uint64_t stamp) {
    char ref[AMB_NAME_SIZE];
    struct amb_placement_block_id id;
    if (!amb_layout_parse_key(key, ref, &id)) return;
    if (id.layout == AMB_LAYOUT_BY_KEY && amb_format_supported(node) < AMB_FORMAT_2) return;
    struct amb_job *job = amb_job_find(node, ref);
    if (!job || !job->spec) {
        amb_debug("block %s: its job is over", key);
        if (job && (job->state == AMB_JOB_DONE || job->tasks_gone)) remove_leftover(node, key, stamp);
        return;
    }
    amb_job_activate(node, job);
    if (!job->active) return;
    struct amb_placement_block *block = block_read_from(node, job, id);
    block->revision = stamp;
    uint64_t next;
    if (amb_cbor_uint(amb_cbor_get(value, "n"), &next) && next > job->next_attempt) job->next_attempt = next;
    struct amb_task_range named = load_value(node, block, value);
    if (job->spec->kind == AMB_JOB_KIND_GANG && job->bound_count && job->gang_state == AMB_GANG_IDLE)
        amb_gang_set_state(job, AMB_GANG_STARTING, "taken over");
    if (job->state == AMB_JOB_CANCELLED)
        for (uint32_t i = named.first; i < named.end; i++)
            amb_task_request_stop(node, &job->tasks[i], 0, "its job is cancelled");
}
