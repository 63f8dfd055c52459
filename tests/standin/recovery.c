/* Zones that are lost and come back: which replicas were lost, when each class serves again, and whether what
 * starts meanwhile keeps to the promised order. What the leader may know of a task's absence is taken from
 * its books; room, zones and cuts from the world. */
#include "world.h"

#include "amberpin/placement/bin_packing.h"

#include <string.h>

enum {
    ORDER_SLACK_MS = 3000,  /* from a placement to the order that reaches the machine */
    SURELY_LOST_MS = 25000, /* a cut so long is noticed, also by a new leader */
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

/* Replicas of zonal days. */
static bool is_watched(const struct sim_job *job) {
    return job->spec.kind == AMB_JOB_KIND_SERVICE && class_of(job) != SIM_CLASSES;
}

/* ---- losses ---- */

static bool is_serving(const struct sim_machine *machine, const struct sim_task *task) {
    return machine->exists && !machine->dead && task->on == AMB_AGENT_TASK_RUNNING &&
           !sim_fault_active(SIM_CUT_ZONE, machine->zone);
}

static uint64_t bit_of(const struct sim_task *task) {
    return (uint64_t)1 << task->index;
}

void sim_zone_lost(int zone) {
    for (int i = 0; i < world.machine_count; i++) {
        const struct sim_machine *machine = &world.machines[i];
        if (!machine->exists || machine->dead || machine->zone != zone) continue;
        for (uint32_t k = 0; k < machine->task_count; k++) {
            const struct sim_task *task = &machine->tasks[k];
            if (task->on != AMB_AGENT_TASK_RUNNING || !is_watched(task->job)) continue;
            uint64_t *lost = &recovery()->lost[task->job - world.jobs];
            if (!(*lost & bit_of(task))) world.result.lost_replicas[class_of(task->job)]++;
            *lost |= bit_of(task);
        }
    }
    recovery()->lost_at = world.now;
    memset(world.result.recovery_ms, 0, sizeof world.result.recovery_ms);
}

/* ---- what serves, each second ---- */

struct tally {
    uint32_t wanted, serving, missing[SIM_CLASSES];
};

static void take_tasks(uint64_t serving[SIM_JOBS]) {
    memset(serving, 0, SIM_JOBS * sizeof *serving);
    for (int i = 0; i < world.machine_count; i++) {
        const struct sim_machine *machine = &world.machines[i];
        for (uint32_t k = 0; k < machine->task_count; k++)
            if (is_serving(machine, &machine->tasks[k]))
                serving[machine->tasks[k].job - world.jobs] |= bit_of(&machine->tasks[k]);
    }
}

static void count_job(int index, uint64_t serving, struct tally *tally) {
    const struct sim_job *job = &world.jobs[index];
    if (!is_watched(job) || !job->accepted || sim_cancel_wanted(job)) return;
    recovery()->served_once[index] |= serving;
    tally->wanted += (uint32_t)__builtin_popcountll(recovery()->served_once[index]);
    tally->serving += (uint32_t)__builtin_popcountll(serving);
    tally->missing[class_of(job)] += (uint32_t)__builtin_popcountll(recovery()->lost[index] & ~serving);
}

static void note_window(const struct tally *tally) {
    struct sim_recovery *recent = recovery();
    double share = tally->wanted ? (double)tally->serving / tally->wanted : 1;
    double *place = &recent->window[recent->seconds++ % SIM_WINDOW_S];
    recent->window_sum += share - *place;
    *place = share;
    double mean = recent->window_sum / SIM_WINDOW_S;
    if (recent->lost_at && recent->seconds > SIM_WINDOW_S && mean < world.result.worst_served_share)
        world.result.worst_served_share = mean;
}

void sim_recovery_second(void) {
    static uint64_t serving[SIM_JOBS];
    struct tally tally = {0};
    if (!(world.load & SIM_LOAD_ZONAL)) return;
    for (int i = 0; i < world.machine_count; i++) world.result.machine_seconds += world.machines[i].exists;
    take_tasks(serving);
    for (int i = 0; i < world.job_count; i++) count_job(i, serving[i], &tally);
    note_window(&tally);
    for (int i = 0; recovery()->lost_at && i < SIM_CLASSES; i++) {
        amb_ms *served = &world.result.recovery_ms[i];
        if (!tally.missing[i] && !*served) *served = world.now - recovery()->lost_at;
    }
}

void sim_recovery_end(void) {
    for (int i = 0; recovery()->lost_at && i < SIM_CLASSES; i++)
        if (world.result.lost_replicas[i] && !world.result.recovery_ms[i])
            sim_report_violation("not_served: %s", sim_class_names[i]);
}

/* ---- the promised order ---- */

static double free_gpus(const struct sim_machine *machine, const struct sim_task *without) {
    double room = SIM_MACHINE_GPUS;
    for (uint32_t k = 0; k < machine->task_count; k++)
        if (&machine->tasks[k] != without && machine->tasks[k].on != AMB_AGENT_TASK_EXITED)
            room -= machine->tasks[k].job->spec.task_resources.gpus;
    return room;
}

/* Does the leader know for long enough that this replica, which was lost, waits, and may it be in the zone?
 */
static bool waits_for_zone(const struct amb_job *job, uint32_t index, int zone) {
    const struct amb_task *task = &job->tasks[index];
    if (task->state != AMB_TASK_WAITING || world.now - task->state_since < ORDER_SLACK_MS) return false;
    return !job->spec->spread_zones ||
           job->zone_task_counts[zone] < amb_placement_max_tasks_per_zone(job->spec->task_count);
}

static bool any_waits(const struct amb_node *leader, const struct sim_job *lost, int zone) {
    struct amb_job *job = amb_job_find((struct amb_node *)leader, lost->spec.ref);
    if (!job || !job->active || job->state != AMB_JOB_QUEUED || world.now < job->backoff_until) return false;
    for (uint32_t i = 0; i < job->spec->task_count; i++)
        if ((recovery()->lost[lost - world.jobs] >> i & 1) && waits_for_zone(job, i, zone)) return true;
    return false;
}

/* Nothing takes room that a lost replica of a class before it waits for and could use. */
static void check_precedence(const struct sim_machine *machine, const struct sim_task *task) {
    const struct amb_node *leader = sim_restored_leader_since(2 * ORDER_SLACK_MS);
    double room = free_gpus(machine, task);
    for (int i = 0; leader && !machine->spot && i < world.job_count; i++) {
        const struct sim_job *lost = &world.jobs[i];
        if (!recovery()->lost[i] || class_of(lost) >= class_of(task->job)) continue;
        if (lost->spec.task_resources.gpus <= room && any_waits(leader, lost, machine->zone))
            sim_report_violation("order: %s of %s starts on %s before %s of %s", task->ref,
                                 task->job->spec.class_name, machine->name, lost->spec.ref,
                                 lost->spec.class_name);
    }
}

/* No batch work in a zone that has only just come back. */
static void check_steady(const struct sim_machine *machine, const struct sim_task *task) {
    if (task->job->spec.kind == AMB_JOB_KIND_SERVICE) return;
    amb_ms steady = world.size->agent_lease_ms / SIM_LEASES_PER_STEADY;
    for (size_t i = 0; i < world.fault_count; i++) {
        const struct sim_fault *cut = &world.faults[i];
        if (cut->kind != SIM_CUT_ZONE || cut->which != machine->zone || cut->lasts < SURELY_LOST_MS) continue;
        amb_ms since = world.now - (cut->at + cut->lasts);
        if (since >= 0 && since < steady)
            sim_report_violation("unsteady: %s starts on %s %lld ms after the cut", task->ref, machine->name,
                                 (long long)since);
    }
}

/* Ordered again from a record of an earlier leader: no start of this one's choice. */
static bool is_of_earlier_leader(const struct sim_task *task) {
    const struct amb_node *leader = sim_restored_leader_since(0);
    const struct amb_job *job = leader ? amb_job_find((struct amb_node *)leader, task->ref) : NULL;
    return !job || !job->active || job->tasks[task->index].inherited;
}

void sim_check_recovery(const struct sim_machine *machine, const struct sim_task *task) {
    if (!(world.load & SIM_LOAD_ZONE_RECOVERY) || !recovery()->lost_at || class_of(task->job) == SIM_CLASSES)
        return;
    if (is_of_earlier_leader(task)) return;
    check_precedence(machine, task);
    check_steady(machine, task);
}
