/* The leader's care of jobs: which jobs it holds tasks of, and one function for every change of a task's or
 * gang's state. */
#include "amberpin/base/log.h"
#include "amberpin/node/memory_budget.h"
#include "amberpin/node/node.h"

#include <stdlib.h>
#include <string.h>

bool amb_job_allows_type(struct amb_node *node, struct amb_job *job, int type) {
    if (!job->allowed_type_mask_known && node->cloud.catalog_known) {
        job->allowed_type_mask = 0;
        for (uint32_t i = 0; i < node->catalog.type_count; i++)
            if (amb_job_spec_allows_type(job->spec, node->catalog.types[i].name))
                job->allowed_type_mask |= 1u << i;
        job->allowed_type_mask_known = true;
    }
    return type >= 0 && (job->allowed_type_mask >> type & 1);
}

void amb_job_activate_if_room(struct amb_node *node, struct amb_job *job) {
    if (job->active || !job->spec || job->dependencies_pending) return;
    if (node->jobs.active_task_count &&
        node->jobs.active_task_count + job->spec->task_count > amb_memory_max_tasks(&node->settings))
        node->jobs.has_unadmitted = true;
    else
        amb_job_activate(node, job);
}

void amb_jobs_activate_unadmitted(struct amb_node *node) {
    struct amb_job *job, *next;
    if (!node->jobs.memory_freed || !node->controller.restored_at) return;
    node->jobs.memory_freed = node->jobs.has_unadmitted = false;
    HASH_ITER(hh, node->jobs.all, job, next) {
        if (job->state == AMB_JOB_QUEUED) amb_job_activate_if_room(node, job);
    }
    amb_node_request_cycle(node);
}

void amb_job_activate(struct amb_node *node, struct amb_job *job) {
    if (job->active || !job->spec || !job->team) return;
    job->tasks = amb_alloc(job->spec->task_count * sizeof *job->tasks);
    for (uint32_t i = 0; i < job->spec->task_count; i++) {
        job->tasks[i].index = i;
        job->tasks[i].job = job;
    }
    amb_placement_blocks_create(node, job);
    job->done_count = job->bound_count = job->running_count = job->first_waiting_task = 0;
    memset(job->zone_task_counts, 0, sizeof job->zone_task_counts);
    job->next_attempt = 1;
    job->gang_state = AMB_GANG_IDLE;
    memset(&job->failures, 0, sizeof job->failures);
    job->backoff_until = 0;
    job->completion_in_flight = false;
    job->allowed_type_mask_known = false;
    job->active = true;
    job->prev_active = NULL;
    job->next_active = node->jobs.active;
    if (node->jobs.active) node->jobs.active->prev_active = job;
    node->jobs.active = job;
    node->jobs.active_task_count += job->spec->task_count;
}

void amb_job_deactivate(struct amb_node *node, struct amb_job *job) {
    if (!job->active) return;
    *(job->prev_active ? &job->prev_active->next_active : &node->jobs.active) = job->next_active;
    if (job->next_active) job->next_active->prev_active = job->prev_active;
    node->jobs.active_task_count -= job->spec->task_count;
    node->jobs.memory_freed = node->jobs.has_unadmitted;
    amb_placement_blocks_free(job);
    free(job->tasks);
    job->tasks = NULL;
    job->active = false;
    if (job->state == AMB_JOB_DONE) amb_job_drop_spec(node, job);
}

uint32_t amb_job_count_waiting_tasks(const struct amb_job *job) {
    /* A task that is done may still be bound until its machine's report shows it gone. */
    return job->spec->task_count - job->done_count - job->bound_count;
}

static const char *task_state_name(enum amb_task_state state) {
    static const char *const names[] = {"waiting", "placed", "bound", "seen", "done"};
    return names[state];
}

void amb_task_set_state(struct amb_node *node, struct amb_task *task, enum amb_task_state new_state,
                        const char *cause) {
    (void)node;
    if (task->state != new_state && amb_log_is_enabled(AMB_LOG_DEBUG))
        amb_debug("task %s/%u try %llu on %s: %s -> %s: %s", task->job->ref, task->index,
                  (unsigned long long)task->attempt, task->machine ? task->machine->name : "-",
                  task_state_name(task->state), task_state_name(new_state), cause);
    if (task->state != new_state) task->state_since = amb_now();
    task->state = new_state;
}

