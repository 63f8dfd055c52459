/* A scheduling cycle's view of the fleet: a slot for each machine that may be used and, for the capacity
 * plan, for each machine that is expected to come up. */
#include "cycle_internal.h"

#include <string.h>

enum { INITIAL_SLOT_CAPACITY = 128 };

/* A booting machine is expected to come up for this many boot times. After that another one is requested in
 * its place. */
static const double BOOT_WAIT_BOOTS = 2;
/* An unproven machine is expected to come up if its latest heartbeat is less than this many periods old. */
static const double UNPROVEN_HEARTBEAT_PERIODS = 3;

static struct amb_slot *append_slot(struct amb_cycle *cycle) {
    if (cycle->slot_count == cycle->slot_capacity) {
        cycle->slot_capacity = cycle->slot_capacity ? cycle->slot_capacity * 2 : INITIAL_SLOT_CAPACITY;
        cycle->slots = amb_realloc(cycle->slots, cycle->slot_capacity * sizeof *cycle->slots);
    }
    struct amb_slot *slot = &cycle->slots[cycle->slot_count++];
    memset(slot, 0, sizeof *slot);
    return slot;
}

struct amb_slot *amb_cycle_add_slot(struct amb_cycle *cycle, int type, int zone, bool spot) {
    struct amb_slot *slot = append_slot(cycle);
    slot->type = type;
    slot->zone = zone;
    slot->spot = spot;
    slot->available = cycle->node->catalog.types[type].resources;
    slot->size_gpus = slot->available.gpus;
    slot->usable = true;
    slot->reserved_priority = -1;
    return slot;
}

static void count_task(const struct amb_cycle *cycle, struct amb_slot *slot, const struct amb_task *task) {
    const struct amb_job_spec *spec = task->job->spec;
    if (task->stop_requested) amb_resources_add(&slot->releasing_soon, &spec->task_resources, 1);
    if (spec->kind == AMB_JOB_KIND_SERVICE) slot->long_running_gpus += spec->task_resources.gpus;
    if (spec->kind == AMB_JOB_KIND_ARRAY) amb_resources_add(&slot->batch_usage, &spec->task_resources, 1);
    if (amb_image_fetch_is_counted(task)) slot->fetching_gb += amb_image_fetch_remaining_gb(cycle, task);
}

static void add_machine_slot(struct amb_cycle *cycle, struct amb_machine *machine) {
    struct amb_slot *slot =
        amb_cycle_add_slot(cycle, machine->type_index, machine->zone_index, machine->spot);
    amb_resources_add(&slot->available, &machine->used, -1);
    slot->machine = machine;
    slot->reserved_priority = machine->reserved_priority;
    slot->claimed_by_gang = machine->claimed_by_gang;
    slot->reserved = machine->reserved;
    for (const struct amb_task *task = machine->tasks; task; task = task->next_on_machine)
        count_task(cycle, slot, task);
}

/* Returns whether the machine's type and zone are known and it is not to be released. */
static bool is_placeable(const struct amb_machine *machine) {
    return machine->type_index >= 0 && machine->zone_index >= 0 && !machine->release_pending;
}

void amb_cycle_collect_machines(struct amb_cycle *cycle) {
    struct amb_machine *machine, *next;
    HASH_ITER(hh, cycle->node->fleet.machines, machine, next) {
        if (is_placeable(machine) && amb_machine_is_schedulable(cycle->node, machine, cycle->now))
            add_machine_slot(cycle, machine);
    }
}

/* Returns whether the machine is still expected to come up in time. Machines in unreachable zones are not:
 * during a partition of 105 s, work waited two boot times for each machine requested on the other side. */
static bool is_pending(const struct amb_cycle *cycle, const struct amb_machine *machine) {
    const struct amb_node *node = cycle->node;
    double boot_s = node->catalog.types[machine->type_index].boot_s;
    amb_ms heartbeat_limit = amb_seconds_to_ms(node->settings.heartbeat_s * UNPROVEN_HEARTBEAT_PERIODS);
    bool boots_in_time = machine->state == AMB_MACHINE_BOOTING &&
                         cycle->now - machine->created_at < amb_seconds_to_ms(boot_s * BOOT_WAIT_BOOTS);
    bool recently_seen =
        machine->state == AMB_MACHINE_UNPROVEN && cycle->now - machine->last_heartbeat_at < heartbeat_limit;
    return (boots_in_time || recently_seen) && !amb_zone_is_unreachable(node, machine->zone_index);
}

static void add_requested_machines(struct amb_cycle *cycle, const struct amb_scale_out_request *scale_out) {
    bool is_unanswered =
        scale_out->state == AMB_SCALE_OUT_RECORDING || scale_out->state == AMB_SCALE_OUT_REQUESTING;
    if (!is_unanswered || amb_zone_is_unreachable(cycle->node, scale_out->zone)) return;
    for (uint32_t i = 0; i < scale_out->count; i++)
        amb_cycle_add_slot(cycle, scale_out->type, scale_out->zone, scale_out->spot);
}

void amb_cycle_add_pending_machines(struct amb_cycle *cycle) {
    struct amb_machine *machine, *next;
    HASH_ITER(hh, cycle->node->fleet.machines, machine, next) {
        if (is_placeable(machine) && is_pending(cycle, machine)) add_machine_slot(cycle, machine);
    }
    const struct amb_scale_out_request *scale_out = cycle->node->cloud.scale_out.requests;
    for (; scale_out; scale_out = scale_out->next) add_requested_machines(cycle, scale_out);
}
