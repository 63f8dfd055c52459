#include "amberpin/agent/liveness.h"

#include "amberpin/agent/machine_loss.h"
#include "amberpin/fleet/agent_commands.h"
#include "amberpin/fleet/deferred_responses.h"
#include "amberpin/fleet/machine_probe.h"
#include "amberpin/node/node.h"
#include "lease_expiry.h"
#include "unusable_machines.h"

enum { PROBE_AFTER_HEARTBEATS = 4 /* heartbeat periods without a heartbeat */ };

/* Share of the cancellation deadline (cancel_s) after which a machine is released if its cancelled tasks are
 * not proven absent. */
static const double CANCEL_RELEASE_SHARE = 0.6;

/* ---- tasks that must stop ---- */

/* Returns whether neither this leader nor an earlier one has sent a start, so that the task can't be on its
 * machine. */
static bool was_never_started(const struct amb_task *task) {
    return task->state == AMB_TASK_BOUND && !task->start_sent && !task->inherited;
}

static bool is_cancel_overdue(const struct amb_node *node, const struct amb_job *job) {
    return job->state == AMB_JOB_CANCELLED &&
           amb_wall_ms() - job->cancelled_wall_ms >
               amb_seconds_to_ms(node->settings.cancel_s * CANCEL_RELEASE_SHARE);
}

static void check_stopping_task(struct amb_node *node, struct amb_machine *machine, struct amb_task *task) {
    if (task->stop_requested && was_never_started(task))
        amb_task_unbind(node, task, "no start was sent");
    else if (machine->state != AMB_MACHINE_RELEASING && is_cancel_overdue(node, task->job))
        amb_cloud_release(node, machine, "a cancelled task can't be proven gone in time");
}

static void check_stopping_tasks(struct amb_node *node, struct amb_machine *machine) {
    for (struct amb_task *task = machine->tasks, *next; task; task = next) {
        next = task->next_on_machine;
        uint32_t count_before = machine->task_count;
        check_stopping_task(node, machine, task);
        /* Other tasks, including `next`, may have been unbound with it: restart from the head. */
        if (machine->task_count != count_before) next = machine->tasks;
    }
}

/* ---- all machines ---- */

/* Probes a machine that acknowledged this leader's token but has stopped reporting: it may now send its
 * heartbeats to another node. */
static void check_misdirected(struct amb_node *node, struct amb_machine *machine, amb_ms now) {
    amb_ms span = amb_seconds_to_ms(node->settings.heartbeat_s * PROBE_AFTER_HEARTBEATS);
    if (machine->state == AMB_MACHINE_UP && now - machine->last_heartbeat_at > span)
        amb_machine_probe(node, machine, now);
}

static void tick_machine(struct amb_node *node, struct amb_machine *machine, amb_ms now) {
    if (machine->stop_commands_due) amb_machine_send_stops(node, machine);
    if (machine->failed_by_cloud && machine->tasks)
        amb_machine_unbind_lost_tasks(node, machine, AMB_ABSENCE_FAILED);
    amb_machine_check_lease(node, machine, now);
    amb_machine_check_usable(node, machine, now);
    check_misdirected(node, machine, now);
    check_stopping_tasks(node, machine);
}

void amb_fleet_tick(struct amb_node *node, amb_ms now) {
    struct amb_machine *machine, *next;
    if (!node->controller.restored_at) return;
    amb_zones_tick(node, now);
    HASH_ITER(hh, node->fleet.machines, machine, next) tick_machine(node, machine, now);
}

static bool should_be_working(const struct amb_machine *machine) {
    return machine->state != AMB_MACHINE_BOOTING && machine->state != AMB_MACHINE_RELEASING &&
           !machine->failed_by_cloud;
}

bool amb_fleet_has_acknowledged_token(const struct amb_node *node) {
    uint32_t working = 0, acknowledged = 0;
    for (const struct amb_machine *machine = node->fleet.machines; machine; machine = machine->hh.next) {
        if (!should_be_working(machine)) continue;
        working++;
        acknowledged += machine->token_acknowledged;
    }
    return acknowledged * 10 >= working * 9; /* nine in ten */
}

void amb_fleet_clear(struct amb_node *node) {
    for (struct amb_machine *machine = node->fleet.machines; machine; machine = machine->hh.next)
        amb_deferred_response_finish(node, machine);
    amb_machines_clear(node);
    amb_zones_clear(node);
}
