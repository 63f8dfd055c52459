/* Admission: serves the team queues by weighted deficit round robin, in several passes, and places admitted
 * tasks on machines. */
#include "cycle_internal.h"

#include "amberpin/base/log.h"
#include "amberpin/placement/wdrr.h"
#include "amberpin/scheduler/start_deadline.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* A fetch is too long if it takes more than this share of the time in which the job is to start. */
static const double FETCH_SHARE_MAX = 0.7;
/* How long stop commands and the heartbeats that confirm them take, in addition to saving a checkpoint. */
static const double RELEASE_HEARTBEAT_PERIODS = 4;

static struct amb_cycle *cycle_of(void *context) {
    return context;
}

/* ---- queues ---- */

static bool is_eligible_in_pass(const struct amb_cycle *cycle, const struct amb_job *job) {
    bool any_priority = cycle->pass.min_priority == AMB_PRIORITY_BEST_EFFORT; /* the lowest */
    if (!any_priority && amb_job_get_effective_priority(job) < cycle->pass.min_priority) return false;
    return job->recovery_step <= cycle->pass.max_recovery_step;
}

static void init_item(const struct amb_cycle *cycle, struct amb_job *job, struct amb_wdrr_item *item) {
    double task_count = job->spec->kind == AMB_JOB_KIND_GANG ? job->spec->task_count : 1;
    memset(item, 0, sizeof *item);
    amb_resources_add(&item->need, &job->spec->task_resources, task_count);
    item->size = amb_wdrr_item_size(&item->need, cycle->sized_by_gpus);
    item->payload = job;
}

static bool next_item(void *context, uint32_t team_index, struct amb_wdrr_item *item) {
    struct amb_cycle *cycle = context;
    struct amb_team_queue *team_queue = &cycle->team_queues[team_index];
    for (; team_queue->cursor < team_queue->count; team_queue->cursor++) {
        struct amb_job *job = team_queue->jobs[team_queue->cursor];
        if (!is_eligible_in_pass(cycle, job)) return false;
        if (!amb_cycle_is_schedulable(cycle, job)) continue;
        init_item(cycle, job, item);
        return true;
    }
    return false;
}

static bool is_queue_exhausted(void *context, uint32_t team_index) {
    const struct amb_team_queue *team_queue = &cycle_of(context)->team_queues[team_index];
    return team_queue->cursor >= team_queue->count;
}

static void skip_item(void *context, uint32_t team_index, const struct amb_wdrr_item *item) {
    (void)item;
    cycle_of(context)->team_queues[team_index].cursor++;
}

/* ---- placing ---- */

static void place_task(struct amb_cycle *cycle, struct amb_task *task, struct amb_slot *slot,
                       uint64_t attempt) {
    struct amb_job *job = task->job;
    const struct amb_job_spec *spec = job->spec;
    if (amb_job_is_recovering(cycle->node, job)) amb_cycle_consume_reservation(slot, spec);
    amb_cycle_get_slot(cycle, (uint32_t)(slot - cycle->slots)); /* updates has_image for this job's image */
    amb_cycle_take_resources(cycle, slot, &spec->task_resources);
    cycle->placed_tasks++;
    if (spec->kind == AMB_JOB_KIND_SERVICE) slot->long_running_gpus += spec->task_resources.gpus;
    if (!slot->has_image) slot->fetching_gb += spec->image_gb;
    amb_info("task %s/%u attempt %llu: placed on %s%s", job->ref, task->index, (unsigned long long)attempt,
             slot->machine->name, slot->has_image ? ", image cached" : "");
    amb_task_bind(cycle->node, task, slot->machine, attempt, AMB_TASK_PLACED);
    amb_machine_record_image_use(cycle->node, slot->machine, spec->image, spec->image_gb);
    amb_placement_block_mark_dirty(cycle->node, task, true);
}

static enum amb_wdrr_result admit_gang(struct amb_cycle *cycle, struct amb_job *job) {
    uint32_t count = job->spec->task_count;
    int *slot_indices = amb_alloc(count * sizeof *slot_indices);
    bool is_placed = amb_cycle_place_gang(cycle, job, slot_indices, false);
    if (is_placed) {
        amb_cycle_unplace_gang(cycle, job, slot_indices, count); /* binding counts the tasks again */
        uint64_t attempt = job->next_attempt++;
        for (uint32_t i = 0; i < count; i++)
            place_task(cycle, &job->tasks[i], &cycle->slots[slot_indices[i]], attempt);
        amb_gang_set_state(job, AMB_GANG_STARTING, "placed");
    }
    free(slot_indices);
    return is_placed ? AMB_WDRR_ADMITTED : AMB_WDRR_NO_FIT;
}

static struct amb_task *find_first_waiting(struct amb_job *job) {
    for (; job->first_waiting_task < job->spec->task_count; job->first_waiting_task++) {
        struct amb_task *task = &job->tasks[job->first_waiting_task];
        if (!task->machine && !task->done) return task;
    }
    return NULL;
}

/* ---- waiting for a machine that holds the image ---- */

/* Returns whether the fetch alone would take most of the time in which jobs of the class are to start. */
static bool is_fetch_too_long(const struct amb_cycle *cycle, const struct amb_job *job,
                              const struct amb_slot *slot) {
    const struct amb_objective *objective = amb_start_find_objective(cycle->node, job->spec);
    double fetch_gb_per_s = cycle->node->catalog.types[slot->type].image_fetch_gb_per_s;
    const struct amb_preemptor preemptor = amb_cycle_make_job_preemptor(job);
    if (!objective || fetch_gb_per_s <= 0) return false;
    if (preemptor.priority < AMB_PRIORITY_HIGH && !preemptor.within_guarantee) return false;
    return job->spec->image_gb / fetch_gb_per_s > objective->within_s * FETCH_SHARE_MAX;
}

