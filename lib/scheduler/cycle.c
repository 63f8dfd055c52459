/* The leader's round: order, admit, place. */
#include "amberpin/scheduler/cycle.h"
#include "amberpin/agent/task_failures.h"
#include "amberpin/base/log.h"
#include "amberpin/placement/wdrr.h"
#include "amberpin/scheduler/start_deadline.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* ---- a round's view of the world ---- */

static struct amb_slot *append_slot(struct amb_cycle *cycle) {
    if (cycle->slot_count == cycle->slot_capacity) {
        cycle->slot_capacity = cycle->slot_capacity ? cycle->slot_capacity * 2 : 128;
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

static bool is_fetching_image(const struct amb_task *task) {
    return task->state == AMB_TASK_PLACED || task->state == AMB_TASK_BOUND ||
           (task->state == AMB_TASK_SEEN && task->agent_state == AMB_AGENT_TASK_FETCHING);
}

/* Is its image at hand, or counted with another task of the machine that needs it too? */
static bool is_fetch_shared(const struct amb_task *task) {
    bool before = true;
    for (const struct amb_task *other = task->machine->tasks; other; other = other->next_on_machine) {
        if (other == task)
            before = false;
        else if ((before || !is_fetching_image(other)) &&
                 !strcmp(other->job->spec->image, task->job->spec->image))
            return true;
    }
    return false;
}

static double remaining_fetch_gb(const struct amb_cycle *cycle, const struct amb_task *task) {
    double image_gb = task->job->spec->image_gb,
           fetch_gb_s = cycle->node->catalog.types[task->machine->type_index].image_fetch_gb_per_s;
    if (task->state != AMB_TASK_SEEN) return image_gb;
    return fmax(image_gb * 0.1, image_gb - fetch_gb_s * (double)(cycle->now - task->state_since) / 1000);
}

static void add_machine_slot(struct amb_cycle *cycle, struct amb_machine *machine, bool usable) {
    struct amb_slot *slot =
        amb_cycle_add_slot(cycle, machine->type_index, machine->zone_index, machine->spot);
    amb_resources_add(&slot->available, &machine->used, -1);
    slot->usable = usable;
    slot->machine = machine;
    slot->reserved_priority = machine->reserved_priority;
    slot->claimed_by_gang = machine->claimed_by_gang;
    slot->reserved = machine->reserved;
    for (struct amb_task *task = machine->tasks; task; task = task->next_on_machine) {
        if (task->stop_requested)
            amb_resources_add(&slot->releasing_soon, &task->job->spec->task_resources, 1);
        if (task->job->spec->kind == AMB_JOB_KIND_SERVICE)
            slot->long_running_gpus += task->job->spec->task_resources.gpus;
        if (task->job->spec->kind == AMB_JOB_KIND_ARRAY)
            amb_resources_add(&slot->batch_usage, &task->job->spec->task_resources, 1);
        if (is_fetching_image(task) && !is_fetch_shared(task))
            slot->fetching_gb += remaining_fetch_gb(cycle, task);
    }
}

static void collect_machines(struct amb_cycle *cycle, bool pending) {
    struct amb_machine *machine, *next;
    HASH_ITER(hh, cycle->node->fleet.machines, machine, next) {
        if (machine->type_index < 0 || machine->zone_index < 0 || machine->release_pending) continue;
        if (!pending) {
            if (amb_machine_is_schedulable(cycle->node, machine, cycle->now))
                add_machine_slot(cycle, machine, true);
            continue;
        }
        /* Counted on while it may still come up in time; after that another is rented in its place. */
        double boot_s = cycle->node->catalog.types[machine->type_index].boot_s;
        bool boots_in_time = machine->state == AMB_MACHINE_BOOTING &&
                             cycle->now - machine->created_at < amb_seconds_to_ms(boot_s * 2);
        bool recently_seen = machine->state == AMB_MACHINE_UNPROVEN &&
                             cycle->now - machine->last_heartbeat_at <
                                 amb_seconds_to_ms(cycle->node->settings.heartbeat_s * 3);
        /* Nor does what boots where nothing can be reached. (In a cut of 105 s work waited for machines that
         * had been rented beyond it, for two boot times each.) */
        if ((boots_in_time || recently_seen) && !amb_zone_is_unreachable(cycle->node, machine->zone_index))
            add_machine_slot(cycle, machine, true);
    }
    if (!pending) return;
    for (struct amb_scale_out_request *scale_out = cycle->node->cloud.scale_out.requests; scale_out;
         scale_out = scale_out->next)
        if ((scale_out->state == AMB_SCALE_OUT_RECORDING || scale_out->state == AMB_SCALE_OUT_REQUESTING) &&
            !amb_zone_is_unreachable(cycle->node, scale_out->zone))
            for (uint32_t i = 0; i < scale_out->count; i++)
                amb_cycle_add_slot(cycle, scale_out->type, scale_out->zone, scale_out->spot);
}

static bool has_lost_replicas(const struct amb_job *job) {
    return job->spec->kind == AMB_JOB_KIND_SERVICE && job->done_count + job->bound_count > 0;
}

static int compare_by_urgency(const void *left, const void *right) {
    const struct amb_job *left_job = *(struct amb_job *const *)left,
                         *right_job = *(struct amb_job *const *)right;
    if (left_job->recovery_step != right_job->recovery_step)
        return left_job->recovery_step < right_job->recovery_step ? -1 : 1;
    enum amb_priority left_priority = amb_job_get_effective_priority(left_job),
                      right_priority = amb_job_get_effective_priority(right_job);
    if (left_priority != right_priority) return left_priority > right_priority ? -1 : 1;
    if (has_lost_replicas(left_job) != has_lost_replicas(right_job))
        return has_lost_replicas(left_job) ? -1 : 1;
    int64_t left_order_wall = amb_job_order_wall_ms(left_job),
            right_order_wall = amb_job_order_wall_ms(right_job);
    if (left_order_wall != right_order_wall) return left_order_wall < right_order_wall ? -1 : 1;
    return strcmp(left_job->ref, right_job->ref);
}

bool amb_cycle_is_schedulable(const struct amb_cycle *cycle, const struct amb_job *job) {
    if (job->state != AMB_JOB_QUEUED || job->dependencies_pending || !amb_job_count_waiting_tasks(job))
        return false;
    if (job->spec->kind == AMB_JOB_KIND_GANG && (job->gang_state != AMB_GANG_IDLE || job->bound_count))
        return false;
    if (amb_job_is_broken(job) && job->bound_count) return false; /* one task is tried at a time */
    return cycle->now >= job->backoff_until;
}

static void collect_jobs(struct amb_cycle *cycle) {
    uint32_t count = 0;
    for (struct amb_job *job = cycle->node->jobs.active; job; job = job->next_active)
        count += amb_cycle_is_schedulable(cycle, job);
    cycle->jobs = amb_alloc((count + 1) * sizeof *cycle->jobs);
    for (struct amb_job *job = cycle->node->jobs.active; job; job = job->next_active)
        if (amb_cycle_is_schedulable(cycle, job)) {
            job->recovery_step = amb_zone_recovery_step_of(cycle->node, job);
            cycle->jobs[cycle->job_count++] = job;
        }
    qsort(cycle->jobs, cycle->job_count, sizeof *cycle->jobs, compare_by_urgency);
    for (uint32_t i = 0; i < cycle->job_count; i++) {
        struct amb_team_queue *team_queue =
            &cycle->team_queues[cycle->jobs[i]->team - cycle->node->settings.teams];
        if (!team_queue->jobs) team_queue->jobs = amb_alloc(cycle->job_count * sizeof *team_queue->jobs);
        team_queue->jobs[team_queue->count++] = cycle->jobs[i];
    }
}

void amb_cycle_add_pending_machines(struct amb_cycle *cycle) {
    collect_machines(cycle, true);
}

struct amb_cycle *amb_cycle_new(struct amb_node *node, amb_ms now) {
    struct amb_cycle *cycle = amb_alloc(sizeof *cycle);
    cycle->node = node;
    cycle->now = now;
    cycle->zones_without_batch = amb_zones_without_batch(node);
    cycle->sized_by_gpus = amb_wdrr_is_sized_by_gpus(node->settings.teams, node->settings.team_count);
    amb_pipelines_update_priorities(node);
    collect_machines(cycle, false);
    collect_jobs(cycle);
    return cycle;
}

void amb_cycle_free(struct amb_cycle *cycle) {
    for (uint32_t i = 0; i < cycle->node->settings.team_count; i++) free(cycle->team_queues[i].jobs);
    free(cycle->jobs);
    free(cycle->slots);
    amb_slot_rankings_free(&cycle->rankings);
    free(cycle);
}

/* No machine will do until more is known or proven. */
static void allow_no_type(struct amb_placement_request *request) {
    request->type_mask = 0;
}

/* What the job's tasks that are not proven absent leave of the zones. One that binds itself to one zone can
 * have tasks on record in two: the record of a large job is in several blocks, and a block is not written
 * anew when its tasks are gone. Which of them are there only their machines can tell. */
static void limit_zones(const struct amb_cycle *cycle, const struct amb_job *job,
                        struct amb_placement_request *request) {
    uint32_t in_unknown_zones = amb_placement_count_tasks_in_unknown_zones(job);
    if (job->spec->spread_zones) {
        if (in_unknown_zones >= request->max_tasks_per_zone) allow_no_type(request);
        request->max_tasks_per_zone -= in_unknown_zones < request->max_tasks_per_zone ? in_unknown_zones : 0;
    }
    if (!job->spec->one_zone || job->spec->kind == AMB_JOB_KIND_GANG)
        return; /* a gang starts with nothing on record */
    uint32_t zones_in_use = 0;
    for (uint32_t zone = 0; zone < cycle->node->catalog.zone_count; zone++) {
        if (!job->zone_task_counts[zone]) continue;
        request->zone = (int)zone;
        zones_in_use++;
    }
    if (zones_in_use > 1 || in_unknown_zones) allow_no_type(request);
}

void amb_cycle_init_request(struct amb_cycle *cycle, struct amb_job *job,
                            struct amb_placement_request *request) {
    memset(request, 0, sizeof *request);
    amb_job_allows_type(cycle->node, job, 0);
    request->need = job->spec->task_resources;
    request->type_mask = job->allowed_type_mask;
    request->zone = amb_catalog_find_or_add_zone(&cycle->node->catalog, job->spec->zone);
    request->spot_allowed = job->spec->spot_allowed;
    request->long_running = job->spec->kind == AMB_JOB_KIND_SERVICE;
    request->priority = amb_job_get_effective_priority(job);
    request->deferrable =
        job->spec->kind == AMB_JOB_KIND_ARRAY && !amb_start_find_objective(cycle->node, job->spec);
    request->can_wait = amb_start_can_wait_for_capacity(cycle->node, job);
    request->opportunistic = amb_job_is_opportunistic(job);
    request->tasks_by_zone = job->zone_task_counts;
    request->max_tasks_per_zone =
        job->spec->spread_zones ? amb_placement_max_tasks_per_zone(job->spec->task_count) : 0;
    /* A zone that has just come back may go again: replicas of the order return there at once, batch work
     * that would lose what it has done waits until the zone is steady. */
    request->excluded_zones = job->spec->kind == AMB_JOB_KIND_SERVICE ? 0 : cycle->zones_without_batch;
    limit_zones(cycle, job, request);
}

static bool is_image_being_fetched(const struct amb_machine *machine, const char *image) {
    for (const struct amb_task *task = machine->tasks; task; task = task->next_on_machine)
        if (!strcmp(task->job->spec->image, image)) return is_fetching_image(task) && !is_fetch_shared(task);
    return false;
}

/* The time in which a task of this kind is to start, or when nobody waits for its start the time that it runs
 * for; and what order and report take of it (negative: nobody waits). */
struct start_target {
    double within_s, slack_s;
};

static struct start_target make_start_target(const struct amb_cycle *cycle, const struct amb_job_spec *spec) {
    const struct amb_objective *objective = amb_start_find_objective(cycle->node, spec);
    double within_s = objective                       ? objective->within_s
                      : spec->estimated_runtime_s > 0 ? spec->estimated_runtime_s
                                                      : cycle->node->settings.agent_lease_s;
    /* Where reports are slow, no more than they do on the average. */
    return (struct start_target){
        within_s, objective ? fmin(cycle->node->settings.heartbeat_s * 1.2, within_s * 0.2) : -1};
}

static void annotate_slot(const struct amb_cycle *cycle, struct amb_slot *slot) {
    const struct amb_slot_annotation *annotation = &cycle->annotation;
    slot->annotation_serial = cycle->annotation_serial;
    slot->start_risk = 0;
    if (annotation->ignores_image) return;
    double fetch_gb_s = cycle->node->catalog.types[slot->type].image_fetch_gb_per_s;
    slot->has_image = slot->machine && amb_machine_has_image(slot->machine, annotation->image);
    double pending_gb = slot->fetching_gb + annotation->image_gb;
    if (slot->has_image)
        pending_gb = slot->fetching_gb > 0 && is_image_being_fetched(slot->machine, annotation->image)
                         ? slot->fetching_gb
                         : 0;
    if (fetch_gb_s > 0)
        slot->start_risk =
            amb_placement_start_risk(pending_gb / fetch_gb_s, annotation->within_s, annotation->slack_s);
}

void amb_cycle_annotate_for_image(struct amb_cycle *cycle, const struct amb_job_spec *spec,
                                  const char *image) {
    struct start_target target = make_start_target(cycle, spec);
    cycle->annotation = (struct amb_slot_annotation){
        .image = image, .image_gb = spec->image_gb, .within_s = target.within_s, .slack_s = target.slack_s};
    cycle->annotation_serial++;
}

void amb_cycle_annotate_ignoring_image(struct amb_cycle *cycle) {
    cycle->annotation = (struct amb_slot_annotation){.ignores_image = true};
    cycle->annotation_serial++;
}

struct amb_slot *amb_cycle_get_slot(struct amb_cycle *cycle, uint32_t slot_index) {
    struct amb_slot *slot = &cycle->slots[slot_index];
    if (slot->annotation_serial != cycle->annotation_serial) annotate_slot(cycle, slot);
    return slot;
}

void amb_cycle_note_slot_change(struct amb_cycle *cycle, const struct amb_slot *slot) {
    amb_slot_rankings_note_change(&cycle->rankings, (uint32_t)(slot - cycle->slots));
}

static void annotate_for_ranking(void *context, uint32_t slot_index) {
    amb_cycle_get_slot(context, slot_index);
}

static bool compute_preemption_cost(void *context, uint32_t slot_index,
                                    const struct amb_placement_request *request,
                                    const struct amb_preemption_terms *terms, double *cost);

static struct amb_slot_list make_slot_list(struct amb_cycle *cycle) {
    return (struct amb_slot_list){.slots = cycle->slots,
                                  .count = cycle->slot_count,
                                  .annotate = annotate_for_ranking,
                                  .compute_cost = compute_preemption_cost,
                                  .context = cycle};
}

int amb_cycle_find_best_slot(struct amb_cycle *cycle, const struct amb_placement_request *request,
                             bool include_releasing) {
    const struct amb_slot_list list = make_slot_list(cycle);
    return amb_slot_rankings_find_best(&cycle->rankings, &list, &cycle->annotation, request,
                                       include_releasing);
}

/* ---- admission ---- */

/* Has the job its turn in the pass under way? */
static bool is_eligible_in_pass(const struct amb_cycle *cycle, const struct amb_job *job) {
    if (cycle->urgent_pass && amb_job_get_effective_priority(job) < AMB_PRIORITY_HIGH) return false;
    return job->recovery_step <= cycle->recovery_pass;
}

static bool next_item(void *context, uint32_t team_index, struct amb_wdrr_item *item) {
    struct amb_cycle *cycle = context;
    struct amb_team_queue *team_queue = &cycle->team_queues[team_index];
    while (team_queue->cursor < team_queue->count) {
        struct amb_job *job = team_queue->jobs[team_queue->cursor];
        if (!is_eligible_in_pass(cycle, job)) return false;
        if (amb_cycle_is_schedulable(cycle, job)) {
            double task_count = job->spec->kind == AMB_JOB_KIND_GANG ? job->spec->task_count : 1;
            memset(item, 0, sizeof *item);
            amb_resources_add(&item->need, &job->spec->task_resources, task_count);
            item->size = amb_wdrr_item_size(&item->need, cycle->sized_by_gpus);
            item->payload = job;
            return true;
        }
        team_queue->cursor++;
    }
    return false;
}

static bool is_queue_exhausted(void *context, uint32_t team_index) {
    struct amb_cycle *cycle = context;
    return cycle->team_queues[team_index].cursor >= cycle->team_queues[team_index].count;
}

static void skip_item(void *context, uint32_t team_index, const struct amb_wdrr_item *item) {
    struct amb_cycle *cycle = context;
    (void)item;
    cycle->team_queues[team_index].cursor++;
}

void amb_cycle_reserve_on_slot(struct amb_slot *slot, const struct amb_job_spec *spec) {
    if (slot->machine) amb_resources_add(&slot->machine->reserved, &spec->task_resources, 1);
}

static double clamp_to_zero(double amount) {
    return fmax(amount, 0);
}

static void consume_reservation(struct amb_slot *slot, const struct amb_job_spec *spec) {
    amb_resources_add(&slot->reserved, &spec->task_resources, -1);
    slot->reserved =
        (struct amb_resources){clamp_to_zero(slot->reserved.cpus), clamp_to_zero(slot->reserved.gpus),
                               clamp_to_zero(slot->reserved.memory_gb)};
    slot->machine->reserved = slot->reserved;
}

static void place_task(struct amb_cycle *cycle, struct amb_task *task, struct amb_slot *slot,
                       uint64_t attempt) {
    struct amb_job *job = task->job;
    if (amb_job_is_recovering(cycle->node, job)) consume_reservation(slot, job->spec);
    amb_cycle_get_slot(cycle, (uint32_t)(slot - cycle->slots));
    amb_cycle_note_slot_change(cycle, slot);
    cycle->placed_tasks++;
    amb_resources_add(&slot->available, &job->spec->task_resources, -1);
    if (job->spec->kind == AMB_JOB_KIND_SERVICE) slot->long_running_gpus += job->spec->task_resources.gpus;
    if (!slot->has_image) slot->fetching_gb += job->spec->image_gb;
    amb_info("task %s/%u try %llu: placed on %s%s", job->ref, task->index, (unsigned long long)attempt,
             slot->machine->name, slot->has_image ? ", image at hand" : "");
    amb_task_bind(cycle->node, task, slot->machine, attempt, AMB_TASK_PLACED);
    amb_machine_record_image_use(cycle->node, slot->machine, job->spec->image, job->spec->image_gb);
    amb_placement_block_mark_dirty(cycle->node, task, true);
}

static struct amb_task *find_first_waiting(struct amb_job *job) {
    while (job->first_waiting_task < job->spec->task_count) {
        struct amb_task *task = &job->tasks[job->first_waiting_task];
        if (!task->machine && !task->done) return task;
        job->first_waiting_task++;
    }
    return NULL;
}

struct amb_preemption_claim amb_cycle_make_claim(const struct amb_job_spec *spec,
                                                 const struct amb_team *team) {
    struct amb_resources need = {0, 0, 0};
    amb_resources_add(&need, &spec->task_resources, spec->kind == AMB_JOB_KIND_GANG ? spec->task_count : 1);
    bool guaranteed = spec->kind != AMB_JOB_KIND_ARRAY && team && amb_wdrr_is_within_guarantee(team, &need);
    return (struct amb_preemption_claim){spec->priority, team, guaranteed};
}

static struct amb_preemption_claim make_job_claim(const struct amb_job *job) {
    struct amb_preemption_claim claim = amb_cycle_make_claim(job->spec, job->team);
    claim.priority = amb_job_get_effective_priority(job);
    return claim;
}

static bool has_opportunistic_team(const struct amb_settings *settings) {
    for (uint32_t i = 0; i < settings->team_count; i++)
        if (settings->teams[i].opportunistic) return true;
    return false;
}

/* Is there work that might be stopped on these grounds? A quick look that never says no wrongly. */
static bool may_preempt(const struct amb_cycle *cycle, const struct amb_preemption_claim *claim) {
    if (cycle->node->options.preempt < 0.5) return false;
    if (claim->priority >= AMB_PRIORITY_HIGH || claim->within_guarantee) return true;
    return claim->priority > AMB_PRIORITY_BEST_EFFORT && has_opportunistic_team(&cycle->node->settings);
}

static bool is_beyond_guarantee(const struct amb_team *team) {
    return team->guarantee.gpus > 0 ? team->used.gpus > team->guarantee.gpus
                                    : team->used.cpus > team->guarantee.cpus;
}

/* Batch work makes way for work of higher priority that is urgent or that its team is guaranteed; and, if it
 * loses little by it, what a team runs beyond its guarantee makes way for what another is guaranteed. (When
 * lower work made way for urgent work only, early stages that need no GPUs filled every machine's cores, and
 * gangs that their teams are guaranteed waited for machines to boot. Opportunistic work makes way for all
 * that is higher: when it did so for guaranteed work only, 70 machines were rented beside 80 that it had
 * filled.) */
bool amb_cycle_is_preemptible_by(const struct amb_task *task, const struct amb_preemption_claim *claim) {
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

/* Could the slot have the room if all batch work on it made way? A quick look that never says no wrongly. */
static bool could_free_enough(const struct amb_slot *slot, const struct amb_placement_request *request) {
    struct amb_resources available = amb_placement_available(slot, true);
    amb_resources_add(&available, &slot->batch_usage, 1);
    return amb_resources_fit(&request->need, &available);
}

/* Seconds of work that is lost when work makes way for the wish, more where the image is not. */
static bool compute_lost_work_cost(struct amb_cycle *cycle, const struct amb_slot *slot,
                                   const struct amb_placement_request *request,
                                   const struct amb_preemption_claim *claim, double *cost) {
    struct amb_resources available = amb_placement_available(slot, true);
    *cost = slot->has_image ? 0 : 1000;
    for (const struct amb_task *task = slot->machine->tasks;
         task && !amb_resources_fit(&request->need, &available); task = task->next_on_machine) {
        if (!amb_cycle_is_preemptible_by(task, claim)) continue;
        amb_resources_add(&available, &task->job->spec->task_resources, 1);
        *cost += task->running_at ? (double)(cycle->now - task->running_at) / 1000 : 0;
    }
    return amb_resources_fit(&request->need, &available);
}

/* Room is had when all that may make way does; it is better where the image is. */
static bool compute_image_cost(const struct amb_slot *slot, const struct amb_placement_request *request,
                               const struct amb_preemption_claim *claim, double *cost) {
    struct amb_resources available = amb_placement_available(slot, true);
    for (const struct amb_task *task = slot->machine->tasks; task; task = task->next_on_machine)
        if (amb_cycle_is_preemptible_by(task, claim))
            amb_resources_add(&available, &task->job->spec->task_resources, 1);
    *cost = slot->has_image ? 0 : 1;
    return amb_resources_fit(&request->need, &available);
}

/* Of the slot, as struct amb_slot_list has it. */
static bool compute_preemption_cost(void *context, uint32_t slot_index,
                                    const struct amb_placement_request *request,
                                    const struct amb_preemption_terms *terms, double *cost) {
    struct amb_cycle *cycle = context;
    const struct amb_slot *s = &cycle->slots[slot_index];
    const struct amb_preemption_claim claim = {terms->priority, terms->team, terms->within_guarantee};
    if (!s->machine || !could_free_enough(s, request) || !amb_placement_is_allowed_ignoring_zone(request, s))
        return false;
    if (terms->cost_kind == AMB_PREEMPTION_COST_LOST_WORK && s->machine->state != AMB_MACHINE_UP)
        return false;
    bool has_image = amb_cycle_get_slot(cycle, slot_index)->has_image;
    if (terms->image_only && !has_image) return false;
    return terms->cost_kind == AMB_PREEMPTION_COST_LOST_WORK
               ? compute_lost_work_cost(cycle, s, request, &claim, cost)
               : compute_image_cost(s, request, &claim, cost);
}

static int find_cheapest_preemption(struct amb_cycle *cycle, const struct amb_placement_request *request,
                                    const struct amb_preemption_claim *claim, enum amb_preemption_cost cost,
                                    bool image_only) {
    const struct amb_slot_list list = make_slot_list(cycle);
    const struct amb_preemption_terms terms = {.cost_kind = cost,
                                               .priority = claim->priority,
                                               .team = claim->team,
                                               .within_guarantee = claim->within_guarantee,
                                               .image_only = image_only,
                                               .placed_tasks = cycle->placed_tasks};
    return amb_slot_rankings_find_cheapest_preemption(&cycle->rankings, &list, &cycle->annotation, request,
                                                      &terms);
}

/* The machine on which least is lost when work makes way for the wish; -1: there is none. */
static int find_least_lost_work(struct amb_cycle *cycle, const struct amb_placement_request *request,
                                const struct amb_preemption_claim *claim, bool image_only) {
    return find_cheapest_preemption(cycle, request, claim, AMB_PREEMPTION_COST_LOST_WORK, image_only);
}

struct amb_slot *amb_cycle_find_reservable_slot(struct amb_cycle *cycle,
                                                const struct amb_placement_request *request,
                                                const struct amb_preemption_claim *claim) {
    int found = amb_cycle_find_best_slot(cycle, request, true);
    if (found >= 0 && cycle->slots[found].has_image) return &cycle->slots[found];
    int preemption = find_cheapest_preemption(cycle, request, claim, AMB_PREEMPTION_COST_IMAGE, false);
    bool better =
        preemption >= 0 && (found < 0 || amb_cycle_get_slot(cycle, (uint32_t)preemption)->has_image);
    if (better) found = preemption;
    return found >= 0 ? &cycle->slots[found] : NULL;
}

/* Puts every task of a gang somewhere, or none: where[i] is the slot of task i. With a claim, work that makes
 * way for it counts as room. Room and zone counts are left as they would be; undo with place_undo. */
static uint32_t take_slots_for_gang(struct amb_cycle *cycle, struct amb_job *job,
                                    struct amb_placement_request *request, int *slot_indices,
                                    bool include_releasing, const struct amb_preemption_claim *claim) {
    uint32_t i = 0;
    for (; i < job->spec->task_count; i++) {
        slot_indices[i] = claim ? find_least_lost_work(cycle, request, claim, false)
                                : amb_cycle_find_best_slot(cycle, request, include_releasing);
        if (slot_indices[i] < 0) break;
        amb_resources_add(&cycle->slots[slot_indices[i]].available, &job->spec->task_resources, -1);
        amb_cycle_note_slot_change(cycle, &cycle->slots[slot_indices[i]]);
        job->zone_task_counts[cycle->slots[slot_indices[i]].zone]++;
    }
    return i;
}

static void return_slots_of_gang(struct amb_cycle *cycle, struct amb_job *job, const int *slot_indices,
                                 uint32_t count) {
    for (uint32_t i = 0; i < count; i++) {
        amb_resources_add(&cycle->slots[slot_indices[i]].available, &job->spec->task_resources, 1);
        amb_cycle_note_slot_change(cycle, &cycle->slots[slot_indices[i]]);
        job->zone_task_counts[cycle->slots[slot_indices[i]].zone]--;
    }
}

/* Tries zone after zone when the job binds itself to one. Leaves the slots taken on success. */
static bool place_gang_with_claim(struct amb_cycle *cycle, struct amb_job *job, int *slot_indices,
                                  bool include_releasing, const struct amb_preemption_claim *claim) {
    struct amb_placement_request request;
    amb_cycle_init_request(cycle, job, &request);
    bool any_single_zone = job->spec->one_zone && request.zone < 0;
    uint32_t zone_count = any_single_zone ? cycle->node->catalog.zone_count : 1;
    for (uint32_t zone = 0; zone < zone_count; zone++) {
        if (any_single_zone) request.zone = (int)zone;
        uint32_t taken = take_slots_for_gang(cycle, job, &request, slot_indices, include_releasing, claim);
        if (taken == job->spec->task_count) return true;
        return_slots_of_gang(cycle, job, slot_indices, taken);
    }
    return false;
}

bool amb_cycle_place_gang(struct amb_cycle *cycle, struct amb_job *job, int *slot_indices,
                          bool include_releasing) {
    return place_gang_with_claim(cycle, job, slot_indices, include_releasing, NULL);
}

static bool admit_gang(struct amb_cycle *cycle, struct amb_job *job) {
    int *slot_indices = amb_alloc(job->spec->task_count * sizeof *slot_indices);
    bool fits = amb_cycle_place_gang(cycle, job, slot_indices, false);
    if (fits) {
        return_slots_of_gang(cycle, job, slot_indices, job->spec->task_count); /* binding counts them again */
        uint64_t attempt = job->next_attempt++;
        for (uint32_t i = 0; i < job->spec->task_count; i++)
            place_task(cycle, &job->tasks[i], &cycle->slots[slot_indices[i]], attempt);
        amb_gang_set_state(job, AMB_GANG_STARTING, "placed");
    }
    free(slot_indices);
    return fits;
}

/* Time to save is left to what is stopped, unless somebody waits for the start and the progress since its
 * last checkpoint (half an interval, on the average) is worth little more than the time that saving takes, or
 * is opportunistic work's. */
static double preemption_grace_s(const struct amb_cycle *cycle, const struct amb_job *preempted_job,
                                 const struct amb_job_spec *waiting_spec) {
    const struct amb_job_spec *spec = preempted_job->spec;
    if (spec->checkpoint_interval_s <= 0) return 0;
    bool start_is_awaited = amb_start_find_objective(cycle->node, waiting_spec) != NULL;
    bool little_is_lost = spec->checkpoint_interval_s / 2 < spec->checkpoint_save_s * 2 ||
                          amb_job_is_opportunistic(preempted_job);
    return start_is_awaited && little_is_lost ? 0 : spec->checkpoint_save_s;
}

/* More was promised of the machine than it has: work of at most this priority is told to stop until it has
 * it. */
static void preempt_up_to_priority(struct amb_cycle *cycle, struct amb_slot *slot,
                                   const struct amb_preemption_claim *claim,
                                   const struct amb_job_spec *waiting_spec, enum amb_priority max_priority) {
    static const struct amb_resources nothing = {0, 0, 0};
    struct amb_resources available = amb_placement_available(slot, true);
    amb_cycle_note_slot_change(cycle, slot);
    for (struct amb_task *task = slot->machine->tasks; task && !amb_resources_fit(&nothing, &available);
         task = task->next_on_machine) {
        if (!amb_cycle_is_preemptible_by(task, claim) ||
            amb_job_get_effective_priority(task->job) > max_priority)
            continue;
        amb_resources_add(&available, &task->job->spec->task_resources, 1);
        amb_resources_add(&slot->releasing_soon, &task->job->spec->task_resources, 1);
        amb_debug("room on %s: %s/%u makes way for %s", slot->machine->name, task->job->ref, task->index,
                  waiting_spec->ref);
        amb_task_request_stop(cycle->node, task, preemption_grace_s(cycle, task->job, waiting_spec),
                              "room for a job that goes before it");
    }
}

/* Says that the slot has changed. For replicas that recover the lowest priority stops first, since they may
 * need room on many machines at once. */
static void preempt_on_slot(struct amb_cycle *cycle, struct amb_slot *slot,
                            const struct amb_preemption_claim *claim, const struct amb_job_spec *waiting_spec,
                            bool lowest_first) {
    for (int max_priority = lowest_first ? AMB_PRIORITY_BEST_EFFORT : AMB_PRIORITY_PRODUCTION;
         max_priority <= AMB_PRIORITY_PRODUCTION; max_priority++)
        preempt_up_to_priority(cycle, slot, claim, waiting_spec, (enum amb_priority)max_priority);
}

struct amb_slot *amb_cycle_preempt_for(struct amb_cycle *cycle, struct amb_job *job,
                                       const struct amb_placement_request *request, bool image_only) {
    const struct amb_preemption_claim claim = make_job_claim(job);
    if (amb_job_is_broken(job) || !may_preempt(cycle, &claim)) return NULL;
    int best = find_least_lost_work(cycle, request, &claim, image_only);
    if (best < 0) return NULL;
    struct amb_slot *slot = &cycle->slots[best];
    amb_resources_add(&slot->available, &request->need, -1);
    bool is_recovering = amb_job_is_recovering(cycle->node, job);
    preempt_on_slot(cycle, slot, &claim, job->spec, is_recovering);
    slot->planned_tasks++;
    /* Until it has come, no batch work goes there. */
    if (job->spec->kind == AMB_JOB_KIND_GANG) slot->machine->reserved_priority = (int)claim.priority;
    if (is_recovering) amb_cycle_reserve_on_slot(slot, job->spec);
    return slot;
}

/* For a whole gang on machines that are up, zone by zone if it binds itself to one. Nothing is stopped unless
 * all of it finds room. */
bool amb_cycle_preempt_for_gang(struct amb_cycle *cycle, struct amb_job *job) {
    const struct amb_preemption_claim claim = make_job_claim(job);
    if (!may_preempt(cycle, &claim)) return false;
    int *slot_indices = amb_alloc(job->spec->task_count * sizeof *slot_indices);
    bool is_placed = place_gang_with_claim(cycle, job, slot_indices, true, &claim);
    for (uint32_t i = 0; is_placed && i < job->spec->task_count; i++) {
        struct amb_slot *slot = &cycle->slots[slot_indices[i]];
        job->zone_task_counts[slot->zone]--;
        preempt_on_slot(cycle, slot, &claim, job->spec, false);
        slot->planned_tasks++;
        slot->machine->reserved_priority = (int)claim.priority;
        slot->machine->claimed_by_gang = true;
    }
    free(slot_indices);
    return is_placed;
}

/* Would the fetch alone use up most of the time in which the job's class is to start? */
static bool is_fetch_too_long(const struct amb_cycle *cycle, const struct amb_job *job,
                              const struct amb_slot *slot) {
    const struct amb_objective *objective = amb_start_find_objective(cycle->node, job->spec);
    double fetch_gb_s = cycle->node->catalog.types[slot->type].image_fetch_gb_per_s;
    const struct amb_preemption_claim claim = make_job_claim(job);
    if (!objective || fetch_gb_s <= 0 || (claim.priority < AMB_PRIORITY_HIGH && !claim.within_guarantee))
        return false;
    return job->spec->image_gb / fetch_gb_s > objective->within_s * 0.7;
}

/* Is room on a machine with the image about to come? */
static bool is_image_slot_releasing(struct amb_cycle *cycle, const struct amb_placement_request *request) {
    for (uint32_t i = 0; i < cycle->slot_count; i++) {
        const struct amb_slot *slot = &cycle->slots[i];
        if (amb_placement_is_feasible(request, slot, true) &&
            amb_placement_is_zone_allowed(request, slot->zone) && amb_cycle_get_slot(cycle, i)->has_image)
            return true;
    }
    return false;
}

/* How long room that was asked for may take to come: what is told to stop may save first. */
static amb_ms max_release_wait(struct amb_cycle *cycle) {
    double longest_save_s = 0;
    for (uint32_t i = 0; i < cycle->slot_count; i++) {
        const struct amb_machine *machine = cycle->slots[i].machine;
        for (const struct amb_task *task = machine ? machine->tasks : NULL; task;
             task = task->next_on_machine)
            if (task->stop_requested && amb_cycle_get_slot(cycle, i)->has_image)
                longest_save_s = fmax(longest_save_s, task->grace_s);
    }
    return amb_seconds_to_ms(longest_save_s + cycle->node->settings.heartbeat_s * 4);
}

static enum amb_wdrr_result admit_item(void *context, uint32_t team_index, const struct amb_wdrr_item *item) {
    struct amb_cycle *cycle = context;
    struct amb_job *job = item->payload;
    (void)team_index;
    amb_cycle_annotate_for_image(cycle, job->spec, job->spec->image);
    if (job->spec->kind == AMB_JOB_KIND_GANG && job->spec->task_count > 1)
        return admit_gang(cycle, job) ? AMB_WDRR_ADMITTED : AMB_WDRR_NO_FIT;
    struct amb_placement_request request;
    amb_cycle_init_request(cycle, job, &request);
    int slot_index = amb_cycle_find_best_slot(cycle, &request, false);
    struct amb_task *task = find_first_waiting(job);
    if (slot_index < 0 || !task) return AMB_WDRR_NO_FIT;
    /* A user waits for it, and fetching the image would take too long: better the room of other work on a
     * machine that holds it. */
    if (!cycle->slots[slot_index].has_image && is_fetch_too_long(cycle, job, &cycle->slots[slot_index])) {
        if (!job->image_wait_since) job->image_wait_since = cycle->now;
        if (cycle->now - job->image_wait_since < max_release_wait(cycle) &&
            (is_image_slot_releasing(cycle, &request) || amb_cycle_preempt_for(cycle, job, &request, true)))
            return AMB_WDRR_NO_FIT;
    }
    job->image_wait_since = 0;
    if (job->spec->kind == AMB_JOB_KIND_GANG)
        return admit_gang(cycle, job) ? AMB_WDRR_ADMITTED : AMB_WDRR_NO_FIT;
    place_task(cycle, task, &cycle->slots[slot_index], job->next_attempt++);
    return AMB_WDRR_ADMITTED;
}

/* A pass whose jobs have no further turn, placed or not. */
static uint32_t run_admission_pass(struct amb_cycle *cycle, const struct amb_wdrr_ops *ops,
                                   uint32_t first_team) {
    struct amb_settings *settings = &cycle->node->settings;
    uint32_t admitted = amb_wdrr_run(settings->teams, settings->team_count, first_team, ops);
    for (uint32_t i = 0; i < settings->team_count; i++) {
        struct amb_team_queue *team_queue = &cycle->team_queues[i];
        while (team_queue->cursor < team_queue->count &&
               is_eligible_in_pass(cycle, team_queue->jobs[team_queue->cursor]))
            team_queue->cursor++;
    }
    return admitted;
}

uint32_t amb_cycle_admit(struct amb_cycle *cycle) {
    struct amb_node *node = cycle->node;
    const struct amb_wdrr_ops ops = {next_item, admit_item, skip_item, is_queue_exhausted, cycle};
    uint32_t first_team =
                 node->settings.team_count ? node->controller.team_cursor++ % node->settings.team_count : 0,
             admitted = 0;
    /* What was lost with a zone comes back class by class (docs/design.md, exceptions). */
    for (uint32_t step = 0; step < node->zone_recovery.order.count; step++) {
        cycle->recovery_pass = (uint8_t)step;
        admitted += run_admission_pass(cycle, &ops, first_team);
    }
    cycle->recovery_pass = AMB_RECOVERY_NO_STEP;
    /* What users wait for goes before what may be stopped for it (docs/design.md, exceptions). */
    cycle->urgent_pass = true;
    admitted += run_admission_pass(cycle, &ops, first_team);
    cycle->urgent_pass = false;
    return admitted + amb_wdrr_run(node->settings.teams, node->settings.team_count, first_team, &ops);
}
