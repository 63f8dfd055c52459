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
static const double LOOKS_PER_TURN = 2;

enum { CLASSES = 2 * AMB_RECOVERY_STEPS }; /* that are told apart at a loss */

struct class_count { /* replicas of a class at the moment of a loss */
    const struct amb_job *oldest;
    uint32_t lost, all;
};

struct class_counts {
    struct class_count classes[CLASSES];
    uint32_t count;
};

/* ---- a loss ---- */

static struct class_count *count_of(struct class_counts *counts, const struct amb_job *job, bool create) {
    for (uint32_t i = 0; i < counts->count; i++)
        if (!strcmp(counts->classes[i].oldest->spec->class_name, job->spec->class_name))
            return &counts->classes[i];
    if (!create || counts->count == CLASSES) return NULL;
    struct class_count *count = &counts->classes[counts->count++];
    *count = (struct class_count){.oldest = job};
    return count;
}

static bool is_replica(const struct amb_task *task) {
    return task->job->spec->kind == AMB_JOB_KIND_SERVICE && task->job->state == AMB_JOB_QUEUED;
}

static void count_lost(const struct amb_node *node, int zone, struct class_counts *counts) {
    for (const struct amb_machine *machine = node->fleet.all; machine; machine = machine->hh.next) {
        if (machine->zone_index != zone) continue;
        for (const struct amb_task *task = machine->tasks; task; task = task->next_on_machine) {
            struct class_count *count = is_replica(task) ? count_of(counts, task->job, true) : NULL;
            if (!count) continue;
            count->lost++;
            if (task->job->accepted_wall_ms < count->oldest->accepted_wall_ms) count->oldest = task->job;
        }
    }
}

static void count_all(const struct amb_node *node, struct class_counts *counts) {
    for (const struct amb_job *job = node->jobs.active; job; job = job->next_active) {
        if (job->spec->kind != AMB_JOB_KIND_SERVICE || job->state != AMB_JOB_QUEUED) continue;
        struct class_count *count = count_of(counts, job, false);
        if (count) count->all += job->bound_count;
    }
}

static uint32_t listed_place(const struct amb_node *node, const char *class_name) {
    const char *list = node->options.zone_recovery_order;
    char name[AMB_NAME_SIZE];
    for (uint32_t place = 0; amb_zone_settings_next_class(&list, name, sizeof name); place++)
        if (!strcmp(name, class_name)) return place;
    return AMB_RECOVERY_UNLISTED;
}

static double share(double part, double whole) {
    return whole > 0 ? part / whole : 0;
}

static struct amb_recovery_class class_of(const struct amb_node *node, const struct class_count *count) {
    static const struct amb_resources nothing = {0, 0, 0};
    const struct amb_job *job = count->oldest;
    const struct amb_team *team = job->team;
    struct amb_recovery_class lost = {
        .listed = listed_place(node, job->spec->class_name),
        .priority = job->spec->priority,
        .missing_share = share(count->lost, count->all),
        .guaranteed = amb_wdrr_is_within_guarantee(team, &nothing),
        .guarantee_used =
            fmax(share(team->used.gpus, team->guarantee.gpus), share(team->used.cpus, team->guarantee.cpus)),
        .accepted_wall = job->accepted_wall_ms,
    };
    strcpy(lost.name, job->spec->class_name);
    return lost;
}

void amb_zone_order_lost(struct amb_node *node, int zone, amb_ms now) {
    struct class_counts counts = {.count = 0};
    count_lost(node, zone, &counts);
    count_all(node, &counts);
    for (uint32_t i = 0; i < counts.count; i++) {
        const struct amb_recovery_class lost = class_of(node, &counts.classes[i]);
        if (!amb_recovery_order_extend(&node->zone_recovery.order, &lost, now))
            amb_info("recovery of %s: no step, there are %d already", lost.name, AMB_RECOVERY_STEPS);
    }
    for (uint32_t i = 0; i < node->zone_recovery.order.count; i++)
        amb_info("recovery of %s: step %u of %u, zone %s is lost",
                 node->zone_recovery.order.steps[i].lost.name, i + 1, node->zone_recovery.order.count,
                 node->catalog.zones[zone]);
}

/* ---- what is missing ---- */

struct missing { /* of a step */
    uint32_t replicas;
    const struct amb_job *waits; /* the first that waits for a place */
};

/* Its replicas were running, or were to. */
static bool was_placed(const struct amb_job *job) {
    return job->next_attempt > 1;
}

static int step_of_class(const struct amb_node *node, const struct amb_job *job) {
    if (job->spec->kind != AMB_JOB_KIND_SERVICE) return -1;
    return amb_recovery_order_find(&node->zone_recovery.order, job->spec->class_name);
}

bool amb_job_recovers(const struct amb_node *node, const struct amb_job *job) {
    return node->zone_recovery.order.count && was_placed(job) && step_of_class(node, job) >= 0;
}

