#include "amberpin/agent/task_status.h"

#include "amberpin/agent/task_failures.h"
#include "amberpin/base/log.h"
#include "amberpin/node/node.h"
#include "amberpin/placement/bin_packing.h"
#include "amberpin/placement/wdrr.h"

enum {
    /* Heartbeats without a task whose start was sent, after which the task is placed elsewhere. */
    MISSED_HEARTBEATS_MAX = 2,
    /* Heartbeat periods after which a running task counts as a success of its job and machine. */
    STABLE_HEARTBEATS = 5,
    /* Heartbeat periods for which a machine that refused a task is quarantined. */
    REFUSAL_QUARANTINE_HEARTBEATS = 2,
    /* Heartbeat periods until a job that the agent did not know is retried. */
    UNKNOWN_JOB_BACKOFF_HEARTBEATS = 2,
};

static bool is_gang(const struct amb_job *job) {
    return job->spec->kind == AMB_JOB_KIND_GANG;
}

static amb_ms heartbeat_periods(const struct amb_node *node, uint32_t periods) {
    return amb_seconds_to_ms(node->settings.heartbeat_s * periods);
}

/* ---- exits ---- */

static void complete_task(struct amb_node *node, struct amb_task *task) {
    amb_task_record_success(task->job, task->machine);
    task->machine->failure_count = 0;
    amb_task_mark_done(node, task);
}

static void log_exit(const struct amb_task *task, const struct amb_agent_task *listed) {
    static const char *const names[] = {
        [AMB_EXIT_NONE] = "?",
        [AMB_EXIT_DONE] = "done",
        [AMB_EXIT_STOPPED] = "stopped",
        [AMB_EXIT_GANG_PEER_GONE] = "peers",
        [AMB_EXIT_GANG_INCOMPLETE] = "incomplete",
        [AMB_EXIT_ERROR] = "error",
        [AMB_EXIT_MACHINE_FULL] = "no room",
        [AMB_EXIT_ATTEMPT_CONFLICT] = "busy",
        [AMB_EXIT_UNKNOWN_JOB] = "unknown",
    };
    amb_info("task %s/%u attempt %llu on %s: exited, %s%s", task->job->ref, task->index,
             (unsigned long long)task->attempt, task->machine->name, names[listed->exit_reason],
             listed->checkpoint_saved ? ", checkpoint saved" : "");
}

/* Applies the consequences of an exit to the task's job and machine. */
static void apply_exit_reason(struct amb_node *node, struct amb_task *task, enum amb_exit_reason reason) {
    struct amb_job *job = task->job;
    if (reason == AMB_EXIT_ERROR) amb_task_record_failure(node, job, task->machine);
    if (reason == AMB_EXIT_MACHINE_FULL || reason == AMB_EXIT_ATTEMPT_CONFLICT)
        amb_machine_quarantine(task->machine, node->settings.heartbeat_s * REFUSAL_QUARANTINE_HEARTBEATS,
                               "it refused a task");
    if (reason == AMB_EXIT_UNKNOWN_JOB)
        job->backoff_until = amb_now() + heartbeat_periods(node, UNKNOWN_JOB_BACKOFF_HEARTBEATS);
}

static void handle_exit(struct amb_node *node, struct amb_task *task, const struct amb_agent_task *listed) {
    struct amb_job *job = task->job;
    bool stopping = task->stop_requested;
    enum amb_exit_reason reason = listed->exit_reason;
    log_exit(task, listed);
    if (reason == AMB_EXIT_DONE) complete_task(node, task);
    /* Before the task is unbound, because unbinding requests a scheduling cycle, which must know the
     * consequences. */
    if (job->state == AMB_JOB_QUEUED) {
        apply_exit_reason(node, task, reason);
        if (reason != AMB_EXIT_DONE && !stopping) task->interrupted = true;
    }
    amb_task_unbind(node, task, "it exited");
    bool gang_is_saving = stopping && job->gang_state == AMB_GANG_STOPPING;
    if (is_gang(job) && job->bound_count && reason != AMB_EXIT_DONE && !gang_is_saving)
        amb_gang_tear_down(node, job, "a task of the attempt exited");
}

/* ---- active tasks ---- */

