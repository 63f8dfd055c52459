/* Jobs that depend on others. This module connects the dependency graph to the table of jobs. It maintains
 * `dependencies_pending`, `ready_wall_ms`, `inherited_priority` and `pipeline_late` of each job, and cancels
 * the jobs whose dependencies are cancelled. */
#ifndef AMBERPIN_PIPELINES_H
#define AMBERPIN_PIPELINES_H

#include "amberpin/job/dependency_graph.h"

#include "amberpin/model/job.h"

struct amb_node;

struct amb_pipelines {
    struct amb_dependency_graph graph;
};

/* Adds a queued job that has dependencies. The job is cancelled at once if one of them is cancelled. */
void amb_pipeline_add_job(struct amb_node *node, struct amb_job *job);
/* Handles a job that is done, or cancelled by its own record: the jobs that depend on it may become ready, or
 * are cancelled with it. */
void amb_pipeline_remove_final(struct amb_node *node, const struct amb_job *job);
/* Updates `inherited_priority` of all jobs, and `pipeline_late` of the active ones. */
void amb_pipelines_update_priorities(struct amb_node *node);
void amb_pipelines_clear(struct amb_node *node);

/* Returns the job's own priority or, if its pipeline is late or has no due time, the highest priority of the
 * jobs that depend on it. */
static inline enum amb_priority amb_job_get_effective_priority(const struct amb_job *job) {
    enum amb_priority own = job->spec->priority;
    return job->pipeline_late && job->inherited_priority.priority > own ? job->inherited_priority.priority
                                                                        : own;
}
/* Returns the wall time in ms since which the job could run: its submission, or the end of its last
 * dependency. */
int64_t amb_job_ready_wall_ms(const struct amb_job *job);
/* Returns the wall time in ms by which the job should be complete, because of its own deadline or that of a
 * job that depends on it. AMB_NO_DUE_TIME means that there is none. */
int64_t amb_job_due_wall_ms(const struct amb_job *job);
/* Returns the wall time in ms by which the job is ordered among jobs of its priority: the time since which it
 * could run or, in a pipeline, its latest start if that is earlier. */
int64_t amb_job_order_wall_ms(const struct amb_job *job);
/* Returns how long the job's tasks may take in seconds, with an allowance for estimates that are too low. */
double amb_job_spec_work_s(const struct amb_job_spec *spec);

#endif