/* Returns whether a machine with the image has enough resources, including those about to be released. */
static bool is_image_slot_releasing(struct amb_cycle *cycle, const struct amb_placement_request *request) {
    for (uint32_t i = 0; i < cycle->slot_count; i++) {
        const struct amb_slot *slot = &cycle->slots[i];
        if (!amb_placement_is_feasible(request, slot, true)) continue;
        if (!amb_placement_is_zone_allowed(request, slot->zone)) continue;
        if (amb_cycle_get_slot(cycle, i)->has_image) return true;
    }
    return false;
}

/* How long it may take until resources are released: tasks that were told to stop may save a checkpoint
 * first. */
static amb_ms max_release_wait(struct amb_cycle *cycle) {
    double longest_save_s = 0;
    for (uint32_t i = 0; i < cycle->slot_count; i++) {
        const struct amb_machine *machine = cycle->slots[i].machine;
        const struct amb_task *task = machine ? machine->tasks : NULL;
        for (; task; task = task->next_on_machine)
            if (task->stop_requested && amb_cycle_get_slot(cycle, i)->has_image)
                longest_save_s = fmax(longest_save_s, task->grace_s);
    }
    return amb_seconds_to_ms(longest_save_s + cycle->node->settings.heartbeat_s * RELEASE_HEARTBEAT_PERIODS);
}

/* Returns whether the job waits, for a bounded time, because it has a start objective and fetching the image
 * to the slot would take too long. It waits for resources on a machine that holds the image, for which other
 * work is preempted if none are about to be released. */
static bool waits_for_image_slot(struct amb_cycle *cycle, struct amb_job *job,
                                 const struct amb_placement_request *request, const struct amb_slot *slot) {
    if (slot->has_image || !is_fetch_too_long(cycle, job, slot)) return false;
    if (!job->image_wait_since) job->image_wait_since = cycle->now;
    if (cycle->now - job->image_wait_since >= max_release_wait(cycle)) return false;
    return is_image_slot_releasing(cycle, request) || amb_cycle_preempt_for(cycle, job, request, true);
}

/* ---- round robin ---- */

static enum amb_wdrr_result admit_item(void *context, uint32_t team_index, const struct amb_wdrr_item *item) {
    struct amb_cycle *cycle = context;
    struct amb_job *job = item->payload;
    (void)team_index;
    amb_cycle_annotate_for_image(cycle, job->spec, job->spec->image);
    if (job->spec->kind == AMB_JOB_KIND_GANG && job->spec->task_count > 1) return admit_gang(cycle, job);
    struct amb_placement_request request;
    amb_cycle_init_request(cycle, job, &request);
    int slot_index = amb_cycle_find_best_slot(cycle, &request, false);
    struct amb_task *task = find_first_waiting(job);
    if (slot_index < 0 || !task) return AMB_WDRR_NO_FIT;
    struct amb_slot *slot = &cycle->slots[slot_index];
    if (waits_for_image_slot(cycle, job, &request, slot)) return AMB_WDRR_NO_FIT;
    job->image_wait_since = 0;
    if (job->spec->kind == AMB_JOB_KIND_GANG) return admit_gang(cycle, job);
    place_task(cycle, task, slot, job->next_attempt++);
    return AMB_WDRR_ADMITTED;
}

static uint32_t serve_queues(struct amb_cycle *cycle, uint32_t first_team) {
    const struct amb_wdrr_ops ops = {next_item, admit_item, skip_item, is_queue_exhausted, cycle};
    struct amb_settings *settings = &cycle->node->settings;
    return amb_wdrr_run(settings->teams, settings->team_count, first_team, &ops);
}

/* Runs one admission pass. Jobs that are eligible in it are not tried again in later passes. */
static uint32_t run_pass(struct amb_cycle *cycle, struct amb_admission_pass pass, uint32_t first_team) {
    cycle->pass = pass;
    uint32_t admitted = serve_queues(cycle, first_team);
    for (uint32_t i = 0; i < cycle->node->settings.team_count; i++) {
        struct amb_team_queue *team_queue = &cycle->team_queues[i];
        while (team_queue->cursor < team_queue->count &&
               is_eligible_in_pass(cycle, team_queue->jobs[team_queue->cursor]))
            team_queue->cursor++;
    }
    return admitted;
}

uint32_t amb_cycle_admit(struct amb_cycle *cycle) {
    static const struct amb_admission_pass urgent = {AMB_RECOVERY_NO_STEP, AMB_PRIORITY_HIGH};
    static const struct amb_admission_pass all = {AMB_RECOVERY_NO_STEP, AMB_PRIORITY_BEST_EFFORT};
    struct amb_node *node = cycle->node;
    uint32_t team_count = node->settings.team_count;
    uint32_t first_team = team_count ? node->controller.team_cursor++ % team_count : 0;
    uint32_t admitted = 0;
    /* Replicas lost with a zone are restored class by class (docs/design.md, exceptions). */
    for (uint32_t step = 0; step < node->zone_recovery.order.count; step++) {
        const struct amb_admission_pass recovery = {(uint8_t)step, AMB_PRIORITY_BEST_EFFORT};
        admitted += run_pass(cycle, recovery, first_team);
    }
    /* Urgent work is admitted before work that may be preempted for it (docs/design.md, exceptions). */
    admitted += run_pass(cycle, urgent, first_team);
    cycle->pass = all;
    return admitted + serve_queues(cycle, first_team);
}
