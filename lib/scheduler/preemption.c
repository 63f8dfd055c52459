/* Preemption: which work may be stopped for a job, on which machine that costs least, and the stopping. */
#include "cycle_internal.h"

#include "amberpin/agent/task_failures.h"
#include "amberpin/base/log.h"
#include "amberpin/placement/wdrr.h"
#include "amberpin/scheduler/start_deadline.h"

/* What a missing image costs, in seconds of lost work. */
static const double MISSING_IMAGE_COST_S = 1000;
/* The option `preempt` is a number; below this it is off. */
static const double PREEMPT_OPTION_ON = 0.5;
/* The progress since the last checkpoint is half an interval on the average; below so many times what saving
 * takes it is not worth saving while a start is awaited. */
static const double WORTH_SAVING = 2;

/* ---- claims ---- */

struct amb_preemptor amb_cycle_make_claim(const struct amb_job_spec *spec, const struct amb_team *team) {
    struct amb_resources need = {0, 0, 0};
    amb_resources_add(&need, &spec->task_resources, spec->kind == AMB_JOB_KIND_GANG ? spec->task_count : 1);
    bool guaranteed = spec->kind != AMB_JOB_KIND_ARRAY && team && amb_wdrr_is_within_guarantee(team, &need);
    return (struct amb_preemptor){spec->priority, team, guaranteed};
}

struct amb_preemptor amb_cycle_make_job_claim(const struct amb_job *job) {
    struct amb_preemptor claim = amb_cycle_make_claim(job->spec, job->team);
    claim.priority = amb_job_get_effective_priority(job);
    return claim;
}

static bool has_opportunistic_team(const struct amb_settings *settings) {
    for (uint32_t i = 0; i < settings->team_count; i++)
        if (settings->teams[i].opportunistic) return true;
    return false;
}

bool amb_cycle_may_preempt(const struct amb_cycle *cycle, const struct amb_preemptor *claim) {
    if (cycle->node->options.preempt < PREEMPT_OPTION_ON) return false;
    if (claim->priority >= AMB_PRIORITY_HIGH || claim->within_guarantee) return true;
    return claim->priority > AMB_PRIORITY_BEST_EFFORT && has_opportunistic_team(&cycle->node->settings);
}

static bool is_beyond_guarantee(const struct amb_team *team) {
    return team->guarantee.gpus > 0 ? team->used.gpus > team->guarantee.gpus
                                    : team->used.cpus > team->guarantee.cpus;
}

/* Batch work is preempted by work of higher priority that is urgent or within its team's guarantee; and, if
 * it saves checkpoints, what a team runs beyond its guarantee by what another is guaranteed. (When lower work
 * was preempted for urgent work only, early stages that need no GPUs filled every machine's cores, and gangs
 * within their teams' guarantees waited for machines to boot. Opportunistic work is preempted by all that is
 * higher: when guaranteed work alone did so, 70 machines were requested beside 80 that it had filled.) */
bool amb_cycle_is_preemptible_by(const struct amb_task *task, const struct amb_preemptor *claim) {
    const struct amb_job_spec *spec = task->job->spec;
    if (spec->kind != AMB_JOB_KIND_ARRAY || task->stop_requested || task->state == AMB_TASK_PLACED ||
        task->done)
        return false;
    bool may_preempt_lower =
        claim->priority >= AMB_PRIORITY_HIGH || claim->within_guarantee || task->job->team->opportunistic;
    if (may_preempt_lower && amb_job_get_effective_priority(task->job) < claim->priority) return true;
    return claim->within_guarantee && spec->checkpoint_interval_s > 0 && task->job->team != claim->team &&
           is_beyond_guarantee(task->job->team);
}

/* ---- costs ---- */

/* Could the slot take the request if all batch work on it stopped? Never a wrong no. */
static bool could_free_enough(const struct amb_slot *slot, const struct amb_placement_request *request) {
    struct amb_resources available = amb_placement_available(slot, true);
    amb_resources_add(&available, &slot->batch_usage, 1);
    return amb_resources_fit(&request->need, &available);
}

