/* The leader's care of jobs: which jobs it holds tasks of, and one function for every change of a task's or
 * gang's state. */
#include "amberpin/base/log.h"
#include "amberpin/node/memory_budget.h"
#include "amberpin/node/node.h"

#include <stdlib.h>
#include <string.h>

bool amb_job_allows_type(struct amb_node *node, struct amb_job *job, int type) {
    if (!job->type_mask_known && node->rental.catalog_known) {
        job->type_mask = 0;
        for (uint32_t i = 0; i < node->catalog.ntypes; i++)
            if (amb_spec_allows(job->spec, node->catalog.types[i].name)) job->type_mask |= 1u << i;
        job->type_mask_known = true;
    }
    return type >= 0 && (job->type_mask >> type & 1);
}

void amb_job_take_if_room(struct amb_node *node, struct amb_job *job) {
    if (job->live || !job->spec || job->awaiting) return;
    if (node->jobs.task_count && node->jobs.task_count + job->spec->tasks > amb_memory_tasks(&node->set))
        node->jobs.left_out = true;
    else
        amb_job_take(node, job);
}

void amb_jobs_take_left_out(struct amb_node *node) {
    struct amb_job *job, *next;
    if (!node->jobs.room_made || !node->ctl.loaded_at) return;
    node->jobs.room_made = node->jobs.left_out = false;
    HASH_ITER(hh, node->jobs.all, job, next) {
        if (job->state == AMB_JOB_QUEUED) amb_job_take_if_room(node, job);
    }
    amb_controller_wake(node);
}

void amb_job_take(struct amb_node *node, struct amb_job *job) {
    if (job->live || !job->spec || !job->team) return;
    job->tasks = amb_alloc(job->spec->tasks * sizeof *job->tasks);
    for (uint32_t i = 0; i < job->spec->tasks; i++) {
        job->tasks[i].index = i;
        job->tasks[i].job = job;
    }
    amb_record_job_taken(node, job);
    job->ndone = job->nbound = job->nrunning = job->first_waiting = 0;
    memset(job->zone_used, 0, sizeof job->zone_used);
    job->next_attempt = 1;
    job->gang = AMB_GANG_IDLE;
    memset(&job->failures, 0, sizeof job->failures);
    job->hold_until = 0;
    job->finishing = false;
    job->type_mask_known = false;
    job->live = true;
    job->prev_live = NULL;
    job->next_live = node->jobs.live;
    if (node->jobs.live) node->jobs.live->prev_live = job;
    node->jobs.live = job;
    node->jobs.task_count += job->spec->tasks;
}

void amb_job_leave(struct amb_node *node, struct amb_job *job) {
    if (!job->live) return;
    *(job->prev_live ? &job->prev_live->next_live : &node->jobs.live) = job->next_live;
    if (job->next_live) job->next_live->prev_live = job->prev_live;
    node->jobs.task_count -= job->spec->tasks;
    node->jobs.room_made = node->jobs.left_out;
    amb_record_job_left(job);
    free(job->tasks);
    job->tasks = NULL;
    job->live = false;
    if (job->state == AMB_JOB_DONE) amb_job_drop_spec(node, job);
}

uint32_t amb_job_waiting(const struct amb_job *job) {
    /* A task that is done may still be bound until its machine's report shows it gone. */
    return job->spec->tasks - job->ndone - job->nbound;
}

static const char *task_state_name(enum amb_task_state s) {
    static const char *const names[] = {"waiting", "placed", "bound", "seen", "done"};
    return names[s];
}

void amb_task_state(struct amb_node *node, struct amb_task *task, enum amb_task_state to, const char *cause) {
    (void)node;
    if (task->state != to && amb_log_on(AMB_DEBUG))
        amb_debug("task %s/%u try %llu on %s: %s -> %s: %s", task->job->ref, task->index,
                  (unsigned long long)task->attempt, task->machine ? task->machine->name : "-",
                  task_state_name(task->state), task_state_name(to), cause);
    if (task->state != to) task->since = amb_now();
    task->state = to;
}

