/* Consolidation: moves work that could run on fewer machines. Machines are chosen for draining one at a time;
 * their replicas are moved to other machines, and scale in releases them once they are empty. */
#include "plan_internal.h"

#include "amberpin/base/log.h"

#include <math.h>
#include <stdlib.h>

/* A replica is moved only after it has run for this many agent leases. */
static const double MIN_RUNTIME_LEASES = 4;
enum { MOVES_PER_PLAN_MAX = 2 };
/* A further machine is drained only while at most one in this many is draining. */
enum { MACHINES_PER_DRAIN = 20 };
/* A machine is drained only if at most this share of its GPUs is used. */
static const double DRAIN_USED_SHARE_MAX = 0.5;
/* The capacity that the rest of the fleet must have, as a multiple of the recent peak usage. */
static const double PEAK_MARGIN = 1.1;

/* ---- moving replicas ---- */

static bool is_movable(const struct amb_cycle *cycle, const struct amb_task *task) {
    amb_ms min_runtime = amb_seconds_to_ms(cycle->node->settings.agent_lease_s * MIN_RUNTIME_LEASES);
    if (task->stop_requested || task->state != AMB_TASK_SEEN || !task->running_at) return false;
    return task->job->state == AMB_JOB_QUEUED && cycle->now - task->running_at >= min_runtime;
}

/* Takes resources for the replica on another machine that is up and holds the image, so that the replica is
 * down for little more than two heartbeats. */
static bool take_slot_for_move(struct amb_cycle *cycle, struct amb_task *task) {
    struct amb_job *job = task->job;
    struct amb_placement_request request;
    if (!is_movable(cycle, task)) return false;
    amb_cycle_annotate_for_image(cycle, job->spec, job->spec->image);
    amb_cycle_init_request(cycle, job, &request);
    int zone = task->machine->zone_index;
    job->zone_task_counts[zone]--;
    int slot_index = amb_cycle_find_best_slot(cycle, &request, false);
    job->zone_task_counts[zone]++;
    if (slot_index < 0) return false;
    struct amb_slot *slot = &cycle->slots[slot_index];
    if (!slot->has_image || !slot->machine || slot->machine == task->machine) return false;
    if (slot->machine->state != AMB_MACHINE_UP) return false;
    amb_cycle_take_resources(cycle, slot, &job->spec->task_resources);
    return true;
}

static void move_replicas(struct amb_cycle *cycle) {
    struct amb_machine *machine, *next;
    uint32_t moves = 0;
    HASH_ITER(hh, cycle->node->fleet.machines, machine, next) {
        if (!machine->draining || machine->state != AMB_MACHINE_UP) continue;
        struct amb_task *task = machine->tasks;
        for (; task && moves < MOVES_PER_PLAN_MAX; task = task->next_on_machine) {
            if (task->job->spec->kind != AMB_JOB_KIND_SERVICE || !take_slot_for_move(cycle, task)) continue;
            amb_task_request_stop(cycle->node, task, 0, "moved, so that its machine can be released");
            moves++;
        }
    }
}

/* ---- choosing a machine to drain ---- */

/* Takes resources elsewhere for each replica of the machine. False: a replica can't move, or the machine runs
 * a gang, which can't move, or batch work that was told to stop. Other batch work ends by itself. */
static bool take_slots_for_replicas(struct amb_cycle *cycle, const struct amb_machine *machine) {
    for (struct amb_task *task = machine->tasks; task; task = task->next_on_machine) {
        enum amb_job_kind kind = task->job->spec->kind;
        if (kind == AMB_JOB_KIND_SERVICE && !take_slot_for_move(cycle, task)) return false;
        if (kind != AMB_JOB_KIND_SERVICE && (kind == AMB_JOB_KIND_GANG || task->stop_requested)) return false;
    }
    return true;
}

