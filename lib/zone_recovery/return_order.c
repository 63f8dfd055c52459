/* The order of return, from the leader's books: which classes lost replicas with a zone, what each still
 * misses, and what it waits for. */
#include "amberpin/base/log.h"
#include "amberpin/node/node.h"
#include "amberpin/placement/bin_packing.h"
#include "amberpin/placement/wdrr.h"
#include "amberpin/zone_recovery/zone_recovery.h"

#include <math.h>
#include <string.h>

/* Looks at what is missing within a leader's turn. */
static const double CHECKS_PER_TICK = 2;

enum { CLASSES_MAX = 2 * AMB_RECOVERY_STEPS }; /* that are told apart at a loss */

struct class_count { /* replicas of a class at the moment of a loss */
    const struct amb_job *oldest;
    uint32_t lost, total;
};

struct class_counts {
    struct class_count classes[CLASSES_MAX];
    uint32_t count;
};

/* ---- a loss ---- */

static struct class_count *find_class(struct class_counts *counts, const struct amb_job *job,
                                      bool add_if_missing) {
    for (uint32_t i = 0; i < counts->count; i++)
        if (!strcmp(counts->classes[i].oldest->spec->class_name, job->spec->class_name))
            return &counts->classes[i];
    if (!add_if_missing || counts->count == CLASSES_MAX) return NULL;
    struct class_count *count = &counts->classes[counts->count++];
    *count = (struct class_count){.oldest = job};
    return count;
}

static bool is_replica(const struct amb_task *task) {
    return task->job->spec->kind == AMB_JOB_KIND_SERVICE && task->job->state == AMB_JOB_QUEUED;
}

static void count_lost(const struct amb_node *node, int zone, struct class_counts *counts) {
    for (const struct amb_machine *machine = node->fleet.machines; machine; machine = machine->hh.next) {
        if (machine->zone_index != zone) continue;
        for (const struct amb_task *task = machine->tasks; task; task = task->next_on_machine) {
            struct class_count *count = is_replica(task) ? find_class(counts, task->job, true) : NULL;
            if (!count) continue;
            count->lost++;
            if (task->job->accepted_wall_ms < count->oldest->accepted_wall_ms) count->oldest = task->job;
        }
    }
}

static void count_total(const struct amb_node *node, struct class_counts *counts) {
    for (const struct amb_job *job = node->jobs.active; job; job = job->next_active) {
        if (job->spec->kind != AMB_JOB_KIND_SERVICE || job->state != AMB_JOB_QUEUED) continue;
        struct class_count *count = find_class(counts, job, false);
        if (count) count->total += job->bound_count;
    }
}

static uint32_t list_position(const struct amb_node *node, const char *class_name) {
    const char *list = node->options.zone_recovery_order;
    char name[AMB_NAME_SIZE];
    for (uint32_t position = 0; amb_zone_settings_next_class(&list, name, sizeof name); position++)
        if (!strcmp(name, class_name)) return position;
    return AMB_RECOVERY_UNLISTED;
}

static double share(double part, double whole) {
    return whole > 0 ? part / whole : 0;
}

static struct amb_recovery_class make_class(const struct amb_node *node, const struct class_count *count) {
    static const struct amb_resources nothing = {0, 0, 0};
    const struct amb_job *job = count->oldest;
    const struct amb_team *team = job->team;
    struct amb_recovery_class lost = {
        .list_position = list_position(node, job->spec->class_name),
        .priority = job->spec->priority,
        .missing_share = share(count->lost, count->total),
        .within_guarantee = amb_wdrr_is_within_guarantee(team, &nothing),
        .guarantee_used_share =
            fmax(share(team->used.gpus, team->guarantee.gpus), share(team->used.cpus, team->guarantee.cpus)),
        .accepted_wall_ms = job->accepted_wall_ms,
    };
    strcpy(lost.name, job->spec->class_name);
    return lost;
}

void amb_zone_recovery_handle_loss(struct amb_node *node, int zone, amb_ms now) {
    struct class_counts counts = {.count = 0};
    count_lost(node, zone, &counts);
    count_total(node, &counts);
    for (uint32_t i = 0; i < counts.count; i++) {
        const struct amb_recovery_class lost = make_class(node, &counts.classes[i]);
        if (!amb_recovery_order_extend(&node->zone_recovery.order, &lost, now))
            amb_info("recovery of %s: no step, there are %d already", lost.name, AMB_RECOVERY_STEPS);
    }
    for (uint32_t i = 0; i < node->zone_recovery.order.count; i++)
        amb_info("recovery of %s: step %u of %u, zone %s is lost",
                 node->zone_recovery.order.steps[i].lost_class.name, i + 1, node->zone_recovery.order.count,
                 node->catalog.zones[zone]);
}

/* ---- what is missing ---- */

struct missing_replicas { /* of a step */
    uint32_t replicas;
    const struct amb_job *waiting_job; /* the first that waits for a place */
};

/* Its replicas were running, or were to. */
static bool was_placed(const struct amb_job *job) {
    return job->next_attempt > 1;
}

static int step_of_class(const struct amb_node *node, const struct amb_job *job) {
    if (job->spec->kind != AMB_JOB_KIND_SERVICE) return -1;
    return amb_recovery_order_find(&node->zone_recovery.order, job->spec->class_name);
}

