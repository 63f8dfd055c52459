/* Recovery from the loss of a zone: which replicas were lost, when each class serves again, and whether tasks
 * start in the promised order. Task states come from the leader's own tables, since it can only act on what
 * it knows; free capacity, zones and cuts come from the simulation. */
#include "world.h"

#include "amberpin/placement/bin_packing.h"

#include <string.h>

enum {
    START_COMMAND_SLACK_MS = 3000, /* from a placement to the arrival of its start command */
    MIN_DETECTED_CUT_MS = 25000,   /* a cut of this length is detected, also by a new leader */
};

const char *const sim_class_names[SIM_CLASSES] = {"assistant", "drafts", "sweep"};

static enum sim_class class_of(const struct sim_job *job) {
    for (int i = 0; i < SIM_CLASSES; i++)
        if (!strcmp(job->spec.class_name, sim_class_names[i])) return (enum sim_class)i;
    return SIM_CLASSES;
}

static struct sim_recovery *recovery(void) {
    return &world.recovery;
}

/* True for services of zonal scenarios. */
static bool is_tracked(const struct sim_job *job) {
    return job->spec.kind == AMB_JOB_KIND_SERVICE && class_of(job) != SIM_CLASSES;
}

/* ---- losses ---- */

static bool is_serving(const struct sim_machine *machine, const struct sim_task *task) {
    return machine->exists && !machine->dead && task->state == AMB_AGENT_TASK_RUNNING &&
           !sim_fault_active(SIM_CUT_ZONE, machine->zone);
}

static uint64_t bit_of(const struct sim_task *task) {
    return (uint64_t)1 << task->index;
}

void sim_record_zone_loss(int zone) {
    for (int i = 0; i < world.machine_count; i++) {
        const struct sim_machine *machine = &world.machines[i];
        if (!machine->exists || machine->dead || machine->zone != zone) continue;
        for (uint32_t k = 0; k < machine->task_count; k++) {
            const struct sim_task *task = &machine->tasks[k];
            if (task->state != AMB_AGENT_TASK_RUNNING || !is_tracked(task->job)) continue;
            uint64_t *lost = &recovery()->lost_tasks[task->job - world.jobs];
            if (!(*lost & bit_of(task))) world.result.lost_replicas[class_of(task->job)]++;
            *lost |= bit_of(task);
        }
    }
    recovery()->lost_at = world.now;
    memset(world.result.recovery_ms, 0, sizeof world.result.recovery_ms);
}

/* ---- serving replicas, once a second ---- */

struct replica_counts {
    uint32_t wanted, serving, missing[SIM_CLASSES];
};

static void find_serving_tasks(uint64_t serving[SIM_JOBS]) {
    memset(serving, 0, SIM_JOBS * sizeof *serving);
    for (int i = 0; i < world.machine_count; i++) {
        const struct sim_machine *machine = &world.machines[i];
        for (uint32_t k = 0; k < machine->task_count; k++)
            if (is_serving(machine, &machine->tasks[k]))
                serving[machine->tasks[k].job - world.jobs] |= bit_of(&machine->tasks[k]);
    }
}

static void count_job(int index, uint64_t serving, struct replica_counts *replica_counts) {
    const struct sim_job *job = &world.jobs[index];
    if (!is_tracked(job) || !job->accepted || sim_cancel_requested(job)) return;
    recovery()->ever_served[index] |= serving;
    replica_counts->wanted += (uint32_t)__builtin_popcountll(recovery()->ever_served[index]);
    replica_counts->serving += (uint32_t)__builtin_popcountll(serving);
    replica_counts->missing[class_of(job)] +=
        (uint32_t)__builtin_popcountll(recovery()->lost_tasks[index] & ~serving);
}

static void record_served_share(const struct replica_counts *replica_counts) {
    struct sim_recovery *recent = recovery();
    double share = replica_counts->wanted ? (double)replica_counts->serving / replica_counts->wanted : 1;
    double *slot = &recent->window_shares[recent->seconds++ % SIM_WINDOW_S];
    recent->window_sum += share - *slot;
    *slot = share;
    double mean = recent->window_sum / SIM_WINDOW_S;
    if (recent->lost_at && recent->seconds > SIM_WINDOW_S && mean < world.result.worst_served_share)
        world.result.worst_served_share = mean;
}

void sim_sample_recovery(void) {
    static uint64_t serving[SIM_JOBS];
    struct replica_counts replica_counts = {0};
    if (!(world.load & SIM_LOAD_ZONAL)) return;
    for (int i = 0; i < world.machine_count; i++) world.result.machine_seconds += world.machines[i].exists;
    find_serving_tasks(serving);
    for (int i = 0; i < world.job_count; i++) count_job(i, serving[i], &replica_counts);
    record_served_share(&replica_counts);
    for (int i = 0; recovery()->lost_at && i < SIM_CLASSES; i++) {
        amb_ms *served = &world.result.recovery_ms[i];
        if (!replica_counts.missing[i] && !*served) *served = world.now - recovery()->lost_at;
    }
}

