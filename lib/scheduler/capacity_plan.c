/* What does not fit now: room to wait for, to make or to rent; and machines to return. */
#include "amberpin/scheduler/capacity_plan.h"

#include "amberpin/agent/task_failures.h"
#include "amberpin/base/log.h"
#include "amberpin/placement/wdrr.h"
#include "amberpin/scheduler/start_deadline.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* ---- what does not fit: wait for room that comes, make room, or rent ---- */

/* Tasks of an array or a service that are planned for at a time: so many, or as many as there are machines.
 */
enum { PLAN_TASKS_MIN = 256 };

struct capacity_plan {
    struct amb_cycle *cycle;
    uint32_t max_tasks_per_job;
    uint32_t scale_out_counts[AMB_MACHINE_TYPES_MAX][AMB_ZONES_MAX][2], scale_out_total;
    uint32_t choice_count;
    struct scale_out_choice {
        int type, zone;
        bool spot;
        enum amb_priority priority; /* of the first that wanted it */
        double boot_s;
    } choices[AMB_MACHINE_TYPES_MAX * AMB_ZONES_MAX * 2]; /* of those to be rented */
    uint32_t counted_zone_count; /* counted for tasks of the job at hand that are only planned */
    int *counted_zones;
    struct amb_resources planned_usage[AMB_TEAMS_MAX]; /* planned for each team on top of what it uses */
};

static double max_tasks_that_fit(const struct amb_resources *need, const struct amb_resources *size) {
    double count = 1e6;
    if (need->cpus > 0) count = fmin(count, floor(size->cpus / need->cpus + 1e-6));
    if (need->gpus > 0) count = fmin(count, floor(size->gpus / need->gpus + 1e-6));
    if (need->memory_gb > 0) count = fmin(count, floor(size->memory_gb / need->memory_gb + 1e-6));
    return count;
}

static double longest_boot_s(const struct amb_node *node) {
    double longest_s = 0;
    for (uint32_t type_index = 0; type_index < node->catalog.type_count; type_index++)
        longest_s = fmax(longest_s, node->catalog.types[type_index].boot_s);
    return longest_s;
}

/* The cheapest machine per task that could be rented for the wish; most: tasks of this shape that wait. */
static struct amb_slot *choose_cheapest_scale_out(struct capacity_plan *plan,
                                                  const struct amb_placement_request *request,
                                                  uint32_t max_tasks, bool spread_even) {
    struct amb_cycle *cycle = plan->cycle;
    struct amb_node *node = cycle->node;
    double lowest_cost = INFINITY;
    int best_type = -1, best_zone = -1, best_spot = 0;
    for (uint32_t type_index = 0; type_index < node->catalog.type_count; type_index++) {
        const struct amb_machine_type *type = &node->catalog.types[type_index];
        double tasks_per_machine = max_tasks_that_fit(&request->need, &type->resources);
        if (tasks_per_machine < 1 || !(request->type_mask >> type_index & 1)) continue;
        for (uint32_t k = 0; k < type->zone_count; k++) {
            int zone = amb_catalog_find_or_add_zone(&node->catalog, type->zones[k]);
            for (int spot = 0; spot <= (int)request->spot_allowed; spot++) {
                struct amb_slot slot = {.type = (int)type_index,
                                        .zone = zone,
                                        .spot = spot,
                                        .usable = true,
                                        .reserved_priority = -1};
                if (zone < 0 || !amb_placement_is_allowed(request, &slot) ||
                    amb_zone_is_unreachable(node, zone) ||
                    amb_scale_out_is_backing_off(node, (int)type_index, zone, spot, cycle->now))
                    continue;
                double cost = (spot ? type->hourly_spot_price : type->hourly_price) /
                              fmin(tasks_per_machine, max_tasks ? max_tasks : 1);
                if (spread_even) cost += 1e-3 * plan->scale_out_counts[type_index][zone][spot];
                if (cost < lowest_cost) {
                    lowest_cost = cost;
                    best_type = (int)type_index;
                    best_zone = zone;
                    best_spot = spot;
                }
            }
        }
    }
    if (best_type < 0) return NULL;
    if (!plan->scale_out_counts[best_type][best_zone][best_spot]++)
        plan->choices[plan->choice_count++] = (struct scale_out_choice){
            best_type, best_zone, best_spot, request->priority, node->catalog.types[best_type].boot_s};
    plan->scale_out_total++;
    return amb_cycle_add_slot(cycle, best_type, best_zone, best_spot);
}