bool amb_job_is_recovering(const struct amb_node *node, const struct amb_job *job) {
    return node->zone_recovery.order.count && was_placed(job) && step_of_class(node, job) >= 0;
}

/* Replicas on machines that don't answer, of zones that are not healthy. */
static void count_unreachable(const struct amb_node *node, amb_ms now,
                              struct missing_replicas missing[AMB_RECOVERY_STEPS]) {
    for (const struct amb_machine *machine = node->fleet.machines; machine; machine = machine->hh.next) {
        if (machine->zone_index < 0 || amb_zone_machine_is_responsive(node, machine, now)) continue;
        if (node->zone_recovery.zones[machine->zone_index].state == AMB_ZONE_HEALTHY) continue;
        for (const struct amb_task *task = machine->tasks; task; task = task->next_on_machine) {
            int step = is_replica(task) ? step_of_class(node, task->job) : -1;
            if (step >= 0) missing[step].replicas++;
        }
    }
}

static void count_waiting(const struct amb_node *node, struct missing_replicas missing[AMB_RECOVERY_STEPS]) {
    for (const struct amb_job *job = node->jobs.active; job; job = job->next_active) {
        int step = job->state == AMB_JOB_QUEUED && was_placed(job) ? step_of_class(node, job) : -1;
        uint32_t waiting = step >= 0 ? amb_job_count_waiting_tasks(job) : 0;
        if (!waiting) continue;
        missing[step].replicas += waiting;
        if (!missing[step].waiting_job) missing[step].waiting_job = job;
    }
}

/* Does a zone that is not lost leave the job's spread a place? */
static bool spread_allows(const struct amb_node *node, const struct amb_job *job) {
    uint32_t most = amb_placement_max_tasks_per_zone(job->spec->task_count);
    for (uint32_t zone = 0; zone < node->catalog.zone_count; zone++) {
        if (node->zone_recovery.zones[zone].state == AMB_ZONE_LOST) continue;
        if (!job->spec->spread_zones || job->zone_task_counts[zone] < most) return true;
    }
    return false;
}

static enum amb_recovery_wait wait_of(const struct amb_node *node, const struct missing_replicas *missing) {
    const struct amb_job *job = missing->waiting_job;
    if (!missing->replicas) return AMB_RECOVERY_WAIT_NONE;
    if (!job) return AMB_RECOVERY_WAIT_ABSENCE_PROOF;
    if (!amb_election_may_act(node)) return AMB_RECOVERY_WAIT_LEADERSHIP;
    if (!amb_wdrr_is_within_limit(job->team, &job->spec->task_resources, 1)) return AMB_RECOVERY_WAIT_QUOTA;
    if (!spread_allows(node, job)) return AMB_RECOVERY_WAIT_SPREAD;
    return job->image_wait_since ? AMB_RECOVERY_WAIT_IMAGE : AMB_RECOVERY_WAIT_CAPACITY;
}

static void log_step(const struct amb_recovery_step *step, amb_ms now) {
    if (step->wait == AMB_RECOVERY_WAIT_NONE)
        amb_info("recovery of %s: served %lld ms after the loss", step->lost_class.name,
                 (long long)(now - step->opened_at));
    else
        amb_info("recovery of %s: %u replicas missing, waits for %s", step->lost_class.name,
                 step->missing_replicas, amb_recovery_wait_name(step->wait));
}

void amb_zone_recovery_order_tick(struct amb_node *node, amb_ms now) {
    struct amb_zone_recovery *recovery = &node->zone_recovery;
    struct missing_replicas missing[AMB_RECOVERY_STEPS] = {{0}};
    if (!recovery->order.count) return;
    if (now - recovery->order_checked_at <
        amb_seconds_to_ms(node->controller.tick_interval_s / CHECKS_PER_TICK))
        return;
    recovery->order_checked_at = now;
    count_unreachable(node, now, missing);
    count_waiting(node, missing);
    for (uint32_t i = 0; i < recovery->order.count; i++)
        if (amb_recovery_order_update(&recovery->order, i, missing[i].replicas, wait_of(node, &missing[i])))
            log_step(&recovery->order.steps[i], now);
    if (amb_recovery_order_is_open(&recovery->order) || amb_zones_unavailable(node)) return;
    amb_info("recovery: all %u classes are served", recovery->order.count);
    recovery->order.count = 0;
    amb_zone_record_mark_dirty(node);
}

/* ---- turns ---- */

/* A job that lost nothing has its turn before the steps of lower priority, as ever. */
static uint8_t step_by_priority(const struct amb_recovery_order *order, const struct amb_job *job) {
    for (uint32_t i = 0; i < order->count; i++)
        if (order->steps[i].lost_class.priority < job->spec->priority) return (uint8_t)i;
    return AMB_RECOVERY_NO_STEP;
}

uint8_t amb_zone_recovery_step_of(const struct amb_node *node, const struct amb_job *job) {
    const struct amb_recovery_order *order = &node->zone_recovery.order;
    if (!order->count || job->spec->kind != AMB_JOB_KIND_SERVICE) return AMB_RECOVERY_NO_STEP;
    int step = was_placed(job) ? step_of_class(node, job) : -1;
    return step >= 0 ? (uint8_t)step : step_by_priority(order, job);
}