/* Seconds of work that is lost when enough tasks for the request are stopped. */
static bool compute_lost_work_cost(const struct amb_cycle *cycle, const struct amb_slot *slot,
                                   const struct amb_placement_request *request,
                                   const struct amb_preemptor *claim, double *cost) {
    struct amb_resources available = amb_placement_available(slot, true);
    *cost = slot->has_image ? 0 : MISSING_IMAGE_COST_S;
    for (const struct amb_task *task = slot->machine->tasks;
         task && !amb_resources_fit(&request->need, &available); task = task->next_on_machine) {
        if (!amb_cycle_is_preemptible_by(task, claim)) continue;
        amb_resources_add(&available, &task->job->spec->task_resources, 1);
        *cost += task->running_at ? (double)(cycle->now - task->running_at) / 1000 : 0;
    }
    return amb_resources_fit(&request->need, &available);
}

/* Any machine is as good as another if it holds the image, and likewise if it does not. */
static bool compute_image_cost(const struct amb_slot *slot, const struct amb_placement_request *request,
                               const struct amb_preemptor *claim, double *cost) {
    struct amb_resources available = amb_placement_available(slot, true);
    for (const struct amb_task *task = slot->machine->tasks; task; task = task->next_on_machine)
        if (amb_cycle_is_preemptible_by(task, claim))
            amb_resources_add(&available, &task->job->spec->task_resources, 1);
    *cost = slot->has_image ? 0 : 1;
    return amb_resources_fit(&request->need, &available);
}

/* The callback of struct amb_slot_list. */
static bool compute_preemption_cost(void *context, uint32_t slot_index,
                                    const struct amb_placement_request *request,
                                    const struct amb_preemption_terms *terms, double *cost) {
    struct amb_cycle *cycle = context;
    const struct amb_slot *slot = &cycle->slots[slot_index];
    bool counts_lost_work = terms->cost_kind == AMB_PREEMPTION_COST_LOST_WORK;
    if (!slot->machine || !could_free_enough(slot, request)) return false;
    if (!amb_placement_is_allowed_ignoring_zone(request, slot)) return false;
    if (counts_lost_work && slot->machine->state != AMB_MACHINE_UP) return false;
    bool has_image = amb_cycle_get_slot(cycle, slot_index)->has_image;
    if (terms->image_only && !has_image) return false;
    return counts_lost_work ? compute_lost_work_cost(cycle, slot, request, &terms->claim, cost)
                            : compute_image_cost(slot, request, &terms->claim, cost);
}

static int find_cheapest_preemption(struct amb_cycle *cycle, const struct amb_placement_request *request,
                                    const struct amb_preemptor *claim, enum amb_preemption_cost cost_kind,
                                    bool image_only) {
    struct amb_slot_list list = amb_cycle_list_slots(cycle);
    list.compute_cost = compute_preemption_cost;
    const struct amb_preemption_terms terms = {.cost_kind = cost_kind,
                                               .claim = *claim,
                                               .image_only = image_only,
                                               .placed_tasks = cycle->placed_tasks};
    return amb_slot_rankings_find_cheapest_preemption(&cycle->rankings, &list, &cycle->annotation, request,
                                                      &terms);
}

int amb_cycle_find_least_lost_work(struct amb_cycle *cycle, const struct amb_placement_request *request,
                                   const struct amb_preemptor *claim, bool image_only) {
    return find_cheapest_preemption(cycle, request, claim, AMB_PREEMPTION_COST_LOST_WORK, image_only);
}

struct amb_slot *amb_cycle_find_reservable_slot(struct amb_cycle *cycle,
                                                const struct amb_placement_request *request,
                                                const struct amb_preemptor *claim) {
    int found = amb_cycle_find_best_slot(cycle, request, true);
    if (found >= 0 && cycle->slots[found].has_image) return &cycle->slots[found];
    int preemption = find_cheapest_preemption(cycle, request, claim, AMB_PREEMPTION_COST_IMAGE, false);
    bool better =
        preemption >= 0 && (found < 0 || amb_cycle_get_slot(cycle, (uint32_t)preemption)->has_image);
    if (better) found = preemption;
    return found >= 0 ? &cycle->slots[found] : NULL;
}

