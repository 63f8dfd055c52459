#include "amberpin/agent/heartbeats.h"

#include "amberpin/agent/task_status.h"
#include "amberpin/base/log.h"
#include "amberpin/node/node.h"
#include "reclaim_notice.h"

#include <string.h>

static struct amb_heartbeat_order heartbeat_order(const struct amb_agent_heartbeat *heartbeat) {
    return (struct amb_heartbeat_order){heartbeat->incarnation, heartbeat->sequence};
}

static struct amb_heartbeat_order newest_order(const struct amb_machine *machine) {
    return (struct amb_heartbeat_order){machine->incarnation, machine->sequence};
}

bool amb_heartbeat_is_newer(const struct amb_agent_heartbeat *heartbeat, const struct amb_machine *machine) {
    return amb_heartbeat_order_is_newer(heartbeat_order(heartbeat), newest_order(machine));
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

/* ---- state of the machine ---- */

static void update_machine(struct amb_node *node, struct amb_machine *machine,
                           const struct amb_agent_heartbeat *heartbeat) {
    amb_machine_set_location(node, machine, heartbeat->type, heartbeat->zone);
    machine->spot = heartbeat->spot;
    strcpy(machine->address, heartbeat->address);
}

/* A start in the response must rest on a read that is sent after the heartbeat has arrived. */
static void update_newest_heartbeat(const struct amb_node *node, struct amb_machine *machine,
                                    const struct amb_agent_heartbeat *heartbeat, amb_ms now) {
    machine->start_read = amb_watch_next_fresh_read(node);
    machine->incarnation = heartbeat->incarnation;
    machine->sequence = heartbeat->sequence;
    machine->last_heartbeat_at = now;
}

static void update_token_state(struct amb_machine *machine, bool acknowledged) {
    if (acknowledged) {
        machine->token_acknowledged = true;
        amb_machine_set_state(machine, AMB_MACHINE_UP, "it acknowledged our fencing token");
    } else if (machine->state == AMB_MACHINE_BOOTING) {
        amb_machine_set_state(machine, AMB_MACHINE_UNPROVEN, "heartbeat received");
    }
}

/* ---- tasks of the machine ---- */

/* Handles the tasks that are bound to the machine but not listed in the heartbeat. */
static void process_unlisted(struct amb_node *node, struct amb_machine *machine,
                             struct amb_heartbeat_evidence evidence) {
    for (struct amb_task *task = machine->tasks, *next; task; task = next) {
        next = task->next_on_machine;
        if (task->last_listed_in == node->fleet.heartbeats_processed) continue;
        task->last_listed_in = node->fleet.heartbeats_processed;
        uint32_t count_before = machine->task_count;
        amb_task_handle_unlisted(node, task, evidence);
        /* Tearing down a gang may have unbound other tasks of this machine, including `next`: restart from
         * the head. */
        if (machine->task_count != count_before) next = machine->tasks;
    }
}

static void process_tasks(struct amb_node *node, struct amb_machine *machine,
                          const struct amb_agent_heartbeat *heartbeat, struct amb_heartbeat_order previous,
                          struct amb_command_list *commands) {
    const struct amb_heartbeat_evidence evidence = {
        .order = heartbeat_order(heartbeat),
        .newest_seen = previous,
        .heartbeat_term = heartbeat->fencing_token,
        .own_term = node->election.term,
    };
    bool acknowledged = evidence.heartbeat_term == evidence.own_term;
    node->fleet.heartbeats_processed++;
    update_token_state(machine, acknowledged);
    machine->has_unrecorded_result = false;
    for (size_t i = 0; i < heartbeat->task_count; i++)
        amb_task_handle_listed(node, machine, &heartbeat->tasks[i], evidence, commands);
    if (acknowledged) process_unlisted(node, machine, evidence);
}

/* ---- processing of a heartbeat ---- */

static void process_heartbeat(struct amb_node *node, const struct amb_agent_heartbeat *heartbeat, amb_ms now,
                              struct amb_command_list *commands) {
    struct amb_machine *machine = amb_machine_get(node, heartbeat->machine, true);
    if (!machine) return; /* the machine was removed: this is a late copy */
    update_machine(node, machine, heartbeat);
    /* The agent may take the response as a renewal of its lease, so the lease counts from now, even if the
     * heartbeat is a late copy. */
    machine->last_response_at = now;
    struct amb_heartbeat_order previous = newest_order(machine);
    if (!amb_heartbeat_is_newer(heartbeat, machine)) {
        amb_debug("machine %s: ignoring late copy of heartbeat %llu/%llu", machine->name,
                  (unsigned long long)heartbeat->incarnation, (unsigned long long)heartbeat->sequence);
        return;
    }
    update_newest_heartbeat(node, machine, heartbeat, now);
    if (!node->controller.restored_at) { /* the records are still being restored */
        amb_heartbeat_stop_cancelled(node, heartbeat, commands);
        return;
    }
    process_tasks(node, machine, heartbeat, previous, commands);
    if (heartbeat->reclaim_notice_s >= 0)
        amb_machine_handle_reclaim_notice(node, machine, heartbeat->reclaim_notice_s, now);
}

enum amb_heartbeat_result amb_heartbeat_process(struct amb_node *node,
                                                const struct amb_agent_heartbeat *heartbeat, amb_ms now,
                                                struct amb_command_list *commands) {
    if (heartbeat->fencing_token > node->election.term) return AMB_HEARTBEAT_HIGHER_TERM;
    process_heartbeat(node, heartbeat, now, commands);
    return AMB_HEARTBEAT_PROCESSED;
}
