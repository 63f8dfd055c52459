/* Preemption: decides which work may be stopped for a job, finds the machine where this costs least, and
 * stops the work there. */
#include "cycle_internal.h"

#include "amberpin/agent/task_failures.h"
#include "amberpin/base/log.h"
#include "amberpin/placement/wdrr.h"
#include "amberpin/scheduler/start_deadline.h"

/* The cost of a missing image, in seconds of lost work. */
static const double MISSING_IMAGE_COST_S = 1000;
/* The option `preempt` is a number. Preemption is off below this value. */
static const double PREEMPT_OPTION_THRESHOLD = 0.5;
/* For a job with a start objective, preempted work gets no time to save a checkpoint if the expected loss,
 * half a checkpoint interval, is less than this many times the time to save. */
static const double MIN_LOSS_PER_SAVE_TIME = 2;

/* ---- preemptors ---- */

struct amb_preemptor amb_cycle_make_preemptor(const struct amb_job_spec *spec, const struct amb_team *team) {
    struct amb_resources need = {0, 0, 0};
    amb_resources_add(&need, &spec->task_resources, spec->kind == AMB_JOB_KIND_GANG ? spec->task_count : 1);
    bool within_guarantee =
        spec->kind != AMB_JOB_KIND_ARRAY && team && amb_wdrr_is_within_guarantee(team, &need);
    return (struct amb_preemptor){spec->priority, team, within_guarantee};
}

struct amb_preemptor amb_cycle_make_job_preemptor(const struct amb_job *job) {
    struct amb_preemptor preemptor = amb_cycle_make_preemptor(job->spec, job->team);
    preemptor.priority = amb_job_get_effective_priority(job);
    return preemptor;
}

static bool has_opportunistic_team(const struct amb_settings *settings) {
    for (uint32_t i = 0; i < settings->team_count; i++)
        if (settings->teams[i].opportunistic) return true;
    return false;
}

bool amb_cycle_may_preempt(const struct amb_cycle *cycle, const struct amb_preemptor *preemptor) {
    if (cycle->node->options.preempt < PREEMPT_OPTION_THRESHOLD) return false;
    if (preemptor->priority >= AMB_PRIORITY_HIGH || preemptor->within_guarantee) return true;
    return preemptor->priority > AMB_PRIORITY_BEST_EFFORT && has_opportunistic_team(&cycle->node->settings);
}

static bool exceeds_guarantee(const struct amb_team *team) {
    return team->guarantee.gpus > 0 ? team->used.gpus > team->guarantee.gpus
                                    : team->used.cpus > team->guarantee.cpus;
}

/* Batch work may be preempted for work of higher priority that is urgent or within its team's guarantee. If
 * it is opportunistic, it may be preempted for any work of higher priority. If it saves checkpoints and its
 * team exceeds its guarantee, it may also be preempted for work within another team's guarantee.
 *
 * When only urgent work preempted batch work, early pipeline stages without GPUs filled the cores of every
 * machine, and gangs within their teams' guarantees waited for machines to boot. When only guaranteed work
 * preempted opportunistic work, 70 machines were requested in addition to 80 that it had filled. */
bool amb_cycle_is_preemptible_by(const struct amb_task *task, const struct amb_preemptor *preemptor) {
    const struct amb_job_spec *spec = task->job->spec;
    if (spec->kind != AMB_JOB_KIND_ARRAY || task->stop_requested || task->state == AMB_TASK_PLACED ||
        task->done)
        return false;
    bool may_preempt_lower = preemptor->priority >= AMB_PRIORITY_HIGH || preemptor->within_guarantee ||
                             task->job->team->opportunistic;
    if (may_preempt_lower && amb_job_get_effective_priority(task->job) < preemptor->priority) return true;
    return preemptor->within_guarantee && spec->checkpoint_interval_s > 0 &&
           task->job->team != preemptor->team && exceeds_guarantee(task->job->team);
}

/* ---- costs ---- */

/* Returns whether the request would fit if all batch work on the slot were stopped. It may return true
 * although some of that work can't be preempted, but never false when preemption could free enough. */