/* What is to be asked for first when calls are few: for the most urgent work, and what takes longest to come.
 */
static int compare_scale_outs(const void *left, const void *right) {
    const struct scale_out_choice *left_choice = left, *right_choice = right;
    if (left_choice->priority != right_choice->priority)
        return left_choice->priority > right_choice->priority ? -1 : 1;
    if (left_choice->boot_s != right_choice->boot_s)
        return left_choice->boot_s > right_choice->boot_s ? -1 : 1;
    if (left_choice->zone != right_choice->zone) return left_choice->zone < right_choice->zone ? -1 : 1;
    return (int)left_choice->spot - (int)right_choice->spot;
}

static bool is_within_team_limit(const struct capacity_plan *plan, const struct amb_job *job,
                                 double task_count) {
    uint32_t team_index = (uint32_t)(job->team - plan->cycle->node->settings.teams);
    struct amb_team planned_team = *job->team;
    amb_resources_add(&planned_team.used, &plan->planned_usage[team_index], 1);
    return amb_wdrr_is_within_limit(&planned_team, &job->spec->task_resources, task_count);
}

static void plan_task(struct capacity_plan *plan, struct amb_job *job, struct amb_placement_request *request,
                      uint32_t max_tasks, bool can_wait, bool *done) {
    struct amb_cycle *cycle = plan->cycle;
    struct amb_slot *slot = NULL;
    int slot_index = amb_cycle_find_best_slot(cycle, request, true);
    *done = false;
    /* A place that has to boot is taken only when no running work can make way. */
    bool is_up = slot_index >= 0 && cycle->slots[slot_index].machine &&
                 cycle->slots[slot_index].machine->state == AMB_MACHINE_UP;
    if (!is_up) slot = amb_cycle_preempt_for(cycle, job, request, false); /* takes the room itself */
    if (!slot) {
        slot = slot_index >= 0 ? &cycle->slots[slot_index]
               : can_wait      ? NULL
                               : choose_cheapest_scale_out(plan, request, max_tasks, true);
        if (!slot) {
            *done = true;
            return;
        }
        amb_resources_add(&slot->available, &request->need, -1);
        amb_cycle_note_slot_change(cycle, slot);
        slot->planned_tasks++;
        if (amb_job_is_recovering(cycle->node, job)) amb_cycle_reserve_on_slot(slot, job->spec);
    }
    job->zone_task_counts[slot->zone]++;
    plan->counted_zones[plan->counted_zone_count++] = slot->zone;
}

static void plan_job(struct capacity_plan *plan, struct amb_job *job) {
    struct amb_cycle *cycle = plan->cycle;
    struct amb_placement_request request;
    bool done = false, can_wait = amb_start_can_wait_for_capacity(cycle->node, job);
    uint32_t remaining = amb_job_count_waiting_tasks(job),
             team_index = (uint32_t)(job->team - cycle->node->settings.teams);
    amb_cycle_annotate_for_image(cycle, job->spec, job->spec->image);
    amb_cycle_init_request(cycle, job, &request);
    if (job->spec->kind == AMB_JOB_KIND_GANG) {
        if (!is_within_team_limit(plan, job, job->spec->task_count)) return;
        int *slot_indices = plan->counted_zones = amb_alloc(job->spec->task_count * sizeof *slot_indices);
        plan->counted_zone_count = 0;
        amb_resources_add(&plan->planned_usage[team_index], &job->spec->task_resources,
                          job->spec->task_count);
        /* A place that has to boot is taken only when no running work can make way. */
        if (amb_cycle_preempt_for_gang(cycle, job)) {
            free(slot_indices);
            return;
        }
        if (amb_cycle_place_gang(cycle, job, slot_indices, true)) {
            for (uint32_t i = 0; i < job->spec->task_count; i++) {
                struct amb_slot *slot = &cycle->slots[slot_indices[i]];
                if (slot->machine)
                    slot->machine->reserved_priority = (int)amb_job_get_effective_priority(job);
                slot->planned_tasks++;
                job->zone_task_counts[cycle->slots[slot_indices[i]].zone]--;
            }
            free(slot_indices);
            return;
        }
        /* In one zone: all of it goes where the first machine can be had. */
        for (uint32_t i = 0; i < job->spec->task_count && !done; i++) {
            plan_task(plan, job, &request, job->spec->task_count, false, &done);
            if (job->spec->one_zone && plan->counted_zone_count) request.zone = plan->counted_zones[0];
        }
    } else {
        /* The rest of a larger job has its turn once these are on their machines. */
        if (remaining > plan->max_tasks_per_job) remaining = plan->max_tasks_per_job;
        plan->counted_zones = amb_alloc(remaining * sizeof *plan->counted_zones);
        plan->counted_zone_count = 0;
        for (; remaining && !done && is_within_team_limit(plan, job, 1); remaining--) {
            plan_task(plan, job, &request, remaining, can_wait, &done);
            if (job->spec->one_zone && plan->counted_zone_count) request.zone = plan->counted_zones[0];
            amb_resources_add(&plan->planned_usage[team_index], &job->spec->task_resources, 1);
        }
    }
    while (plan->counted_zone_count) job->zone_task_counts[plan->counted_zones[--plan->counted_zone_count]]--;
    free(plan->counted_zones);
}

