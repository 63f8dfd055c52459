#include "amberpin/fleet/machines.h"

#include "amberpin/base/log.h"
#include "amberpin/node/events.h"
#include "amberpin/node/memory_budget.h"
#include "amberpin/node/node.h"

#include <stdlib.h>
#include <string.h>

struct amb_removed_machine {
    char name[AMB_NAME_SIZE];
    UT_hash_handle hh;
};

enum {
    ENTRY_OVERHEAD_BYTES = 32, /* of the allocation and of the hash table slot */
    FRESH_HEARTBEATS = 3,      /* heartbeat periods for which a heartbeat counts as recent */
};

/* ---- machine table ---- */

bool amb_machine_was_removed(const struct amb_node *node, const char *name) {
    struct amb_removed_machine *removed;
    HASH_FIND_STR(node->fleet.removed_machines, name, removed);
    return removed != NULL;
}

/* Returns a machine of which only the existence is known. */
static struct amb_machine *new_machine(struct amb_node *node, const char *name) {
    amb_ms now = amb_now();
    struct amb_machine *machine = amb_alloc(sizeof *machine);
    strcpy(machine->name, name);
    machine->number = node->fleet.next_number++;
    machine->state = AMB_MACHINE_UNPROVEN;
    machine->type_index = machine->zone_index = machine->reserved_priority = -1;
    machine->exists_since = machine->first_known_at = machine->created_at = now;
    machine->state_since = machine->idle_since = now;
    return machine;
}

struct amb_machine *amb_machine_get(struct amb_node *node, const char *name, bool add_if_missing) {
    struct amb_machine *machine;
    HASH_FIND_STR(node->fleet.machines, name, machine);
    if (machine || !add_if_missing || amb_machine_was_removed(node, name) || strlen(name) >= AMB_NAME_SIZE)
        return machine;
    machine = new_machine(node, name);
    HASH_ADD_STR(node->fleet.machines, name, machine);
    amb_event_post(node, &(struct amb_event){.type = AMB_EVENT_MACHINE_ADDED, .machine = machine});
    return machine;
}

static void free_machine(struct amb_machine *machine) {
    free(machine->images);
    free(machine->image_sizes_gb);
    free(machine);
}

size_t amb_machines_removed_limit(const struct amb_node *node) {
    return amb_memory_removed_machines_bytes(&node->settings) /
           (sizeof(struct amb_removed_machine) + ENTRY_OVERHEAD_BYTES);
}

/* Drops the oldest name when the limit is reached. A late copy of that machine's heartbeat would add the
 * machine again, as one without recorded tasks that can't be reached and is released for that. */
static void forget_oldest_removed(struct amb_node *node) {
    struct amb_removed_machine *oldest = node->fleet.removed_machines;
    if (!oldest || HASH_COUNT(node->fleet.removed_machines) < amb_machines_removed_limit(node)) return;
    if (!node->fleet.forgot_removed)
        amb_info("removed machines: limit of %u names reached, dropping the oldest",
                 HASH_COUNT(node->fleet.removed_machines));
    node->fleet.forgot_removed = true;
    /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): the head moves in HASH_DEL */
    HASH_DEL(node->fleet.removed_machines, oldest);
    free(oldest);
}

void amb_machine_remove(struct amb_node *node, struct amb_machine *machine) {
    forget_oldest_removed(node);
    struct amb_removed_machine *removed = amb_alloc(sizeof *removed);
    strcpy(removed->name, machine->name);
    /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): the head moves in HASH_DEL */
    HASH_ADD_STR(node->fleet.removed_machines, name, removed);
    HASH_DEL(node->fleet.machines, machine);
    free_machine(machine);
}

void amb_machines_clear(struct amb_node *node) {
    struct amb_machine *machine, *next;
    HASH_ITER(hh, node->fleet.machines, machine, next) {
        /* NOLINTNEXTLINE(clang-analyzer-*): the head moves in HASH_DEL, which the analyzer does not see */
        HASH_DEL(node->fleet.machines, machine);
        free_machine(machine);
    }
}

