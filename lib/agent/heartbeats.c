#include "amberpin/agent/heartbeats.h"

#include "amberpin/agent/task_status.h"
#include "amberpin/base/log.h"
#include "amberpin/node/node.h"

#include <string.h>

static struct amb_heartbeat_order position_of(const struct amb_agent_heartbeat *heartbeat) {
    return (struct amb_heartbeat_order){heartbeat->incarnation, heartbeat->sequence};
}

static struct amb_heartbeat_order newest_position(const struct amb_machine *machine) {
    return (struct amb_heartbeat_order){machine->incarnation, machine->sequence};
}

bool amb_heartbeat_is_newer(const struct amb_agent_heartbeat *heartbeat, const struct amb_machine *machine) {
    return amb_heartbeat_order_is_newer(position_of(heartbeat), newest_position(machine));
}

void amb_heartbeat_stop_cancelled(struct amb_node *node, const struct amb_agent_heartbeat *heartbeat,
                                  struct amb_command_list *commands) {
    for (size_t i = 0; i < heartbeat->task_count; i++) {
        const struct amb_agent_task *listed = &heartbeat->tasks[i];
        const struct amb_job *job = amb_job_find(node, listed->job_ref);
        if (listed->state != AMB_AGENT_TASK_EXITED && job && job->state == AMB_JOB_CANCELLED)
            amb_command_list_add(commands, AMB_COMMAND_STOP, listed->job_ref, listed->index, listed->attempt,
                                 0);
    }
}

/* ---- the cloud takes the machine back ---- */

static void checkpoint_gang(struct amb_node *node, struct amb_job *job) {
    if (job->gang_state != AMB_GANG_RUNNING) return;
    amb_gang_set_state(job, AMB_GANG_STOPPING, "a machine of it is taken back");
    for (uint32_t i = 0; i < job->spec->task_count; i++)
        amb_task_request_stop(node, &job->tasks[i], job->spec->checkpoint_save_s, "its gang saves");
}

static void handle_interruption_notice(struct amb_node *node, struct amb_machine *machine, double left_s,
                                       amb_ms now) {
    bool first = !machine->reclaim_at;
    if (first) amb_info("machine %s: the cloud takes it back in %g s", machine->name, left_s);
    machine->reclaim_at = now + amb_seconds_to_ms(left_s);
    if (!first) return;
    for (struct amb_task *task = machine->tasks, *next; task; task = next) {
        next = task->next_on_machine;
        struct amb_job *job = task->job;
        if (job->spec->checkpoint_interval_s <= 0 || job->spec->checkpoint_save_s >= left_s)
            continue; /* nothing to save in time */
        if (job->spec->kind == AMB_JOB_KIND_GANG)
            checkpoint_gang(node, job);
        else
            amb_task_request_stop(node, task, job->spec->checkpoint_save_s, "its machine is taken back");
    }
}

/* ---- the report ---- */

static void update_machine(struct amb_node *node, struct amb_machine *machine,
                           const struct amb_agent_heartbeat *heartbeat) {
    amb_machine_set_location(node, machine, heartbeat->type, heartbeat->zone);
    machine->spot = heartbeat->spot;
    strcpy(machine->address, heartbeat->address);
}

static void update_token_state(struct amb_machine *machine, bool acknowledged) {
    if (acknowledged) {
        machine->token_acknowledged = true;
        amb_machine_set_state(machine, AMB_MACHINE_UP, "it shows our token");
    } else if (machine->state == AMB_MACHINE_BOOTING) {
        amb_machine_set_state(machine, AMB_MACHINE_UNPROVEN, "it reports");
    }
}

/* The tasks that should be there and that the report does not name. */
static void process_unlisted(struct amb_node *node, struct amb_machine *machine,
                             struct amb_heartbeat_evidence evidence, struct amb_command_list *commands) {
    for (struct amb_task *task = machine->tasks, *next; task; task = next) {
        next = task->next_on_machine;
        if (task->last_listed_in == node->fleet.heartbeats_processed) continue;
        task->last_listed_in = node->fleet.heartbeats_processed;
        uint32_t ntasks_before = machine->task_count;
        amb_task_handle_unlisted(node, task, evidence, commands);
        /* A gang torn down meanwhile may take this machine's other tasks with it: begin again. */
        if (machine->task_count != ntasks_before) next = machine->tasks;
    }
}

static void process_heartbeat(struct amb_node *node, const struct amb_agent_heartbeat *heartbeat, amb_ms now,
                              struct amb_command_list *commands) {
    struct amb_machine *machine = amb_machine_get(node, heartbeat->machine, true);
    if (!machine) return; /* gone: a late copy */
    update_machine(node, machine, heartbeat);
    /* Whoever asked gets an answer and may take it as a renewal: so the lease counts from now, even when
     * the report turns out to be a late copy. */
    machine->last_response_at = now;
    struct amb_heartbeat_order previous = newest_position(machine);
    if (!amb_heartbeat_is_newer(heartbeat, machine)) {
        amb_debug("machine %s: late copy of report %llu/%llu", machine->name,
                  (unsigned long long)heartbeat->incarnation, (unsigned long long)heartbeat->sequence);
        return;
    }
    machine->incarnation = heartbeat->incarnation;
    machine->sequence = heartbeat->sequence;
    machine->last_heartbeat_at = now;
    if (!node->controller.restored_at) { /* the records are still being read */
        amb_heartbeat_stop_cancelled(node, heartbeat, commands);
        return;
    }
    bool acknowledged = heartbeat->fencing_token == node->election.term;
    update_token_state(machine, acknowledged);
    node->fleet.heartbeats_processed++;
    const struct amb_heartbeat_evidence evidence = {.order = position_of(heartbeat),
                                                    .newest_seen = previous,
                                                    .heartbeat_term = heartbeat->fencing_token,
                                                    .own_term = node->election.term};
    machine->has_unrecorded_result = false;
    for (size_t i = 0; i < heartbeat->task_count; i++)
        amb_task_handle_listed(node, machine, &heartbeat->tasks[i], evidence, commands);
    if (acknowledged) process_unlisted(node, machine, evidence, commands);
    if (heartbeat->reclaim_notice_s >= 0)
        handle_interruption_notice(node, machine, heartbeat->reclaim_notice_s, now);
}

bool amb_heartbeat_process(struct amb_node *node, const struct amb_agent_heartbeat *heartbeat, amb_ms now,
                           struct amb_agent_command *commands, size_t capacity, size_t *count) {
    struct amb_command_list list = {commands, capacity, 0};
    *count = 0;
    if (heartbeat->fencing_token > node->election.term) return false;
    process_heartbeat(node, heartbeat, now, &list);
    *count = list.count;
    return true;
}