/* Tasks on machines that have been silent for most of a lease are as good as lost: room for them is looked
 * for before the lease proves it, since a machine takes longer to boot than the rest of a lease. (Nothing is
 * stopped for them yet: the machines may come back.) */
static void plan_replacements(struct capacity_plan *plan) {
    struct amb_cycle *cycle = plan->cycle;
    struct amb_node *node = cycle->node;
    amb_ms silence_limit = amb_seconds_to_ms(node->settings.agent_lease_s *
                                             0.65); /* longer than a worker takes to find another node */
    amb_ms latest_heartbeat = 0;
    for (const struct amb_machine *machine = node->fleet.machines; machine; machine = machine->hh.next)
        if (machine->last_heartbeat_at > latest_heartbeat) latest_heartbeat = machine->last_heartbeat_at;
    /* Nobody heard at all: it is this node that is out of reach. (A new leader in that place once rented
     * twice its fleet anew within 14 s.) */
    if (cycle->now - latest_heartbeat > amb_seconds_to_ms(node->settings.heartbeat_s * 3)) return;
    amb_cycle_annotate_ignoring_image(cycle);
    for (struct amb_machine *machine = node->fleet.machines; machine; machine = machine->hh.next) {
        amb_ms last_heard = machine->last_heartbeat_at > node->controller.leader_since
                                ? machine->last_heartbeat_at
                                : node->controller.leader_since;
        if (machine->zone_index < 0 || machine->type_index < 0 || machine->release_pending ||
            cycle->now - last_heard < silence_limit)
            continue;
        if (amb_lease_proxy_is_active_in_zone(node, machine->zone_index))
            continue; /* kept alive by a node that reaches it */
        for (struct amb_task *task = machine->tasks; task; task = task->next_on_machine) {
            struct amb_job *job = task->job;
            if (task->stop_requested || task->done || job->state != AMB_JOB_QUEUED) continue;
            struct amb_placement_request request;
            amb_cycle_init_request(cycle, job, &request);
            job->zone_task_counts[machine->zone_index]--;
            int slot_index = amb_cycle_find_best_slot(cycle, &request, true);
            struct amb_slot *slot =
                slot_index >= 0 ? &cycle->slots[slot_index]
                                : choose_cheapest_scale_out(plan, &request, plan->max_tasks_per_job, true);
            job->zone_task_counts[machine->zone_index]++;
            if (!slot) continue;
            amb_resources_add(&slot->available, &request.need, -1);
            amb_cycle_note_slot_change(cycle, slot);
            slot->planned_tasks++;
            if (slot->machine) slot->machine->reserved_priority = (int)amb_job_get_effective_priority(job);
        }
    }
}

/* The machine types that a job of this kind may run on, as a mask, and the longest time one of them takes to
 * boot. */
