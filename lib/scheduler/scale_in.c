/* Scale in: releases machines that are not needed. */
#include "plan_internal.h"

/* A machine that has not come up after this many boot times is assumed never to do so. */
static const double OVERDUE_BOOTS = 4;

/* Returns whether nothing is placed on the machine and all completions on it are recorded. A machine was once
 * released 0.04 s after its last task had ended during an outage: the completion could not be recorded, and
 * the next leader ran the task again. */
static bool is_empty(const struct amb_machine *machine) {
    return !machine->task_count && !machine->has_unrecorded_result;
}

static void release_idle_machine(struct amb_cycle *cycle, struct amb_slot *slot) {
    struct amb_node *node = cycle->node;
    struct amb_machine *machine = slot->machine;
    if (!machine || slot->planned_tasks || !is_empty(machine) || machine->state != AMB_MACHINE_UP) return;
    /* The machine may be idle only because no batch work may start in its zone yet, for a bounded time. */
    if (cycle->zones_without_batch >> machine->zone_index & 1) return;
    const struct amb_machine_type *type = &node->catalog.types[machine->type_index];
    amb_ms idle_limit = amb_seconds_to_ms(type->boot_s * node->options.idle_release_share);
    amb_ms leading_for = cycle->now - node->controller.leader_since;
    if (cycle->now - machine->idle_since > idle_limit && leading_for > idle_limit)
        amb_cloud_scale_in(node, machine, "idle");
}

void amb_plan_scale_in(struct amb_capacity_plan *plan) {
    struct amb_cycle *cycle = plan->cycle;
    struct amb_node *node = cycle->node;
    struct amb_machine *machine, *next;
    for (uint32_t i = 0; i < cycle->slot_count; i++) release_idle_machine(cycle, &cycle->slots[i]);
    HASH_ITER(hh, node->fleet.machines, machine, next) {
        if (machine->draining && is_empty(machine)) amb_cloud_scale_in(node, machine, "emptied");
    }
}

void amb_plan_release_overdue_boots(struct amb_node *node, amb_ms now) {
    struct amb_machine *machine, *next;
    HASH_ITER(hh, node->fleet.machines, machine, next) {
        if (machine->state != AMB_MACHINE_BOOTING || machine->type_index < 0) continue;
        double boot_s = node->catalog.types[machine->type_index].boot_s;
        if (now - machine->created_at > amb_seconds_to_ms(boot_s * OVERDUE_BOOTS))
            amb_cloud_release(node, machine, "it does not come up");
    }
}