void amb_machines_forget_removed(struct amb_node *node) {
    struct amb_removed_machine *removed, *next;
    HASH_ITER(hh, node->fleet.removed_machines, removed, next) {
        /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): the head moves in HASH_DEL */
        HASH_DEL(node->fleet.removed_machines, removed);
        free(removed);
    }
}

/* ---- updates of one machine ---- */

void amb_machine_set_state(struct amb_machine *machine, enum amb_machine_state state, const char *cause) {
    static const char *const names[] = {
        [AMB_MACHINE_BOOTING] = "booting", [AMB_MACHINE_UNPROVEN] = "unproven",   [AMB_MACHINE_UP] = "up",
        [AMB_MACHINE_SILENT] = "silent",   [AMB_MACHINE_RELEASING] = "releasing",
    };
    if (machine->state == state) return;
    /* A release that was requested may still be carried out, so the state is final. */
    if (machine->state == AMB_MACHINE_RELEASING) return;
    amb_info("machine %s: %s -> %s: %s", machine->name, names[machine->state], names[state], cause);
    machine->state = state;
    machine->state_since = amb_now();
}

void amb_machine_mark_releasing(struct amb_machine *machine, const char *cause) {
    machine->release_pending = true;
    amb_machine_set_state(machine, AMB_MACHINE_RELEASING, cause);
}

void amb_machine_set_zone(struct amb_machine *machine, int zone) {
    if (machine->zone_index >= 0 || zone < 0) return;
    machine->zone_index = zone;
    for (struct amb_task *task = machine->tasks; task; task = task->next_on_machine)
        task->job->zone_task_counts[zone]++;
}

/* Logs, once for each machine, that it can't be used. type: the type that is not in the catalogue, or NULL if
 * the zone is beyond the limit. */
static void log_beyond_limits(struct amb_machine *machine, const char *type, const char *zone) {
    if (machine->missing_from_catalog) return;
    machine->missing_from_catalog = true;
    if (type)
        amb_error("machine %s can't be used: type %s is not in the catalogue, which holds %d "
                  "(AMB_MACHINE_TYPES_MAX) at most",
                  machine->name, type, AMB_MACHINE_TYPES_MAX);
    else
        amb_error("machine %s can't be used: zone %s is beyond the %d (AMB_ZONES_MAX) that are kept",
                  machine->name, zone, AMB_ZONES_MAX);
}

void amb_machine_set_location(struct amb_node *node, struct amb_machine *machine, const char *type,
                              const char *zone) {
    if (machine->type_index < 0 && type[0]) machine->type_index = amb_catalog_find_type(&node->catalog, type);
    if (machine->zone_index < 0)
        amb_machine_set_zone(machine, amb_catalog_find_or_add_zone(&node->catalog, zone));
    /* No type can be missing from the catalogue before the catalogue is known. */
    bool type_missing = machine->type_index < 0 && type[0] && node->cloud.catalog_known;
    bool zone_missing = machine->zone_index < 0 && zone[0];
    if (type_missing || zone_missing) log_beyond_limits(machine, type_missing ? type : NULL, zone);
}

void amb_machine_quarantine(struct amb_machine *machine, double seconds, const char *cause) {
    amb_ms until = amb_now() + amb_seconds_to_ms(seconds);
    if (until > machine->avoid_until) machine->avoid_until = until;
    amb_info("machine %s: quarantined for %g s: %s", machine->name, seconds, cause);
}

bool amb_machine_is_schedulable(const struct amb_node *node, const struct amb_machine *machine, amb_ms now) {
    amb_ms fresh_span = amb_seconds_to_ms(node->settings.heartbeat_s * FRESH_HEARTBEATS);
    return machine->state == AMB_MACHINE_UP && !machine->release_pending && !machine->draining &&
           !machine->reclaim_at && now >= machine->avoid_until && machine->type_index >= 0 &&
           machine->zone_index >= 0 && now - machine->last_heartbeat_at < fresh_span;
}