static uint32_t find_allowed_types(const struct amb_node *node, const struct amb_job_spec *spec,
                                   double *boot_s) {
    uint32_t mask = 0;
    *boot_s = 0;
    for (uint32_t type_index = 0; type_index < node->catalog.type_count; type_index++) {
        const struct amb_machine_type *type = &node->catalog.types[type_index];
        if (!amb_job_spec_allows_type(spec, type->name) ||
            max_tasks_that_fit(&spec->task_resources, &type->resources) < 1)
            continue;
        mask |= 1u << type_index;
        *boot_s = fmax(*boot_s, type->boot_s);
    }
    return mask;
}

/* Free room kept for what a class of urgent jobs is expected to ask for while a machine would boot. */
static void plan_reserved_capacity(struct capacity_plan *plan) {
    struct amb_cycle *cycle = plan->cycle;
    struct amb_node *node = cycle->node;
    uint32_t no_tasks[AMB_ZONES_MAX] = {0};
    for (uint32_t i = 0; i < node->controller.demand_count; i++) {
        struct amb_demand *demand = &node->controller.demands[i];
        if (demand->tasks_per_s <= 0) continue;
        double boot_s;
        uint32_t mask = find_allowed_types(node, &demand->last_spec, &boot_s);
        double age_s = (double)(cycle->now - demand->updated_at) / 1000, decay = exp(-age_s / (4 * boot_s));
        /* Arrivals come and tasks end about as often: what is left to cover is their spread. Of gangs some
         * surely end meanwhile; services run until somebody says so. */
        double share = demand->last_spec.kind == AMB_JOB_KIND_GANG ? 2.0 / 3 : 1;
        double expected_tasks = node->options.headroom_deviations * share *
                                sqrt(demand->tasks_per_s * decay * boot_s * demand->mean_square_tasks);
        const struct amb_preemption_claim claim = amb_cycle_make_claim(
            &demand->last_spec, amb_settings_find_team(&node->settings, demand->last_spec.team));
        struct amb_placement_request request = {.need = demand->last_spec.task_resources,
                                                .type_mask = mask,
                                                .zone = -1,
                                                .spot_allowed = demand->last_spec.spot_allowed,
                                                .tasks_by_zone = no_tasks};
        /* Rented after what urgent work waits for, before what batch work does. */
        request.priority = demand->last_spec.priority < AMB_PRIORITY_NORMAL ? demand->last_spec.priority
                                                                            : AMB_PRIORITY_NORMAL;
        for (uint32_t k = 0; k < (uint32_t)ceil(expected_tasks) && k < plan->max_tasks_per_job; k++) {
            uint32_t image_index = k % demand->image_count; /* a share of the room for each image asked for */
            amb_cycle_annotate_for_image(cycle, &demand->last_spec, demand->images[image_index]);
            struct amb_slot *slot = amb_cycle_find_reservable_slot(cycle, &request, &claim);
            if (!slot)
                slot = choose_cheapest_scale_out(plan, &request, (uint32_t)ceil(expected_tasks) - k, false);
            if (!slot) break;
            amb_resources_add(&slot->available, &request.need, -1);
            amb_cycle_note_slot_change(cycle, slot);
            slot->planned_tasks++;
            if (slot->machine) slot->machine->reserved_priority = (int)demand->last_spec.priority;
        }
    }
}

/* Nothing is placed on it, and no new leader would need what it holds. (A machine was returned 0.04 s after
 * its last task had ended; the end could not be recorded in an outage, and the next leader ran the task
 * again.) */
static bool is_empty(const struct amb_machine *machine) {
    return !machine->task_count && !machine->has_unrecorded_result;
}

static void plan_scale_in(struct capacity_plan *plan) {
    struct amb_cycle *cycle = plan->cycle;
    struct amb_node *node = cycle->node;
    struct amb_machine *machine, *next;
    for (uint32_t i = 0; i < cycle->slot_count; i++) {
        struct amb_slot *slot = &cycle->slots[i];
        machine = slot->machine;
        if (!machine || slot->planned_tasks || !is_empty(machine) || machine->state != AMB_MACHINE_UP)
            continue;
        /* Idle since batch work may not start there yet, for a bounded time. */
        if (cycle->zones_without_batch >> machine->zone_index & 1) continue;
        const struct amb_machine_type *type = &node->catalog.types[machine->type_index];
        amb_ms idle_limit = amb_seconds_to_ms(type->boot_s * node->options.idle_release_share);
        amb_ms leading_for = cycle->now - node->controller.leader_since;
        if (cycle->now - machine->idle_since > idle_limit && leading_for > idle_limit)
            amb_cloud_scale_in(node, machine, "idle");
    }
    HASH_ITER(hh, node->fleet.machines, machine, next)
    if (machine->drain && is_empty(machine)) amb_cloud_scale_in(node, machine, "emptied");
}