/* Replicas on machines that don't answer, of zones that are not healthy. */
static void count_away(const struct amb_node *node, amb_ms now, struct missing missing[AMB_RECOVERY_STEPS]) {
    for (const struct amb_machine *machine = node->fleet.all; machine; machine = machine->hh.next) {
        if (machine->zone_index < 0 || amb_zone_machine_answers(node, machine, now)) continue;
        if (node->zone_recovery.zones[machine->zone_index].verdict == AMB_ZONE_HEALTHY) continue;
        for (const struct amb_task *task = machine->tasks; task; task = task->next_on_machine) {
            int step = is_replica(task) ? step_of_class(node, task->job) : -1;
            if (step >= 0) missing[step].replicas++;
        }
    }
}

static void count_waiting(const struct amb_node *node, struct missing missing[AMB_RECOVERY_STEPS]) {
    for (const struct amb_job *job = node->jobs.active; job; job = job->next_active) {
        int step = job->state == AMB_JOB_QUEUED && was_placed(job) ? step_of_class(node, job) : -1;
        uint32_t waiting = step >= 0 ? amb_job_count_waiting_tasks(job) : 0;
        if (!waiting) continue;
        missing[step].replicas += waiting;
        if (!missing[step].waits) missing[step].waits = job;
    }
}

/* Does a zone that is not lost leave the job's spread a place? */
static bool spread_allows(const struct amb_node *node, const struct amb_job *job) {
    uint32_t most = amb_placement_max_tasks_per_zone(job->spec->task_count);
    for (uint32_t zone = 0; zone < node->catalog.zone_count; zone++) {
        if (node->zone_recovery.zones[zone].verdict == AMB_ZONE_LOST) continue;
        if (!job->spec->spread_zones || job->zone_task_counts[zone] < most) return true;
    }
    return false;
}

static enum amb_recovery_wait wait_of(const struct amb_node *node, const struct missing *missing) {
    const struct amb_job *job = missing->waits;
    if (!missing->replicas) return AMB_RECOVERY_SERVED;
    if (!job) return AMB_RECOVERY_FOR_PROOF;
    if (!amb_election_may_act(node)) return AMB_RECOVERY_FOR_STATE;
    if (!amb_wdrr_is_within_limit(job->team, &job->spec->task_resources, 1)) return AMB_RECOVERY_FOR_LIMIT;
    if (!spread_allows(node, job)) return AMB_RECOVERY_FOR_SPREAD;
    return job->image_wait_since ? AMB_RECOVERY_FOR_IMAGE : AMB_RECOVERY_FOR_ROOM;
}

static void step_changed(const struct amb_recovery_step *step, amb_ms now) {
    if (step->wait == AMB_RECOVERY_SERVED)
        amb_info("recovery of %s: served %lld ms after the loss", step->lost.name,
                 (long long)(now - step->opened_at));
    else
        amb_info("recovery of %s: %u replicas missing, waits for %s", step->lost.name, step->missing,
                 amb_recovery_wait_name(step->wait));
}

void amb_zone_order_tick(struct amb_node *node, amb_ms now) {
    struct amb_zone_recovery *recovery = &node->zone_recovery;
    struct missing missing[AMB_RECOVERY_STEPS] = {{0}};
    if (!recovery->order.count) return;
    if (now - recovery->order_looked_at < amb_secs(node->controller.tick_interval_s / LOOKS_PER_TURN)) return;
    recovery->order_looked_at = now;
    count_away(node, now, missing);
    count_waiting(node, missing);
    for (uint32_t i = 0; i < recovery->order.count; i++)
        if (amb_recovery_order_update(&recovery->order, i, missing[i].replicas, wait_of(node, &missing[i])))
            step_changed(&recovery->order.steps[i], now);
    if (amb_recovery_order_open(&recovery->order) || amb_zones_away(node)) return;
    amb_info("recovery: all %u classes are served", recovery->order.count);
    recovery->order.count = 0;
    amb_zone_record_changed(node);
}

/* ---- turns ---- */

/* A job that lost nothing has its turn before the steps of lower priority, as ever. */
static uint8_t step_by_priority(const struct amb_recovery_order *order, const struct amb_job *job) {
    for (uint32_t i = 0; i < order->count; i++)
        if (order->steps[i].lost.priority < job->spec->priority) return (uint8_t)i;
    return AMB_NO_STEP;
}

uint8_t amb_zone_recovery_step(const struct amb_node *node, const struct amb_job *job) {
    const struct amb_recovery_order *order = &node->zone_recovery.order;
    if (!order->count || job->spec->kind != AMB_JOB_KIND_SERVICE) return AMB_NO_STEP;
    int step = was_placed(job) ? step_of_class(node, job) : -1;
    return step >= 0 ? (uint8_t)step : step_by_priority(order, job);
}