static bool could_free_enough(const struct amb_slot *slot, const struct amb_placement_request *request) {
    struct amb_resources available = amb_placement_available(slot, true);
    amb_resources_add(&available, &slot->batch_usage, 1);
    return amb_resources_fit(&request->need, &available);
}

/* Computes the cost in seconds of work that is lost when enough tasks for the request are stopped. */
static bool compute_lost_work_cost(const struct amb_cycle *cycle, const struct amb_slot *slot,
                                   const struct amb_placement_request *request,
                                   const struct amb_preemptor *preemptor, double *cost) {
    struct amb_resources available = amb_placement_available(slot, true);
    *cost = slot->has_image ? 0 : MISSING_IMAGE_COST_S;
    for (const struct amb_task *task = slot->machine->tasks;
         task && !amb_resources_fit(&request->need, &available); task = task->next_on_machine) {
        if (!amb_cycle_is_preemptible_by(task, preemptor)) continue;
        amb_resources_add(&available, &task->job->spec->task_resources, 1);
        *cost += task->running_at ? (double)(cycle->now - task->running_at) / 1000 : 0;
    }
    return amb_resources_fit(&request->need, &available);
}

/* All machines that hold the image cost the same, and so do all machines that lack it. */
static bool compute_image_cost(const struct amb_slot *slot, const struct amb_placement_request *request,
                               const struct amb_preemptor *preemptor, double *cost) {
    struct amb_resources available = amb_placement_available(slot, true);
    for (const struct amb_task *task = slot->machine->tasks; task; task = task->next_on_machine)
        if (amb_cycle_is_preemptible_by(task, preemptor))
            amb_resources_add(&available, &task->job->spec->task_resources, 1);
    *cost = slot->has_image ? 0 : 1;
    return amb_resources_fit(&request->need, &available);
}

/* Implements compute_cost of struct amb_slot_list. */
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
    return counts_lost_work ? compute_lost_work_cost(cycle, slot, request, &terms->preemptor, cost)
                            : compute_image_cost(slot, request, &terms->preemptor, cost);
}

static int find_cheapest_preemption(struct amb_cycle *cycle, const struct amb_placement_request *request,
                                    const struct amb_preemptor *preemptor, enum amb_preemption_cost cost_kind,
                                    bool image_only) {
    struct amb_slot_list list = amb_cycle_list_slots(cycle);
    list.compute_cost = compute_preemption_cost;
    const struct amb_preemption_terms terms = {.cost_kind = cost_kind,
                                               .preemptor = *preemptor,
                                               .image_only = image_only,
                                               .placed_tasks = cycle->placed_tasks};
    return amb_slot_rankings_find_cheapest_preemption(&cycle->rankings, &list, &cycle->annotation, request,
                                                      &terms);
}

int amb_cycle_find_least_lost_work(struct amb_cycle *cycle, const struct amb_placement_request *request,
                                   const struct amb_preemptor *preemptor, bool image_only) {
    return find_cheapest_preemption(cycle, request, preemptor, AMB_PREEMPTION_COST_LOST_WORK, image_only);
}

struct amb_slot *amb_cycle_find_reservable_slot(struct amb_cycle *cycle,
                                                const struct amb_placement_request *request,
                                                const struct amb_preemptor *preemptor) {
    int best = amb_cycle_find_best_slot(cycle, request, true);
    if (best >= 0 && cycle->slots[best].has_image) return &cycle->slots[best];
    int preemption = find_cheapest_preemption(cycle, request, preemptor, AMB_PREEMPTION_COST_IMAGE, false);
    bool preemption_is_better =
        preemption >= 0 && (best < 0 || amb_cycle_get_slot(cycle, (uint32_t)preemption)->has_image);
    if (preemption_is_better) best = preemption;
    return best >= 0 ? &cycle->slots[best] : NULL;
}

/* ---- stopping work ---- */

/* Preempted work gets time to save a checkpoint, unless the waiting job has a start objective and little work
 * would be lost. */
