#include "amberpin/agent/task_status.h"

#include "amberpin/agent/task_failures.h"
#include "amberpin/base/log.h"
#include "amberpin/node/node.h"
#include "amberpin/placement/bin_packing.h"
#include "amberpin/placement/wdrr.h"

enum {
    MISSED_HEARTBEATS_MAX = 2, /* reports that fail to list a task which was ordered */
    STABLE_HEARTBEATS = 5,     /* report periods that a task runs before its machine counts as good */
};

static bool is_gang(const struct amb_job *job) {
    return job->spec->kind == AMB_JOB_KIND_GANG;
}

/* ---- exits ---- */

static void complete_task(struct amb_node *node, struct amb_task *task) {
    amb_task_record_success(task->job, task->machine);
    task->machine->failure_count = 0;
    amb_task_mark_done(node, task);
}

static void log_exit(const struct amb_task *task, const struct amb_agent_task *listed) {
    static const char *const names[] = {"?",     "done",    "stopped", "peers",  "incomplete",
                                        "error", "no room", "busy",    "unknown"};
    amb_info("task %s/%u try %llu on %s: exited, %s%s", task->job->ref, task->index,
             (unsigned long long)task->attempt, task->machine->name, names[listed->exit_reason],
             listed->checkpoint_saved ? ", saved" : "");
}

static void handle_exit(struct amb_node *node, struct amb_task *task, const struct amb_agent_task *listed) {
    struct amb_machine *machine = task->machine;
    struct amb_job *job = task->job;
    bool stopping = task->stop_requested;
    enum amb_exit_reason reason = listed->exit_reason;
    log_exit(task, listed);
    if (reason == AMB_EXIT_DONE) complete_task(node, task);
    /* The cause decides before the task is let go, so that the next round knows it. */
    if (job->state == AMB_JOB_QUEUED) {
        if (reason == AMB_EXIT_ERROR) amb_task_record_failure(node, job, machine);
        if (reason == AMB_EXIT_MACHINE_FULL || reason == AMB_EXIT_ATTEMPT_CONFLICT)
            amb_machine_quarantine(machine, node->settings.heartbeat_s * 2, "it refused a task");
        if (reason == AMB_EXIT_UNKNOWN_JOB)
            job->backoff_until = amb_now() + amb_seconds_to_ms(node->settings.heartbeat_s * 2);
        if (reason != AMB_EXIT_DONE && !stopping) task->interrupted = true;
    }
    amb_task_unbind(node, task, "it exited");
    bool gang_is_saving = stopping && job->gang_state == AMB_GANG_STOPPING;
    if (is_gang(job) && job->bound_count && reason != AMB_EXIT_DONE && !gang_is_saving)
        amb_gang_tear_down(node, job, "a task of the attempt exited");
}

/* ---- tasks at work ---- */

static void update_gang_state(struct amb_job *job) {
    if (job->gang_state != AMB_GANG_STARTING) return;
    for (uint32_t i = 0; i < job->spec->task_count; i++) {
        const struct amb_task *task = &job->tasks[i];
        if (task->state != AMB_TASK_SEEN || task->agent_state != AMB_AGENT_TASK_RUNNING) return;
    }
    amb_gang_set_state(job, AMB_GANG_RUNNING, "all its tasks run");
}

static void handle_active(struct amb_node *node, struct amb_task *task, const struct amb_agent_task *listed) {
    struct amb_job *job = task->job;
    if (task->state != AMB_TASK_SEEN) {
        amb_task_set_state(node, task, AMB_TASK_SEEN, "reported");
        task->missed_heartbeats = 0;
    }
    task->agent_state = listed->state;
    bool is_running = listed->state == AMB_AGENT_TASK_RUNNING || listed->state == AMB_AGENT_TASK_SAVING;
    if (is_running && !task->running_at) {
        amb_info("task %s/%u try %llu on %s: runs", job->ref, task->index, (unsigned long long)task->attempt,
                 task->machine->name);
        task->interrupted = false;
    }
    amb_task_set_running(task, is_running);
    if (listed->state != AMB_AGENT_TASK_FETCHING)
        amb_machine_record_image_use(node, task->machine, job->spec->image, job->spec->image_gb);
    if (is_gang(job)) update_gang_state(job);
    if (task->running_at &&
        amb_now() - task->running_at > amb_seconds_to_ms(node->settings.heartbeat_s * STABLE_HEARTBEATS))
        amb_task_record_success(job, task->machine);
}

/* ---- a task that the report names ---- */

/* listed: as the report names the task with this attempt; NULL: it does not. */
static enum amb_absence absence_by_report(struct amb_heartbeat_evidence evidence, const struct amb_task *task,
                                          const struct amb_agent_task *listed) {
    evidence.placement_durable = task->state == AMB_TASK_BOUND || task->state == AMB_TASK_SEEN;
    evidence.listed = listed != NULL;
    evidence.exited = listed && listed->state == AMB_AGENT_TASK_EXITED;
    return amb_absence_by_heartbeat(&evidence);
}

/* The task is completed, and the state service is not known to have it yet. */
static bool has_unrecorded_completion(const struct amb_task *task) {
    return task && task->done && task->completion != AMB_COMPLETION_DURABLE &&
           task->job->state == AMB_JOB_QUEUED;
}