void amb_task_set_running(struct amb_task *task, bool running) {
    if (running == (task->running_at != 0)) return;
    task->running_at = running ? amb_now() : 0;
    task->job->running_count += running ? 1u : -1u;
    task->job->progress_changed = true;
}

void amb_task_bind(struct amb_node *node, struct amb_task *task, struct amb_machine *machine,
                   uint64_t attempt, enum amb_task_state state) {
    struct amb_job *job = task->job;
    task->machine = machine;
    task->attempt = attempt;
    task->start_sent = task->stop_requested = task->write_in_flight = task->inherited = false;
    task->missed_heartbeats = 0;
    task->prev_on_machine = NULL;
    task->next_on_machine = machine->tasks;
    if (machine->tasks) machine->tasks->prev_on_machine = task;
    machine->tasks = task;
    machine->task_count++;
    machine->idle_since = 0;
    amb_resources_add(&machine->used, &job->spec->task_resources, 1);
    amb_resources_add(&job->team->used, &job->spec->task_resources, 1);
    if (machine->zone_index >= 0) job->zone_task_counts[machine->zone_index]++;
    job->bound_count++;
    amb_task_set_state(node, task, state, "placed");
}

void amb_task_unbind(struct amb_node *node, struct amb_task *task, const char *cause) {
    struct amb_machine *machine = task->machine;
    struct amb_job *job = task->job;
    if (!machine) return;
    amb_task_set_state(node, task, task->done ? AMB_TASK_DONE : AMB_TASK_WAITING, cause);
    *(task->prev_on_machine ? &task->prev_on_machine->next_on_machine : &machine->tasks) =
        task->next_on_machine;
    if (task->next_on_machine) task->next_on_machine->prev_on_machine = task->prev_on_machine;
    task->prev_on_machine = task->next_on_machine = NULL;
    task->machine = NULL;
    task->write_in_flight = task->stop_requested = false;
    amb_task_set_running(task, false);
    amb_resources_add(&machine->used, &job->spec->task_resources, -1);
    amb_resources_add(&job->team->used, &job->spec->task_resources, -1);
    if (machine->zone_index >= 0) job->zone_task_counts[machine->zone_index]--;
    if (--machine->task_count == 0) machine->idle_since = amb_now();
    job->bound_count--;
    if (task->index < job->first_waiting_task) job->first_waiting_task = task->index;
    if (job->spec->kind == AMB_JOB_KIND_GANG && !job->bound_count)
        amb_gang_set_state(job, AMB_GANG_IDLE, "all its tasks are gone");
    amb_node_request_cycle(node);
}

void amb_task_mark_done(struct amb_node *node, struct amb_task *task) {
    struct amb_job *job = task->job;
    if (!task->done) {
        task->done = true;
        job->done_count++;
        job->progress_changed = true;
        /* A machine that is being emptied is kept until its last end is on record. */
        amb_placement_block_mark_dirty(node, task, task->machine && task->machine->drain);
    }
    amb_node_request_cycle(node);
}

void amb_task_request_stop(struct amb_node *node, struct amb_task *task, double grace_s, const char *cause) {
    if (!task->machine || (task->stop_requested && task->grace_s <= grace_s)) return;
    if (!task->stop_requested) {
        amb_info("task %s/%u on %s: to stop, grace %g s: %s", task->job->ref, task->index,
                 task->machine->name, grace_s, cause);
    }
    task->stop_requested = true;
    task->grace_s = grace_s;
    task->machine->stops_due = true;
    (void)node;
}

void amb_gang_set_state(struct amb_job *job, enum amb_gang_state new_state, const char *cause) {
    static const char *const names[] = {"idle", "starting", "running", "stopping", "tearing"};
    if (job->gang_state == new_state) return;
    amb_info("gang %s: %s -> %s: %s", job->ref, names[job->gang_state], names[new_state], cause);
    job->gang_state = new_state;
}

/* The attempt has failed: all its tasks must be gone before the next. */
void amb_gang_tear_down(struct amb_node *node, struct amb_job *job, const char *cause) {
    if (job->gang_state == AMB_GANG_IDLE || job->gang_state == AMB_GANG_TEARING) return;
    amb_gang_set_state(job, AMB_GANG_TEARING, cause);
    for (uint32_t i = 0; i < job->spec->task_count; i++) {
        struct amb_task *task = &job->tasks[i];
        if (!task->machine || task->done) continue;
        if (task->state == AMB_TASK_PLACED && !task->write_in_flight)
            amb_task_unbind(node, task, cause);
        else
            amb_task_request_stop(node, task, 0, cause);
    }
}