void sim_check_recovery_complete(void) {
    for (int i = 0; recovery()->lost_at && i < SIM_CLASSES; i++)
        if (world.result.lost_replicas[i] && !world.result.recovery_ms[i])
            sim_report_violation("not_served: %s", sim_class_names[i]);
}

/* ---- the promised order ---- */

static double free_gpus(const struct sim_machine *machine, const struct sim_task *without) {
    double room = SIM_MACHINE_GPUS;
    for (uint32_t k = 0; k < machine->task_count; k++)
        if (&machine->tasks[k] != without && machine->tasks[k].state != AMB_AGENT_TASK_EXITED)
            room -= machine->tasks[k].job->spec.task_resources.gpus;
    return room;
}

/* True if the leader has known for START_COMMAND_SLACK_MS that this lost replica waits, and the spread rule
 * allows it in the zone. */
static bool is_waiting_for_zone(const struct amb_job *job, uint32_t index, int zone) {
    const struct amb_task *task = &job->tasks[index];
    if (task->state != AMB_TASK_WAITING || world.now - task->state_since < START_COMMAND_SLACK_MS)
        return false;
    return !job->spec->spread_zones ||
           job->zone_task_counts[zone] < amb_placement_max_tasks_per_zone(job->spec->task_count);
}

static bool has_waiting_replica(const struct amb_node *leader, const struct sim_job *lost, int zone) {
    struct amb_job *job = amb_job_find((struct amb_node *)leader, lost->spec.ref);
    if (!job || !job->active || job->state != AMB_JOB_QUEUED || world.now < job->backoff_until) return false;
    for (uint32_t i = 0; i < job->spec->task_count; i++)
        if ((recovery()->lost_tasks[lost - world.jobs] >> i & 1) && is_waiting_for_zone(job, i, zone))
            return true;
    return false;
}

/* No task may take capacity that a lost replica of an earlier class waits for and could use. */
static void check_class_order(const struct sim_machine *machine, const struct sim_task *task) {
    const struct amb_node *leader = sim_restored_leader_since(2 * START_COMMAND_SLACK_MS);
    double room = free_gpus(machine, task);
    for (int i = 0; leader && !machine->spot && i < world.job_count; i++) {
        const struct sim_job *lost = &world.jobs[i];
        if (!recovery()->lost_tasks[i] || class_of(lost) >= class_of(task->job)) continue;
        if (lost->spec.task_resources.gpus <= room && has_waiting_replica(leader, lost, machine->zone))
            sim_report_violation("order: %s of %s starts on %s before %s of %s", task->ref,
                                 task->job->spec.class_name, machine->name, lost->spec.ref,
                                 lost->spec.class_name);
    }
}

/* No batch task may start in a zone that is back but not yet stable. */
static void check_zone_stable(const struct sim_machine *machine, const struct sim_task *task) {
    if (task->job->spec.kind == AMB_JOB_KIND_SERVICE) return;
    amb_ms stability_delay = world.size->agent_lease_ms / SIM_STABLE_ZONE_LEASE_DIVISOR;
    for (size_t i = 0; i < world.fault_count; i++) {
        const struct sim_fault *cut = &world.faults[i];
        if (cut->kind != SIM_CUT_ZONE || cut->which != machine->zone || cut->lasts < MIN_DETECTED_CUT_MS)
            continue;
        amb_ms since = world.now - (cut->at + cut->lasts);
        if (since >= 0 && since < stability_delay)
            sim_report_violation("unsteady: %s starts on %s %lld ms after the cut", task->ref, machine->name,
                                 (long long)since);
    }
}

/* True if the placement was restored from an earlier leader's record, so that this leader did not choose it.
 */
static bool is_of_earlier_leader(const struct sim_task *task) {
    const struct amb_node *leader = sim_restored_leader_since(0);
    const struct amb_job *job = leader ? amb_job_find((struct amb_node *)leader, task->ref) : NULL;
    return !job || !job->active || job->tasks[task->index].inherited;
}

void sim_check_recovery_order(const struct sim_machine *machine, const struct sim_task *task) {
    if (!(world.load & SIM_LOAD_ZONE_RECOVERY) || !recovery()->lost_at || class_of(task->job) == SIM_CLASSES)
        return;
    if (is_of_earlier_leader(task)) return;
    check_class_order(machine, task);
    check_zone_stable(machine, task);
}
