#include "amberpin/job/tasks.h"

#include "amberpin/base/log.h"
#include "amberpin/node/node.h"

uint32_t amb_job_count_waiting_tasks(const struct amb_job *job) {
    /* A task that is done may still be bound, until a heartbeat of its machine shows it gone. */
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
        amb_debug("task %s/%u attempt %llu on %s: %s -> %s: %s", task->job->ref, task->index,
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

static void link_to_machine(struct amb_task *task, struct amb_machine *machine) {
    task->machine = machine;
    task->prev_on_machine = NULL;
    task->next_on_machine = machine->tasks;
    if (machine->tasks) machine->tasks->prev_on_machine = task;
    machine->tasks = task;
    machine->task_count++;
    machine->idle_since = 0;
}

static void unlink_from_machine(struct amb_task *task, struct amb_machine *machine) {
    *(task->prev_on_machine ? &task->prev_on_machine->next_on_machine : &machine->tasks) =
        task->next_on_machine;
    if (task->next_on_machine) task->next_on_machine->prev_on_machine = task->prev_on_machine;
    task->prev_on_machine = task->next_on_machine = NULL;
    task->machine = NULL;
    if (--machine->task_count == 0) machine->idle_since = amb_now();
}

void amb_task_bind(struct amb_node *node, struct amb_task *task, struct amb_machine *machine,
                   uint64_t attempt, enum amb_task_state state) {
    struct amb_job *job = task->job;
    task->attempt = attempt;
    task->start_sent = task->start_due = task->start_unconfirmed = false;
    task->stop_requested = task->write_in_flight = task->inherited = false;
    task->missed_heartbeats = 0;
    link_to_machine(task, machine);
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
    unlink_from_machine(task, machine);
    task->write_in_flight = task->stop_requested = false;
    amb_task_set_running(task, false);
    amb_resources_add(&machine->used, &job->spec->task_resources, -1);
    amb_resources_add(&job->team->used, &job->spec->task_resources, -1);
    if (machine->zone_index >= 0) job->zone_task_counts[machine->zone_index]--;
    job->bound_count--;
    if (task->index < job->first_waiting_task) job->first_waiting_task = task->index;
    if (job->spec->kind == AMB_JOB_KIND_GANG && !job->bound_count)
        amb_gang_set_state(job, AMB_GANG_IDLE, "all tasks are gone");
    amb_node_request_cycle(node);
}

void amb_task_mark_done(struct amb_node *node, struct amb_task *task) {
    struct amb_job *job = task->job;
    if (!task->done) {
        task->done = true;
        job->done_count++;
        job->progress_changed = true;
        /* Urgent on a machine that is being drained: it is kept until its last completion is durable. */
        amb_placement_block_mark_dirty(node, task, task->machine && task->machine->draining);
    }
    amb_node_request_cycle(node);
}

void amb_task_request_stop(struct amb_node *node, struct amb_task *task, double grace_s, const char *cause) {
    if (!task->machine || (task->stop_requested && task->grace_s <= grace_s)) return;
    if (!task->stop_requested) {
        amb_info("task %s/%u on %s: stop requested, grace %g s: %s", task->job->ref, task->index,
                 task->machine->name, grace_s, cause);
    }
    task->stop_requested = true;
    task->grace_s = grace_s;
    task->machine->stop_commands_due = true;
    (void)node;
}

/* No command can have been sent for a task whose placement has not been sent to the store, so it needs no
 * stop. */
void amb_task_withdraw(struct amb_node *node, struct amb_task *task, const char *cause) {
    if (!task->machine) return;
    if (task->state == AMB_TASK_PLACED && !task->write_in_flight)
        amb_task_unbind(node, task, cause);
    else
        amb_task_request_stop(node, task, 0, cause);
}

/* ---- gangs ---- */

static const char *gang_state_name(enum amb_gang_state state) {
    static const char *const names[] = {"idle", "starting", "running", "stopping", "tearing"};
    return names[state];
}

void amb_gang_set_state(struct amb_job *job, enum amb_gang_state new_state, const char *cause) {
    if (job->gang_state == new_state) return;
    amb_info("gang %s: %s -> %s: %s", job->ref, gang_state_name(job->gang_state), gang_state_name(new_state),
             cause);
    job->gang_state = new_state;
}

void amb_gang_tear_down(struct amb_node *node, struct amb_job *job, const char *cause) {
    if (job->gang_state == AMB_GANG_IDLE || job->gang_state == AMB_GANG_TEARING) return;
    amb_gang_set_state(job, AMB_GANG_TEARING, cause);
    for (uint32_t i = 0; i < job->spec->task_count; i++)
        if (!job->tasks[i].done) amb_task_withdraw(node, &job->tasks[i], cause);
}
