#include "amberpin/zone_recovery/replica_recovery.h"

#include "amberpin/base/log.h"
#include "amberpin/node/node.h"
#include "amberpin/placement/bin_packing.h"
#include "amberpin/placement/wdrr.h"
#include "machine_evidence.h"

/* How often the recovery order is checked within one tick interval of the controller. */
static const double CHECKS_PER_TICK = 2;

/* The replicas that a step of the order lacks. */
struct missing_replicas {
    uint32_t replicas;
    const struct amb_job *waiting_job; /* the first job of the class with replicas to place; NULL: none */
};

/* Has a replica of the job been running, or been bound to a machine, before? */
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

/* ---- missing replicas ---- */

/* Counts the replicas on an unresponsive machine, which are not proven absent yet. */
static void count_on_machine(const struct amb_node *node, const struct amb_machine *machine,
                             struct missing_replicas missing[AMB_RECOVERY_STEPS]) {
    for (const struct amb_task *task = machine->tasks; task; task = task->next_on_machine) {
        int step = task->job->state == AMB_JOB_QUEUED ? step_of_class(node, task->job) : -1;
        if (step >= 0) missing[step].replicas++;
    }
}

static void count_unreachable(const struct amb_node *node, amb_ms now,
                              struct missing_replicas missing[AMB_RECOVERY_STEPS]) {
    for (const struct amb_machine *machine = node->fleet.machines; machine; machine = machine->hh.next) {
        if (machine->zone_index < 0 || amb_zone_machine_is_responsive(node, machine, now)) continue;
        if (node->zone_recovery.zones[machine->zone_index].state == AMB_ZONE_HEALTHY) continue;
        count_on_machine(node, machine, missing);
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

/* May another replica of the job be placed in a zone that is not lost? */
static bool spread_allows(const struct amb_node *node, const struct amb_job *job) {
    uint32_t max_per_zone = amb_placement_max_tasks_per_zone(job->spec->task_count);
    for (uint32_t zone = 0; zone < node->catalog.zone_count; zone++) {
        if (node->zone_recovery.zones[zone].state == AMB_ZONE_LOST) continue;
        if (!job->spec->spread_zones || job->zone_task_counts[zone] < max_per_zone) return true;
    }
    return false;
}

static enum amb_recovery_wait find_wait_reason(const struct amb_node *node,
                                               const struct missing_replicas *missing) {
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

static void update_steps(struct amb_node *node, amb_ms now) {
    struct amb_recovery_order *order = &node->zone_recovery.order;
    struct missing_replicas missing[AMB_RECOVERY_STEPS] = {{0}};
    count_unreachable(node, now, missing);
    count_waiting(node, missing);
    for (uint32_t i = 0; i < order->count; i++)
        if (amb_recovery_order_update(order, i, missing[i].replicas, find_wait_reason(node, &missing[i])))
            log_step(&order->steps[i], now);
}

static void end_order(struct amb_node *node) {
    amb_info("recovery: all %u classes are served", node->zone_recovery.order.count);
    node->zone_recovery.order.count = 0;
    amb_zone_record_mark_dirty(node);
}

void amb_zone_recovery_order_tick(struct amb_node *node, amb_ms now) {
    struct amb_zone_recovery *recovery = &node->zone_recovery;
    amb_ms interval = amb_seconds_to_ms(node->controller.tick_interval_s / CHECKS_PER_TICK);
    if (!recovery->order.count || now - recovery->order_checked_at < interval) return;
    recovery->order_checked_at = now;
    update_steps(node, now);
    if (!amb_recovery_order_is_open(&recovery->order) && !amb_zones_unavailable(node)) end_order(node);
}

/* ---- scheduling order ---- */

/* A job that lost no replica is scheduled before the steps of lower priority, as it would be without a
 * recovery order. */
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
