/* Jobs that depend on others: joins the graph of dependencies to the table of jobs. It keeps each job's
 * `dependencies_pending`, `ready_wall_ms`, `inherited_priority` and `pipeline_late`, and derives the
 * cancellation of jobs from that of their dependencies. */
#ifndef AMBERPIN_PIPELINES_H
#define AMBERPIN_PIPELINES_H

#include "amberpin/job/dependency_graph.h"

#include "amberpin/model/job.h"

struct amb_node;

struct amb_pipelines {
    struct amb_dependency_graph graph;
};

/* A queued job with dependencies is accepted. It may turn out to be cancelled. */
void amb_pipeline_add_job(struct amb_node *node, struct amb_job *job);
/* The job is done, or cancelled by its own record: those that depend on it are ready, or cancelled with it.
 */
void amb_pipeline_remove_final(struct amb_node *node, const struct amb_job *job);
/* Updates `inherited_priority` of all jobs, and `pipeline_late` of the active ones. */
void amb_pipelines_update_priorities(struct amb_node *node);
void amb_pipelines_clear(struct amb_node *node);

/* The job's own priority or, if its pipeline is late or has no due time, that of the most urgent job that
 * depends on it. */
static inline enum amb_priority amb_job_get_effective_priority(const struct amb_job *job) {
    enum amb_priority own = job->spec->priority;
    return job->pipeline_late && job->inherited_priority.priority > own ? job->inherited_priority.priority
                                                                        : own;
}
/* The time of day since which the job could run: its submission, or the end of its last
 * dependency. */
int64_t amb_job_ready_wall_ms(const struct amb_job *job);
/* When it should be complete, for its own sake or for that of jobs that depend on it; AMB_NO_DUE_TIME: no
 * time is set. */
int64_t amb_job_due_wall_ms(const struct amb_job *job);
/* The time of day by which it is ordered among jobs of its priority: since when it could run or, in a
 * pipeline, when it has to start at the latest, if that is earlier. */
int64_t amb_job_order_wall_ms(const struct amb_job *job);
/* How long its tasks may take, with an allowance for estimates that are too short. */
double amb_job_spec_work_s(const struct amb_job_spec *spec);

#endif
