/* The steps of the capacity plan. Waiting jobs are planned first, so that the steps for expected demand and
 * scale in see which capacity they take. */
#include "plan_internal.h"

#include "amberpin/agent/task_failures.h"

#include <stdlib.h>

/* One plan covers this many tasks of an array or a service, or as many as there are machines if more. */
enum { PLAN_TASKS_MIN = 256 };

static struct amb_capacity_plan *plan_new(struct amb_cycle *cycle) {
    struct amb_capacity_plan *plan = amb_alloc(sizeof *plan);
    plan->cycle = cycle;
    plan->max_tasks_per_job = cycle->slot_count > PLAN_TASKS_MIN ? cycle->slot_count : PLAN_TASKS_MIN;
    return plan;
}

/* Clears the reservations of the previous plan. This plan makes its own. */
static void clear_reservations(struct amb_cycle *cycle) {
    static const struct amb_resources nothing = {0, 0, 0};
    for (uint32_t i = 0; i < cycle->slot_count; i++) {
        struct amb_slot *slot = &cycle->slots[i];
        if (!slot->machine) continue;
        slot->machine->reserved_priority = -1;
        slot->machine->claimed_by_gang = false;
        slot->machine->reserved = nothing;
        slot->reserved = nothing;
    }
}

static void plan_jobs(struct amb_capacity_plan *plan) {
    struct amb_cycle *cycle = plan->cycle;
    for (uint32_t i = 0; i < cycle->job_count; i++) {
        struct amb_job *job = cycle->jobs[i];
        if (amb_cycle_is_schedulable(cycle, job) && !amb_job_is_broken(job)) amb_plan_job(plan, job);
    }
}

void amb_capacity_plan_run(struct amb_cycle *cycle) {
    struct amb_capacity_plan *plan = plan_new(cycle);
    amb_cycle_add_pending_machines(cycle);
    clear_reservations(cycle);
    plan_jobs(plan);
    amb_plan_replacements(plan);
    amb_demand_update_peak(plan);
    amb_plan_reserved_capacity(plan);
    amb_plan_scale_in(plan);
    amb_plan_consolidation(plan);
    amb_plan_submit_scale_outs(plan);
    amb_plan_release_overdue_boots(cycle->node, cycle->now);
    free(plan);
}