void amb_task_running(struct amb_task *task, bool running) {
    if (running == (task->running_at != 0)) return;
    task->running_at = running ? amb_now() : 0;
    task->job->nrunning += running ? 1u : -1u;
    task->job->shown_changed = true;
}

void amb_task_bind(struct amb_node *node, struct amb_task *task, struct amb_machine *machine,
                   uint64_t attempt, enum amb_task_state state) {
    struct amb_job *job = task->job;
    task->machine = machine;
    task->attempt = attempt;
    task->sent = task->halting = task->in_flight = task->foreign = false;
    task->misses = 0;
    task->prev = NULL;
    task->next = machine->tasks;
    if (machine->tasks) machine->tasks->prev = task;
    machine->tasks = task;
    machine->ntasks++;
    machine->idle_since = 0;
    amb_res_add(&machine->used, &job->spec->each, 1);
    amb_res_add(&job->team->used, &job->spec->each, 1);
    if (machine->zone >= 0) job->zone_used[machine->zone]++;
    job->nbound++;
    amb_task_state(node, task, state, "placed");
}

void amb_task_unbind(struct amb_node *node, struct amb_task *task, const char *cause) {
    struct amb_machine *machine = task->machine;
    struct amb_job *job = task->job;
    if (!machine) return;
    amb_task_state(node, task, task->done ? AMB_TASK_DONE : AMB_TASK_WAITING, cause);
    *(task->prev ? &task->prev->next : &machine->tasks) = task->next;
    if (task->next) task->next->prev = task->prev;
    task->prev = task->next = NULL;
    task->machine = NULL;
    task->in_flight = task->halting = false;
    amb_task_running(task, false);
    amb_res_add(&machine->used, &job->spec->each, -1);
    amb_res_add(&job->team->used, &job->spec->each, -1);
    if (machine->zone >= 0) job->zone_used[machine->zone]--;
    if (--machine->ntasks == 0) machine->idle_since = amb_now();
    job->nbound--;
    if (task->index < job->first_waiting) job->first_waiting = task->index;
    if (job->spec->kind == AMB_GANG && !job->nbound)
        amb_gang_state(job, AMB_GANG_IDLE, "all its tasks are gone");
    amb_controller_wake(node);
}

void amb_task_finish(struct amb_node *node, struct amb_task *task) {
    struct amb_job *job = task->job;
    if (!task->done) {
        task->done = true;
        job->ndone++;
        job->shown_changed = true;
        /* A machine that is being emptied is kept until its last end is on record. */
        amb_record_dirty(node, task, task->machine && task->machine->drain);
    }
    amb_controller_wake(node);
}

void amb_task_halt(struct amb_node *node, struct amb_task *task, double grace_s, const char *cause) {
    if (!task->machine || (task->halting && task->grace_s <= grace_s)) return;
    if (!task->halting) {
        amb_info("task %s/%u on %s: to stop, grace %g s: %s", task->job->ref, task->index,
                 task->machine->name, grace_s, cause);
    }
    task->halting = true;
    task->grace_s = grace_s;
    task->machine->halts_due = true;
    (void)node;
}

void amb_gang_state(struct amb_job *job, enum amb_gang_state to, const char *cause) {
    static const char *const names[] = {"idle", "starting", "running", "stopping", "tearing"};
    if (job->gang == to) return;
    amb_info("gang %s: %s -> %s: %s", job->ref, names[job->gang], names[to], cause);
    job->gang = to;
}

/* The attempt has failed: all its tasks must be gone before the next. */
void amb_gang_tear(struct amb_node *node, struct amb_job *job, const char *cause) {
    if (job->gang == AMB_GANG_IDLE || job->gang == AMB_GANG_TEARING) return;
    amb_gang_state(job, AMB_GANG_TEARING, cause);
    for (uint32_t i = 0; i < job->spec->tasks; i++) {
        struct amb_task *task = &job->tasks[i];
        if (!task->machine || task->done) continue;
        if (task->state == AMB_TASK_PLACED && !task->in_flight)
            amb_task_unbind(node, task, cause);
        else
            amb_task_halt(node, task, 0, cause);
    }
}