static void update_gang_state(struct amb_job *job) {
    if (job->gang_state != AMB_GANG_STARTING) return;
    for (uint32_t i = 0; i < job->spec->task_count; i++) {
        const struct amb_task *task = &job->tasks[i];
        if (task->state != AMB_TASK_SEEN || task->agent_state != AMB_AGENT_TASK_RUNNING) return;
    }
    amb_gang_set_state(job, AMB_GANG_RUNNING, "all its tasks are running");
}

static void update_running(struct amb_task *task, const struct amb_agent_task *listed) {
    bool is_running = listed->state == AMB_AGENT_TASK_RUNNING || listed->state == AMB_AGENT_TASK_SAVING;
    if (is_running && !task->running_at) {
        amb_info("task %s/%u attempt %llu on %s: running", task->job->ref, task->index,
                 (unsigned long long)task->attempt, task->machine->name);
        task->interrupted = false;
    }
    amb_task_set_running(task, is_running);
}

static void handle_active(struct amb_node *node, struct amb_task *task, const struct amb_agent_task *listed) {
    struct amb_job *job = task->job;
    if (task->state != AMB_TASK_SEEN) {
        amb_task_set_state(node, task, AMB_TASK_SEEN, "reported");
        task->missed_heartbeats = 0;
    }
    task->agent_state = listed->state;
    update_running(task, listed);
    if (listed->state != AMB_AGENT_TASK_FETCHING)
        amb_machine_record_image_use(node, task->machine, job->spec->image, job->spec->image_gb);
    if (is_gang(job)) update_gang_state(job);
    if (task->running_at && amb_now() - task->running_at > heartbeat_periods(node, STABLE_HEARTBEATS))
        amb_task_record_success(job, task->machine);
}

/* ---- a task that the heartbeat lists ---- */

/* Evaluates the proof of absence by a heartbeat. listed: this attempt of the task as listed in the heartbeat,
 * or NULL if it is not listed. */
static enum amb_absence absence_by_heartbeat(struct amb_heartbeat_evidence evidence,
                                             const struct amb_task *task,
                                             const struct amb_agent_task *listed) {
    evidence.placement_durable = task->state == AMB_TASK_BOUND || task->state == AMB_TASK_SEEN;
    evidence.listed = listed != NULL;
    evidence.exited = listed && listed->state == AMB_AGENT_TASK_EXITED;
    return amb_absence_by_heartbeat(&evidence);
}

/* Returns whether the task is completed and its completion is not known to be durable in the key-value store.
 */
static bool has_unrecorded_completion(const struct amb_task *task) {
    return task && task->done && task->completion != AMB_COMPLETION_DURABLE &&
           task->job->state == AMB_JOB_QUEUED;
}

/* Returns whether the agent may forget the exit. It must keep a completion until that is on record, or else a
 * new leader would run the task again. job, task: NULL if not known. */
static bool may_clear(const struct amb_job *job, const struct amb_task *task,
                      const struct amb_agent_task *listed) {
    if (listed->exit_reason != AMB_EXIT_DONE) return true;
    if (has_unrecorded_completion(task)) return false;
    /* A job that is unknown here may only be missing because the job table lags behind the key-value store.
     */
    return task || job;
}

/* Returns the listed task, or NULL if the job is not active here or has no such task. */
static struct amb_task *find_task(struct amb_job *job, const struct amb_agent_task *listed) {
    if (!job || !job->active || listed->index >= job->spec->task_count) return NULL;
    return &job->tasks[listed->index];
}

/* Returns whether a record places the listed attempt on this machine. task: NULL if not known. */
static bool is_recorded_attempt(const struct amb_task *task, const struct amb_machine *machine,
                                const struct amb_agent_task *listed) {
    return task && task->machine == machine && task->attempt == listed->attempt &&
           task->state != AMB_TASK_PLACED;
}

static void add_command(struct amb_command_list *commands, enum amb_agent_command_kind kind,
                        const struct amb_agent_task *listed, double grace_s) {
    amb_command_list_add(commands, kind, listed->job_ref, listed->index, listed->attempt, grace_s);
}