/* Returns whether the machine's replicas could move elsewhere. All slots are restored afterwards. */
static bool can_drain(struct amb_cycle *cycle, struct amb_slot *slot) {
    uint32_t first_change = cycle->rankings.change_count;
    struct amb_resources *saved_available = amb_alloc(cycle->slot_count * sizeof *saved_available);
    for (uint32_t i = 0; i < cycle->slot_count; i++) saved_available[i] = cycle->slots[i].available;
    slot->usable = false;
    amb_cycle_mark_slot_changed(cycle, slot);
    bool could_move = take_slots_for_replicas(cycle, slot->machine);
    slot->usable = true;
    uint32_t last_change = cycle->rankings.change_count;
    for (uint32_t change = first_change; change < last_change; change++) {
        uint32_t slot_index = cycle->rankings.changed_slots[change];
        cycle->slots[slot_index].available = saved_available[slot_index];
        amb_cycle_mark_slot_changed(cycle, &cycle->slots[slot_index]);
    }
    free(saved_available);
    return could_move;
}

/* The share of a machine's GPUs that can be used by tasks that need resources in the proportions of the peak
 * usage. */
static double usable_share(const struct amb_resources *size, const struct amb_resources *peak) {
    double share = 1;
    if (peak->memory_gb > 0) share = fmin(share, size->memory_gb / peak->memory_gb * peak->gpus / size->gpus);
    if (peak->cpus > 0) share = fmin(share, size->cpus / peak->cpus * peak->gpus / size->gpus);
    return share;
}

/* Returns whether the fleet without this machine has capacity for the recent peak usage. */
static bool is_surplus(const struct amb_cycle *cycle, const struct amb_machine *excluded) {
    const struct amb_resources *peak = &cycle->node->controller.peak_usage;
    double remaining_gpus = 0;
    for (uint32_t i = 0; i < cycle->slot_count; i++) {
        const struct amb_machine *machine = cycle->slots[i].machine;
        if (!machine || machine == excluded || machine->state != AMB_MACHINE_UP || machine->draining)
            continue;
        const struct amb_resources *size = &cycle->node->catalog.types[machine->type_index].resources;
        remaining_gpus += size->gpus * usable_share(size, peak);
    }
    return remaining_gpus >= peak->gpus * PEAK_MARGIN;
}

static bool is_lightly_used(const struct amb_slot *slot) {
    const struct amb_machine *machine = slot->machine;
    if (!machine || machine->state != AMB_MACHINE_UP || !machine->task_count) return false;
    return !slot->planned_tasks && machine->used.gpus <= slot->size_gpus * DRAIN_USED_SHARE_MAX;
}

static void drain_least_used_machine(struct amb_cycle *cycle) {
    struct amb_machine *best = NULL;
    for (uint32_t i = 0; i < cycle->slot_count; i++) {
        struct amb_slot *slot = &cycle->slots[i];
        if (!is_lightly_used(slot)) continue;
        if (best && slot->machine->used.gpus >= best->used.gpus) continue;
        if (is_surplus(cycle, slot->machine) && can_drain(cycle, slot)) best = slot->machine;
    }
    if (!best) return;
    amb_info("machine %s: draining: the rest of the fleet has capacity for its %u tasks", best->name,
             best->task_count);
    best->draining = true;
}

static void stop_draining(struct amb_node *node) {
    struct amb_machine *machine, *next;
    HASH_ITER(hh, node->fleet.machines, machine, next) {
        if (!machine->release_pending) machine->draining = false;
    }
}

void amb_plan_consolidation(struct amb_capacity_plan *plan) {
    struct amb_cycle *cycle = plan->cycle;
    struct amb_machine *machine, *next;
    uint32_t draining = 0, up = 0;
    HASH_ITER(hh, cycle->node->fleet.machines, machine, next) {
        up += machine->state == AMB_MACHINE_UP;
        draining += machine->draining;
    }
    /* Machines are about to be requested, so those that are already up are kept. */
    if (plan->scale_out_total) {
        stop_draining(cycle->node);
        return;
    }
    move_replicas(cycle);
    if (draining * MACHINES_PER_DRAIN <= up) drain_least_used_machine(cycle);
}