/* ---- stopping work ---- */

/* Preempted work gets time to save a checkpoint, unless a start is awaited and little would be lost. */
static double preemption_grace_s(const struct amb_cycle *cycle, const struct amb_job *preempted_job,
                                 const struct amb_job_spec *waiting_spec) {
    const struct amb_job_spec *spec = preempted_job->spec;
    if (spec->checkpoint_interval_s <= 0) return 0;
    bool start_is_awaited = amb_start_find_objective(cycle->node, waiting_spec) != NULL;
    bool little_is_lost = spec->checkpoint_interval_s / 2 < spec->checkpoint_save_s * WORTH_SAVING ||
                          amb_job_is_opportunistic(preempted_job);
    return start_is_awaited && little_is_lost ? 0 : spec->checkpoint_save_s;
}

/* More was taken from the slot than is available: stops work of at most this priority until it is covered. */
static void preempt_up_to_priority(struct amb_cycle *cycle, struct amb_slot *slot,
                                   const struct amb_preemptor *claim, const struct amb_job_spec *waiting_spec,
                                   enum amb_priority max_priority) {
    static const struct amb_resources nothing = {0, 0, 0};
    struct amb_resources available = amb_placement_available(slot, true);
    amb_cycle_note_slot_change(cycle, slot);
    for (struct amb_task *task = slot->machine->tasks; task && !amb_resources_fit(&nothing, &available);
         task = task->next_on_machine) {
        if (!amb_cycle_is_preemptible_by(task, claim)) continue;
        if (amb_job_get_effective_priority(task->job) > max_priority) continue;
        amb_resources_add(&available, &task->job->spec->task_resources, 1);
        amb_resources_add(&slot->releasing_soon, &task->job->spec->task_resources, 1);
        amb_debug("room on %s: %s/%u makes way for %s", slot->machine->name, task->job->ref, task->index,
                  waiting_spec->ref);
        amb_task_request_stop(cycle->node, task, preemption_grace_s(cycle, task->job, waiting_spec),
                              "room for a job that goes before it");
    }
}

void amb_cycle_preempt_on_slot(struct amb_cycle *cycle, struct amb_slot *slot,
                               const struct amb_preemptor *claim, const struct amb_job_spec *waiting_spec,
                               enum amb_preemption_order order) {
    int max_priority =
        order == AMB_PREEMPT_LOWEST_PRIORITY_FIRST ? AMB_PRIORITY_BEST_EFFORT : AMB_PRIORITY_PRODUCTION;
    for (; max_priority <= AMB_PRIORITY_PRODUCTION; max_priority++)
        preempt_up_to_priority(cycle, slot, claim, waiting_spec, (enum amb_priority)max_priority);
}

struct amb_slot *amb_cycle_preempt_for(struct amb_cycle *cycle, struct amb_job *job,
                                       const struct amb_placement_request *request, bool image_only) {
    const struct amb_preemptor claim = amb_cycle_make_job_claim(job);
    if (amb_job_is_broken(job) || !amb_cycle_may_preempt(cycle, &claim)) return NULL;
    int best = amb_cycle_find_least_lost_work(cycle, request, &claim, image_only);
    if (best < 0) return NULL;
    struct amb_slot *slot = &cycle->slots[best];
    amb_cycle_take_resources(cycle, slot, &request->need);
    bool is_recovering = amb_job_is_recovering(cycle->node, job);
    amb_cycle_preempt_on_slot(cycle, slot, &claim, job->spec,
                              is_recovering ? AMB_PREEMPT_LOWEST_PRIORITY_FIRST : AMB_PREEMPT_IN_LIST_ORDER);
    slot->planned_tasks++;
    /* No batch work goes there meanwhile. */
    if (job->spec->kind == AMB_JOB_KIND_GANG) slot->machine->reserved_priority = (int)claim.priority;
    if (is_recovering) amb_cycle_reserve_on_slot(slot, job->spec);
    return slot;
}