/* A result is cleared only once it is on record, or else a new leader would run the task again. job, task:
 * NULL if not known. */
static bool may_clear(const struct amb_job *job, const struct amb_task *task,
                      const struct amb_agent_task *listed) {
    if (listed->exit_reason != AMB_EXIT_DONE) return true;
    if (has_unrecorded_completion(task)) return false;
    return task || job; /* the cache may be behind */
}

void amb_task_handle_listed(struct amb_node *node, struct amb_machine *machine,
                            const struct amb_agent_task *listed, struct amb_heartbeat_evidence evidence,
                            struct amb_command_list *commands) {
    bool acknowledged = evidence.heartbeat_term == evidence.own_term;
    struct amb_job *job = amb_job_find(node, listed->job_ref);
    struct amb_task *task =
        job && job->active && listed->index < job->spec->task_count ? &job->tasks[listed->index] : NULL;
    if (task && task->machine == machine && task->attempt == listed->attempt &&
        task->state != AMB_TASK_PLACED) {
        task->last_listed_in = node->fleet.heartbeats_processed;
        if (listed->state != AMB_AGENT_TASK_EXITED) {
            handle_active(node, task, listed);
            if (acknowledged && task->stop_requested)
                amb_command_list_add(commands, AMB_COMMAND_STOP, listed->job_ref, listed->index,
                                     listed->attempt, task->grace_s);
            return;
        }
        if (!amb_absence_is_proven(absence_by_report(evidence, task, listed))) return;
        handle_exit(node, task, listed);
    } else if (listed->state != AMB_AGENT_TASK_EXITED) {
        /* Nothing on record puts it here: an attempt that was given up. */
        if (acknowledged)
            amb_command_list_add(commands, AMB_COMMAND_STOP, listed->job_ref, listed->index, listed->attempt,
                                 0);
        return;
    }
    if (listed->exit_reason == AMB_EXIT_DONE && has_unrecorded_completion(task))
        machine->has_unrecorded_result = true;
    if (acknowledged && may_clear(job, task, listed))
        amb_command_list_add(commands, AMB_COMMAND_CLEAR, listed->job_ref, listed->index, listed->attempt, 0);
}

/* ---- a task that it does not name ---- */

/* An earlier leader may have known the task gone and given its room away: records are not written for every
 * exit. It may start where the record says only if the limits hold with all that is not proven absent. */
static bool still_fits(const struct amb_node *node, const struct amb_task *task) {
    const struct amb_job *job = task->job;
    const struct amb_machine *machine = task->machine;
    if (is_gang(job) || machine->type_index < 0 || machine->zone_index < 0) return false;
    if (!amb_wdrr_is_within_limit(job->team, &job->spec->task_resources, 0)) return false;
    if (!amb_resources_fit(&machine->used, &node->catalog.types[machine->type_index].resources)) return false;
    uint32_t in_zone = job->zone_task_counts[machine->zone_index] +
                       amb_placement_count_tasks_in_unknown_zones(job); /* at most */
    if (job->spec->spread_zones && in_zone > amb_placement_max_tasks_per_zone(job->spec->task_count))
        return false;
    return !job->spec->one_zone || job->zone_task_counts[machine->zone_index] == job->bound_count;
}

/* It is off its machine; a gang's others go too. */
static void unbind_gone(struct amb_node *node, struct amb_task *task, const char *cause,
                        const char *gang_cause) {
    struct amb_job *job = task->job;
    amb_task_unbind(node, task, cause);
    if (is_gang(job) && job->bound_count) amb_gang_tear_down(node, job, gang_cause);
}

void amb_task_handle_unlisted(struct amb_node *node, struct amb_task *task,
                              struct amb_heartbeat_evidence evidence, struct amb_command_list *commands) {
    struct amb_job *job = task->job;
    if (!amb_absence_is_proven(absence_by_report(evidence, task, NULL))) return;
    if (task->state == AMB_TASK_SEEN) {
        task->interrupted = true;
        amb_info("task %s/%u on %s: no longer there", job->ref, task->index, task->machine->name);
        unbind_gone(node, task, "its machine no longer reports it", "a task is lost");
        return;
    }
    /* BOUND. The report is newer than any answer that carried the order, so the task is not there. */
    if (task->stop_requested || job->state != AMB_JOB_QUEUED) {
        amb_task_unbind(node, task, "told to stop, and not there");
        return;
    }
    if (task->inherited && !still_fits(node, task)) {
        task->interrupted = job->spec->kind == AMB_JOB_KIND_SERVICE;
        unbind_gone(node, task, "placed by an earlier leader, not there, and its place may be taken",
                    "a task is not there");
        return;
    }
    if (task->start_sent && ++task->missed_heartbeats >= MISSED_HEARTBEATS_MAX) {
        /* Its reports arrive, but it does not act on answers. */
        amb_machine_quarantine(task->machine, node->settings.agent_lease_s, "it does not act on orders");
        task->interrupted = true;
        unbind_gone(node, task, "its machine did not start it", "a task was not started");
        return;
    }
    amb_command_list_add_start(node, task, commands);
}
