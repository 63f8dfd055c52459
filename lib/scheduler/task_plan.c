/* Planning for waiting jobs. Each task gets capacity that is about to be released, capacity of work that is
 * preempted for it, or a machine that is requested for it, whichever is available soonest. */
#include "plan_internal.h"

#include "amberpin/placement/wdrr.h"
#include "amberpin/scheduler/start_deadline.h"

#include <stdlib.h>

/* The tasks of one job that have been planned so far. They are included in the job's task counts by zone only
 * while it is planned. */
struct job_plan {
    struct amb_capacity_plan *plan;
    struct amb_job *job;
    struct amb_placement_request request;
    bool can_wait; /* no machine is requested for the job yet; false for gangs */
    int *zones;    /* of each planned task; owned */
    uint32_t planned_count;
};

void amb_plan_take_slot(struct amb_capacity_plan *plan, struct amb_slot *slot,
                        const struct amb_resources *resources) {
    amb_cycle_take_resources(plan->cycle, slot, resources);
    slot->planned_tasks++;
}

static struct amb_resources *planned_usage_of(struct amb_capacity_plan *plan, const struct amb_job *job) {
    return &plan->planned_usage[job->team - plan->cycle->node->settings.teams];
}

static bool is_within_team_limit(struct amb_capacity_plan *plan, const struct amb_job *job,
                                 double task_count) {
    struct amb_team planned_team = *job->team;
    amb_resources_add(&planned_team.used, planned_usage_of(plan, job), 1);
    return amb_wdrr_is_within_limit(&planned_team, &job->spec->task_resources, task_count);
}

static bool is_machine_up(const struct amb_slot *slot) {
    return slot->machine && slot->machine->state == AMB_MACHINE_UP;
}

/* Takes a slot's resources for one task. A booting machine is used only if nothing can be preempted. NULL: no
 * slot is available. */
static struct amb_slot *take_slot_for_task(struct job_plan *job_plan, uint32_t max_tasks) {
    struct amb_capacity_plan *plan = job_plan->plan;
    struct amb_cycle *cycle = plan->cycle;
    struct amb_job *job = job_plan->job;
    int slot_index = amb_cycle_find_best_slot(cycle, &job_plan->request, true);
    struct amb_slot *slot = slot_index >= 0 ? &cycle->slots[slot_index] : NULL;
    if (!slot || !is_machine_up(slot)) {
        struct amb_slot *preempted = amb_cycle_preempt_for(cycle, job, &job_plan->request, false);
        if (preempted) return preempted;
    }
    if (!slot && !job_plan->can_wait)
        slot = amb_plan_scale_out(plan, &job_plan->request, max_tasks, AMB_SCALE_OUT_EVEN);
    if (!slot) return NULL;
    amb_plan_take_slot(plan, slot, &job_plan->request.need);
    if (amb_job_is_recovering(cycle->node, job)) amb_cycle_reserve_on_slot(slot, job->spec);
    return slot;
}

/* Plans one task. False: no slot is available, nor would one be for further tasks of the job. */
static bool plan_task(struct job_plan *job_plan, uint32_t max_tasks) {
    const struct amb_slot *slot = take_slot_for_task(job_plan, max_tasks);
    if (!slot) return false;
    job_plan->job->zone_task_counts[slot->zone]++;
    job_plan->zones[job_plan->planned_count++] = slot->zone;
    /* A job that must run in one zone uses that of its first machine. */
    if (job_plan->job->spec->one_zone) job_plan->request.zone = job_plan->zones[0];
    return true;
}

/* Plans the whole gang on machines that are booting or on which enough is about to be released. False: it
 * does not fit. */
static bool plan_gang_on_pending(struct amb_cycle *cycle, struct amb_job *job) {
    uint32_t count = job->spec->task_count;
    int *slot_indices = amb_alloc(count * sizeof *slot_indices);
    bool is_placed = amb_cycle_place_gang(cycle, job, slot_indices, true);
    for (uint32_t i = 0; is_placed && i < count; i++) {
        struct amb_slot *slot = &cycle->slots[slot_indices[i]];
        if (slot->machine) slot->machine->reserved_priority = (int)amb_job_get_effective_priority(job);
        slot->planned_tasks++;
        job->zone_task_counts[slot->zone]--;
    }
    free(slot_indices);
    return is_placed;
}

static void plan_gang(struct job_plan *job_plan) {
    struct amb_capacity_plan *plan = job_plan->plan;
    struct amb_job *job = job_plan->job;
    uint32_t count = job->spec->task_count;
    if (!is_within_team_limit(plan, job, count)) return;
    amb_resources_add(planned_usage_of(plan, job), &job->spec->task_resources, count);
    if (amb_cycle_preempt_for_gang(plan->cycle, job)) return;
    if (plan_gang_on_pending(plan->cycle, job)) return;
    job_plan->zones = amb_alloc(count * sizeof *job_plan->zones);
    for (uint32_t i = 0; i < count; i++)
        if (!plan_task(job_plan, count)) break;
}

/* Plans at most max_tasks_per_job tasks. The rest of a larger job is planned once these are placed. */
static void plan_independent_tasks(struct job_plan *job_plan) {
    struct amb_capacity_plan *plan = job_plan->plan;
    const struct amb_job *job = job_plan->job;
    uint32_t remaining = amb_job_count_waiting_tasks(job);
    if (remaining > plan->max_tasks_per_job) remaining = plan->max_tasks_per_job;
    job_plan->zones = amb_alloc(remaining * sizeof *job_plan->zones);
    bool is_planned = true;
    for (; remaining && is_planned && is_within_team_limit(plan, job, 1); remaining--) {
        is_planned = plan_task(job_plan, remaining);
        amb_resources_add(planned_usage_of(plan, job), &job->spec->task_resources, 1);
    }
}

void amb_plan_job(struct amb_capacity_plan *plan, struct amb_job *job) {
    struct amb_cycle *cycle = plan->cycle;
    struct job_plan job_plan = {.plan = plan, .job = job};
    job_plan.can_wait = amb_start_can_wait_for_capacity(cycle->node, job);
    amb_cycle_annotate_for_image(cycle, job->spec, job->spec->image);
    amb_cycle_init_request(cycle, job, &job_plan.request);
    if (job->spec->kind == AMB_JOB_KIND_GANG)
        plan_gang(&job_plan);
    else
        plan_independent_tasks(&job_plan);
    for (uint32_t i = 0; i < job_plan.planned_count; i++) job->zone_task_counts[job_plan.zones[i]]--;
    free(job_plan.zones);
}