void amb_task_handle_listed(struct amb_node *node, struct amb_machine *machine,
                            const struct amb_agent_task *listed, struct amb_heartbeat_evidence evidence,
                            struct amb_command_list *commands) {
    bool acknowledged = evidence.heartbeat_term == evidence.own_term;
    struct amb_job *job = amb_job_find(node, listed->job_ref);
    struct amb_task *task = find_task(job, listed);
    bool is_recorded = is_recorded_attempt(task, machine, listed);
    if (is_recorded) {
        task->last_listed_in = node->fleet.heartbeats_processed;
        task->start_due = false;
    }
    if (listed->state != AMB_AGENT_TASK_EXITED) {
        if (is_recorded) handle_active(node, task, listed);
        /* An attempt that is not on record was abandoned. */
        if (acknowledged && (!is_recorded || task->stop_requested))
            add_command(commands, AMB_COMMAND_STOP, listed, is_recorded ? task->grace_s : 0);
        return;
    }
    if (is_recorded) {
        if (!amb_absence_is_proven(absence_by_heartbeat(evidence, task, listed))) return;
        handle_exit(node, task, listed);
    }
    if (listed->exit_reason == AMB_EXIT_DONE && has_unrecorded_completion(task))
        machine->has_unrecorded_result = true;
    if (acknowledged && may_clear(job, task, listed)) add_command(commands, AMB_COMMAND_CLEAR, listed, 0);
}

/* ---- a task that the heartbeat does not list ---- */

/* Returns whether a task that an earlier leader placed may still start on the machine that its record names.
 * That leader may have known the task to be absent and reused its resources, since not every exit is written
 * to a record. All limits must therefore hold with every task counted that is not proven absent. */
static bool still_fits(const struct amb_node *node, const struct amb_task *task) {
    const struct amb_job *job = task->job;
    const struct amb_machine *machine = task->machine;
    if (is_gang(job) || machine->type_index < 0 || machine->zone_index < 0) return false;
    if (!amb_wdrr_is_within_limit(job->team, &job->spec->task_resources, 0)) return false;
    if (!amb_resources_fit(&machine->used, &node->catalog.types[machine->type_index].resources)) return false;
    uint32_t in_zone = job->zone_task_counts[machine->zone_index] +
                       amb_placement_count_tasks_in_unknown_zones(job); /* upper bound */
    if (job->spec->spread_zones && in_zone > amb_placement_max_tasks_per_zone(job->spec->task_count))
        return false;
    return !job->spec->one_zone || job->zone_task_counts[machine->zone_index] == job->bound_count;
}

/* Unbinds a task that is absent from its machine, and stops the other tasks of its gang's attempt. */
static void unbind_absent(struct amb_node *node, struct amb_task *task, const char *cause,
                          const char *gang_cause) {
    struct amb_job *job = task->job;
    amb_task_unbind(node, task, cause);
    if (is_gang(job) && job->bound_count) amb_gang_tear_down(node, job, gang_cause);
}

static void handle_disappeared(struct amb_node *node, struct amb_task *task) {
    task->interrupted = true;
    amb_info("task %s/%u on %s: no longer listed in the machine's heartbeat", task->job->ref, task->index,
             task->machine->name);
    unbind_absent(node, task, "no longer listed in its machine's heartbeat", "a task is absent");
}

/* Handles a task whose machine sends heartbeats but does not act on the responses. */
static void handle_not_started(struct amb_node *node, struct amb_task *task) {
    amb_machine_quarantine(task->machine, node->settings.agent_lease_s, "it does not act on commands");
    task->interrupted = true;
    unbind_absent(node, task, "its machine did not start it", "a task was not started");
}

/* Handles a bound task that is not listed. The heartbeat is newer than any response that carried the start,
 * so the task is not on its machine. */
static void handle_bound(struct amb_node *node, struct amb_task *task) {
    struct amb_job *job = task->job;
    if (task->stop_requested || job->state != AMB_JOB_QUEUED) {
        amb_task_unbind(node, task, "stop requested, and absent from its machine");
        return;
    }
    if (task->inherited && !still_fits(node, task)) {
        task->interrupted = job->spec->kind == AMB_JOB_KIND_SERVICE;
        unbind_absent(node, task, "placed by an earlier leader, absent, and its resources may be in use",
                      "an inherited task is absent");
        return;
    }
    if (task->start_unconfirmed && ++task->missed_heartbeats >= MISSED_HEARTBEATS_MAX) {
        handle_not_started(node, task);
        return;
    }
    task->start_unconfirmed = false;
    task->start_due = true;
}

void amb_task_handle_unlisted(struct amb_node *node, struct amb_task *task,
                              struct amb_heartbeat_evidence evidence) {
    if (!amb_absence_is_proven(absence_by_heartbeat(evidence, task, NULL))) return;
    if (task->state == AMB_TASK_SEEN)
        handle_disappeared(node, task);
    else
        handle_bound(node, task);
}