/* ---- emptying machines: what runs on a few could run on fewer ---- */

/* A replica may be moved once it has run for a while, to a machine that holds its image: then it is down for
 * little more than two reports. Takes the room it would get. */
static bool can_move_replica(struct amb_cycle *cycle, struct amb_task *task) {
    struct amb_job *job = task->job;
    struct amb_placement_request request;
    if (task->stop_requested || task->state != AMB_TASK_SEEN || !task->running_at ||
        job->state != AMB_JOB_QUEUED)
        return false;
    if (cycle->now - task->running_at < amb_seconds_to_ms(cycle->node->settings.agent_lease_s * 4))
        return false;
    amb_cycle_annotate_for_image(cycle, job->spec, job->spec->image);
    amb_cycle_init_request(cycle, job, &request);
    int zone = task->machine->zone_index;
    job->zone_task_counts[zone]--;
    int slot_index = amb_cycle_find_best_slot(cycle, &request, false);
    job->zone_task_counts[zone]++;
    if (slot_index < 0 || !cycle->slots[slot_index].has_image || !cycle->slots[slot_index].machine ||
        cycle->slots[slot_index].machine->state != AMB_MACHINE_UP ||
        cycle->slots[slot_index].machine == task->machine)
        return false;
    amb_resources_add(&cycle->slots[slot_index].available, &job->spec->task_resources, -1);
    amb_cycle_note_slot_change(cycle, &cycle->slots[slot_index]);
    return true;
}

/* Tries where its replicas would go, and takes none of the room. */
static bool can_consolidate(struct amb_cycle *cycle, struct amb_slot *slot) {
    bool is_movable = true;
    uint32_t first_change = cycle->rankings.change_count;
    struct amb_resources *saved_available = amb_alloc(cycle->slot_count * sizeof *saved_available);
    for (uint32_t i = 0; i < cycle->slot_count; i++) saved_available[i] = cycle->slots[i].available;
    slot->usable = false;
    amb_cycle_note_slot_change(cycle, slot);
    for (struct amb_task *task = slot->machine->tasks; task && is_movable; task = task->next_on_machine) {
        if (task->job->spec->kind == AMB_JOB_KIND_GANG || task->stop_requested) is_movable = false;
        if (task->job->spec->kind == AMB_JOB_KIND_SERVICE) is_movable = can_move_replica(cycle, task);
    }
    slot->usable = true;
    uint32_t last_change = cycle->rankings.change_count;
    for (uint32_t k = first_change; k < last_change; k++) {
        uint32_t i = cycle->rankings.changed_slots[k];
        cycle->slots[i].available = saved_available[i];
        amb_cycle_note_slot_change(cycle, &cycle->slots[i]);
    }
    free(saved_available);
    return is_movable;
}

static double decay_peak(double peak, double now, double retained_share) {
    return fmax(now, now + (peak - now) * retained_share);
}

/* Batch work comes in bursts: what it took a little while ago it will take again. */
static void note_peak_usage(struct capacity_plan *plan) {
    struct amb_cycle *cycle = plan->cycle;
    struct amb_node *node = cycle->node;
    struct amb_controller *controller = &node->controller;
    struct amb_resources usage = {0, 0, 0};
    for (uint32_t i = 0; i < node->settings.team_count; i++) {
        amb_resources_add(&usage, &node->settings.teams[i].used, 1);
        amb_resources_add(&usage, &plan->planned_usage[i], 1); /* what waits and may start */
    }
    double retained_share =
        controller->peak_at
            ? exp(-(double)(cycle->now - controller->peak_at) / 1000 / (1.5 * longest_boot_s(node) + 1))
            : 0;
    controller->peak_usage.cpus = decay_peak(controller->peak_usage.cpus, usage.cpus, retained_share);
    controller->peak_usage.gpus = decay_peak(controller->peak_usage.gpus, usage.gpus, retained_share);
    controller->peak_usage.memory_gb =
        decay_peak(controller->peak_usage.memory_gb, usage.memory_gb, retained_share);
    controller->peak_at = cycle->now;
}