static double preemption_grace_s(const struct amb_cycle *cycle, const struct amb_job *preempted_job,
                                 const struct amb_job_spec *waiting_spec) {
    const struct amb_job_spec *spec = preempted_job->spec;
    if (spec->checkpoint_interval_s <= 0) return 0;
    bool start_is_awaited = amb_start_find_objective(cycle->node, waiting_spec) != NULL;
    bool little_is_lost =
        spec->checkpoint_interval_s / 2 < spec->checkpoint_save_s * MIN_LOSS_PER_SAVE_TIME ||
        amb_job_is_opportunistic(preempted_job);
    return start_is_awaited && little_is_lost ? 0 : spec->checkpoint_save_s;
}

/* Stops work of at most this priority until the slot's available resources, with those about to be released,
 * are no longer negative. The caller has already taken the waiting task's resources from the slot, which may
 * have made them negative. */
static void preempt_up_to_priority(struct amb_cycle *cycle, struct amb_slot *slot,
                                   const struct amb_preemptor *preemptor,
                                   const struct amb_job_spec *waiting_spec, enum amb_priority max_priority) {
    static const struct amb_resources nothing = {0, 0, 0};
    struct amb_resources available = amb_placement_available(slot, true);
    amb_cycle_mark_slot_changed(cycle, slot);
    for (struct amb_task *task = slot->machine->tasks; task && !amb_resources_fit(&nothing, &available);
         task = task->next_on_machine) {
        if (!amb_cycle_is_preemptible_by(task, preemptor)) continue;
        if (amb_job_get_effective_priority(task->job) > max_priority) continue;
        amb_resources_add(&available, &task->job->spec->task_resources, 1);
        amb_resources_add(&slot->releasing_soon, &task->job->spec->task_resources, 1);
        amb_debug("machine %s: preempting task %s/%u for job %s", slot->machine->name, task->job->ref,
                  task->index, waiting_spec->ref);
        amb_task_request_stop(cycle->node, task, preemption_grace_s(cycle, task->job, waiting_spec),
                              "preempted for another job");
    }
}

void amb_cycle_preempt_on_slot(struct amb_cycle *cycle, struct amb_slot *slot,
                               const struct amb_preemptor *preemptor, const struct amb_job_spec *waiting_spec,
                               enum amb_preemption_order order) {
    int max_priority =
        order == AMB_PREEMPT_LOWEST_PRIORITY_FIRST ? AMB_PRIORITY_BEST_EFFORT : AMB_PRIORITY_PRODUCTION;
    for (; max_priority <= AMB_PRIORITY_PRODUCTION; max_priority++)
        preempt_up_to_priority(cycle, slot, preemptor, waiting_spec, (enum amb_priority)max_priority);
}

struct amb_slot *amb_cycle_preempt_for(struct amb_cycle *cycle, struct amb_job *job,
                                       const struct amb_placement_request *request, bool image_only) {
    const struct amb_preemptor preemptor = amb_cycle_make_job_preemptor(job);
    if (amb_job_is_broken(job) || !amb_cycle_may_preempt(cycle, &preemptor)) return NULL;
    int best = amb_cycle_find_least_lost_work(cycle, request, &preemptor, image_only);
    if (best < 0) return NULL;
    struct amb_slot *slot = &cycle->slots[best];
    amb_cycle_take_resources(cycle, slot, &request->need);
    bool is_recovering = amb_job_is_recovering(cycle->node, job);
    amb_cycle_preempt_on_slot(cycle, slot, &preemptor, job->spec,
                              is_recovering ? AMB_PREEMPT_LOWEST_PRIORITY_FIRST : AMB_PREEMPT_IN_LIST_ORDER);
    slot->planned_tasks++;
    /* Keeps batch work off the machine until the gang is placed. */
    if (job->spec->kind == AMB_JOB_KIND_GANG) slot->machine->reserved_priority = (int)preemptor.priority;
    if (is_recovering) amb_cycle_reserve_on_slot(slot, job->spec);
    return slot;
}
