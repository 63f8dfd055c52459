/* Job queues: the jobs that may start now, most urgent first, in a queue for each team. */
#include "cycle_internal.h"

#include "amberpin/agent/task_failures.h"

#include <stdlib.h>
#include <string.h>

static bool has_lost_replicas(const struct amb_job *job) {
    return job->spec->kind == AMB_JOB_KIND_SERVICE && job->done_count + job->bound_count > 0;
}

/* Comparison function for qsort on pointers to jobs. Comparing refs last makes the order total. */
static int compare_by_urgency(const void *left, const void *right) {
    const struct amb_job *left_job = *(struct amb_job *const *)left;
    const struct amb_job *right_job = *(struct amb_job *const *)right;
    if (left_job->recovery_step != right_job->recovery_step)
        return left_job->recovery_step < right_job->recovery_step ? -1 : 1;
    enum amb_priority left_priority = amb_job_get_effective_priority(left_job);
    enum amb_priority right_priority = amb_job_get_effective_priority(right_job);
    if (left_priority != right_priority) return left_priority > right_priority ? -1 : 1;
    if (has_lost_replicas(left_job) != has_lost_replicas(right_job))
        return has_lost_replicas(left_job) ? -1 : 1;
    int64_t left_order_wall_ms = amb_job_order_wall_ms(left_job);
    int64_t right_order_wall_ms = amb_job_order_wall_ms(right_job);
    if (left_order_wall_ms != right_order_wall_ms) return left_order_wall_ms < right_order_wall_ms ? -1 : 1;
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

static void enqueue(struct amb_cycle *cycle, struct amb_job *job) {
    struct amb_team_queue *team_queue = &cycle->team_queues[job->team - cycle->node->settings.teams];
    if (!team_queue->jobs) team_queue->jobs = amb_alloc(cycle->job_count * sizeof *team_queue->jobs);
    team_queue->jobs[team_queue->count++] = job;
}

void amb_cycle_collect_jobs(struct amb_cycle *cycle) {
    uint32_t count = 0;
    for (struct amb_job *job = cycle->node->jobs.active; job; job = job->next_active)
        count += amb_cycle_is_schedulable(cycle, job);
    cycle->jobs = amb_alloc((count + 1) * sizeof *cycle->jobs);
    for (struct amb_job *job = cycle->node->jobs.active; job; job = job->next_active) {
        if (!amb_cycle_is_schedulable(cycle, job)) continue;
        job->recovery_step = amb_zone_recovery_step_of(cycle->node, job);
        cycle->jobs[cycle->job_count++] = job;
    }
    qsort(cycle->jobs, cycle->job_count, sizeof *cycle->jobs, compare_by_urgency);
    for (uint32_t i = 0; i < cycle->job_count; i++) enqueue(cycle, cycle->jobs[i]);
}