/* Would the fleet without this machine still have held the latest peak? */
static bool is_surplus(const struct amb_cycle *cycle, const struct amb_machine *excluded) {
    struct amb_resources remaining = {0, 0, 0};
    const struct amb_resources *peak = &cycle->node->controller.peak_usage;
    for (uint32_t i = 0; i < cycle->slot_count; i++) {
        const struct amb_machine *machine = cycle->slots[i].machine;
        if (!machine || machine == excluded || machine->state != AMB_MACHINE_UP || machine->drain) continue;
        const struct amb_resources *size = &cycle->node->catalog.types[machine->type_index].resources;
        /* Only as much of a machine counts as tasks of the usual shape can use. */
        double share = 1;
        if (peak->memory_gb > 0)
            share = fmin(share, size->memory_gb / peak->memory_gb * peak->gpus / size->gpus);
        if (peak->cpus > 0) share = fmin(share, size->cpus / peak->cpus * peak->gpus / size->gpus);
        remaining.gpus += size->gpus * share;
    }
    return remaining.gpus >= peak->gpus * 1.1;
}

static void plan_consolidation(struct capacity_plan *plan) {
    struct amb_cycle *cycle = plan->cycle;
    struct amb_node *node = cycle->node;
    struct amb_machine *machine, *next;
    uint32_t draining = 0, up = 0;
    HASH_ITER(hh, node->fleet.machines, machine, next) {
        up += machine->state == AMB_MACHINE_UP;
        draining += machine->drain;
    }
    /* Demand is back: better keep what boots already. */
    if (plan->scale_out_total) {
        HASH_ITER(hh, node->fleet.machines, machine, next)
        if (machine->drain && !machine->release_pending) machine->drain = false;
        return;
    }
    uint32_t moves = 0;
    HASH_ITER(hh, node->fleet.machines, machine, next) {
        if (!machine->drain || machine->state != AMB_MACHINE_UP) continue;
        for (struct amb_task *task = machine->tasks; task && moves < 2; task = task->next_on_machine)
            if (task->job->spec->kind == AMB_JOB_KIND_SERVICE && can_move_replica(cycle, task)) {
                amb_task_request_stop(node, task, 0, "moves, so that its machine can be returned");
                moves++;
            }
    }
    if (draining * 20 > up) return;
    struct amb_slot *best = NULL;
    for (uint32_t i = 0; i < cycle->slot_count; i++) {
        struct amb_slot *slot = &cycle->slots[i];
        if (!slot->machine || slot->machine->state != AMB_MACHINE_UP || !slot->machine->task_count ||
            slot->planned_tasks)
            continue;
        if (slot->machine->used.gpus * 2 > slot->size_gpus) continue;
        if (best && slot->machine->used.gpus >= best->machine->used.gpus) continue;
        if (is_surplus(cycle, slot->machine) && can_consolidate(cycle, slot)) best = slot;
    }
    if (!best) return;
    amb_info("machine %s: to be emptied: the rest of the fleet has room for its %u tasks",
             best->machine->name, best->machine->task_count);
    best->machine->drain = true;
}

static void release_overdue_boots(struct amb_node *node, amb_ms now) {
    struct amb_machine *machine, *next;
    HASH_ITER(hh, node->fleet.machines, machine, next) {
        if (machine->state != AMB_MACHINE_BOOTING || machine->type_index < 0) continue;
        if (now - machine->created_at >
            amb_seconds_to_ms(node->catalog.types[machine->type_index].boot_s * 4))
            amb_cloud_release(node, machine, "it does not come up");
    }
}

