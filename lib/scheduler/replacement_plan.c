/* Plans capacity for tasks that are about to be lost. A machine that has been silent for most of its lease is
 * likely to be lost, and a new one takes longer to boot than the rest of the lease, so capacity for its tasks
 * is planned before the lease expires. Nothing is preempted for them, since the machine may come back. */
#include "plan_internal.h"

/* Time without a heartbeat after which capacity for a machine's tasks is planned, as a share of its lease. It
 * is longer than an agent takes to find another controller. */
static const double SILENT_LEASE_SHARE = 0.65;
/* If no machine has sent a heartbeat for this many periods, this controller itself is unreachable. Without
 * this check a new leader in that situation requested twice its fleet within 14 s. */
static const double UNREACHABLE_HEARTBEAT_PERIODS = 3;

static bool has_recent_heartbeat(const struct amb_cycle *cycle) {
    const struct amb_node *node = cycle->node;
    amb_ms limit = amb_seconds_to_ms(node->settings.heartbeat_s * UNREACHABLE_HEARTBEAT_PERIODS);
    amb_ms latest_heartbeat = 0;
    for (const struct amb_machine *machine = node->fleet.machines; machine; machine = machine->hh.next)
        if (machine->last_heartbeat_at > latest_heartbeat) latest_heartbeat = machine->last_heartbeat_at;
    return cycle->now - latest_heartbeat <= limit;
}

static bool is_about_to_be_lost(const struct amb_cycle *cycle, const struct amb_machine *machine) {
    const struct amb_node *node = cycle->node;
    amb_ms silence_limit = amb_seconds_to_ms(node->settings.agent_lease_s * SILENT_LEASE_SHARE);
    amb_ms leader_since = node->controller.leader_since;
    amb_ms silent_since =
        machine->last_heartbeat_at > leader_since ? machine->last_heartbeat_at : leader_since;
    if (machine->zone_index < 0 || machine->type_index < 0 || machine->release_pending) return false;
    if (cycle->now - silent_since < silence_limit) return false;
    return !amb_lease_proxy_is_active_in_zone(node, machine->zone_index); /* which renews its lease */
}

/* Plans a second place for the task, in addition to its present one. */
static void plan_replacement(struct amb_capacity_plan *plan, const struct amb_task *task) {
    struct amb_cycle *cycle = plan->cycle;
    struct amb_job *job = task->job;
    int zone = task->machine->zone_index;
    struct amb_placement_request request;
    amb_cycle_init_request(cycle, job, &request);
    job->zone_task_counts[zone]--;
    int slot_index = amb_cycle_find_best_slot(cycle, &request, true);
    struct amb_slot *slot =
        slot_index >= 0 ? &cycle->slots[slot_index]
                        : amb_plan_scale_out(plan, &request, plan->max_tasks_per_job, AMB_SCALE_OUT_EVEN);
    job->zone_task_counts[zone]++;
    if (!slot) return;
    amb_plan_take_slot(plan, slot, &request.need);
    if (slot->machine) slot->machine->reserved_priority = (int)amb_job_get_effective_priority(job);
}

void amb_plan_replacements(struct amb_capacity_plan *plan) {
    struct amb_cycle *cycle = plan->cycle;
    if (!has_recent_heartbeat(cycle)) return;
    amb_cycle_annotate_ignoring_image(cycle);
    const struct amb_machine *machine = cycle->node->fleet.machines;
    for (; machine; machine = machine->hh.next) {
        if (!is_about_to_be_lost(cycle, machine)) continue;
        for (const struct amb_task *task = machine->tasks; task; task = task->next_on_machine)
            if (!task->stop_requested && !task->done && task->job->state == AMB_JOB_QUEUED)
                plan_replacement(plan, task);
    }
}