void amb_capacity_plan_run(struct amb_cycle *cycle) {
    static const struct amb_resources no_room = {0, 0, 0};
    struct amb_node *node = cycle->node;
    struct capacity_plan *plan = amb_alloc(sizeof *plan);
    plan->cycle = cycle;
    plan->max_tasks_per_job = cycle->slot_count > PLAN_TASKS_MIN ? cycle->slot_count : PLAN_TASKS_MIN;
    amb_cycle_add_pending_machines(cycle);
    for (uint32_t i = 0; i < cycle->slot_count; i++)
        if (cycle->slots[i].machine) {
            cycle->slots[i].machine->reserved_priority = -1;
            cycle->slots[i].machine->claimed_by_gang = false;
            cycle->slots[i].machine->reserved = cycle->slots[i].reserved = no_room;
        }
    for (uint32_t i = 0; i < cycle->job_count; i++)
        if (amb_cycle_is_schedulable(cycle, cycle->jobs[i]) && !amb_job_is_broken(cycle->jobs[i]))
            plan_job(plan, cycle->jobs[i]);
    plan_replacements(plan);
    note_peak_usage(plan);
    plan_reserved_capacity(plan);
    plan_scale_in(plan);
    plan_consolidation(plan);
    qsort(plan->choices, plan->choice_count, sizeof *plan->choices, compare_scale_outs);
    uint32_t max_calls = amb_scale_out_available_calls(node, cycle->now);
    for (uint32_t i = 0; i < plan->choice_count && i < max_calls; i++) {
        const struct scale_out_choice *choice = &plan->choices[i];
        amb_scale_out_submit(node, choice->type, choice->zone, choice->spot,
                             plan->scale_out_counts[choice->type][choice->zone][choice->spot]);
    }
    free(plan);
    release_overdue_boots(node, cycle->now);
}

/* ---- what classes ask for ---- */

/* The class that nobody has asked for longest makes way. */
static struct amb_demand *evict_oldest_demand(struct amb_controller *controller) {
    struct amb_demand *oldest = &controller->demands[0];
    for (uint32_t i = 1; i < controller->demand_count; i++)
        if (controller->demands[i].updated_at < oldest->updated_at) oldest = &controller->demands[i];
    amb_debug("class %s is no longer expected: more than %d classes are asked for", oldest->class_name,
              AMB_DEMANDS_MAX);
    return oldest;
}

void amb_capacity_plan_note_demand(struct amb_node *node, struct amb_job *job) {
    struct amb_controller *controller = &node->controller;
    const struct amb_job_spec *spec = job->spec;
    struct amb_demand *demand = NULL;
    /* Noted once, by followers too: a leader that knew only what came since it led would return what its
     * predecessor had kept, and rent it again. */
    if (job->demand_recorded || job->dependencies_pending || !spec || !node->cloud.catalog_known) return;
    job->demand_recorded = true;
    /* Work that starts late is missed, and a machine takes longer to boot than it may wait. */
    if (spec->priority < AMB_PRIORITY_HIGH && !amb_start_find_objective(node, spec)) return;
    if (spec->kind == AMB_JOB_KIND_ARRAY) return;
    int64_t age_ms = amb_wall_ms() - amb_job_ready_wall_ms(job);
    amb_ms ready_at = amb_now() - (age_ms > 0 ? age_ms : 0);
    for (uint32_t i = 0; i < controller->demand_count && !demand; i++)
        if (!strcmp(controller->demands[i].class_name, spec->class_name)) demand = &controller->demands[i];
    if (!demand) {
        demand = controller->demand_count < AMB_DEMANDS_MAX ? &controller->demands[controller->demand_count++]
                                                            : evict_oldest_demand(controller);
        memset(demand, 0, sizeof *demand);
        strcpy(demand->class_name, spec->class_name);
        demand->updated_at = ready_at;
    }
    double decay_s = fmax(4 * longest_boot_s(node), node->settings.agent_lease_s);
    double elapsed_s =
        (double)(ready_at - demand->updated_at) / 1000; /* negative: an earlier job that was heard of later */
    if (elapsed_s >= 0) {
        demand->tasks_per_s =
            demand->tasks_per_s * exp(-elapsed_s / decay_s) + 1 / decay_s; /* jobs a second */
        demand->updated_at = ready_at;
        demand->last_spec = *spec;
    } else {
        demand->tasks_per_s += exp(elapsed_s / decay_s) / decay_s;
    }
    double squared_tasks = (double)spec->task_count * spec->task_count;
    demand->mean_square_tasks =
        demand->mean_square_tasks > 0 ? demand->mean_square_tasks * 0.9 + squared_tasks * 0.1 : squared_tasks;
    amb_recent_names_add(demand->images, NULL, &demand->image_count, AMB_DEMAND_IMAGES_MAX, spec->image, 0);
}
