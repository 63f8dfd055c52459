#include "amberpin/job/pipelines.h"

#include "amberpin/base/log.h"
#include "amberpin/node/node.h"

/* Estimates are often wrong by half. */
static const double ESTIMATE_ERROR = 1.5;

static const struct amb_urgency_need NO_NEED = {AMB_BEST_EFFORT, AMB_NO_DUE};

double amb_spec_work_s(const struct amb_spec *spec) {
    return spec->estimate_s * ESTIMATE_ERROR;
}

/* ---- what the graph asks and tells ---- */

static enum amb_outcome outcome(void *owner, const char *name) {
    const struct amb_job *job = amb_job_find(owner, name);
    if (!job || job->state == AMB_JOB_QUEUED) return AMB_OUTCOME_OPEN;
    return job->state == AMB_JOB_DONE ? AMB_OUTCOME_DONE : AMB_OUTCOME_CANCELLED;
}

static void ready(void *owner, const char *name) {
    struct amb_node *node = owner;
    struct amb_job *job = amb_job_find(node, name);
    job->awaiting = false;
    /* When records are read for the first time it is not known when the last awaited job ended. */
    if (node->jobs.loaded) job->ready_wall = amb_wall_ms();
    amb_info("job %s: all jobs that it awaited are done", name);
    amb_job_can_start(node, job);
}

static void cancelled(void *owner, const char *name, const char *cause) {
    struct amb_node *node = owner;
    amb_job_cancelled_with(node, amb_job_find(node, name), amb_job_find(node, cause));
}

static void needed(void *owner, const char *name, const struct amb_urgency_need *need) {
    struct amb_job *job = amb_job_find(owner, name);
    if (!job) return; /* not heard of yet */
    job->needed = *need;
    job->is_needed = need->priority != NO_NEED.priority || need->due_wall != NO_NEED.due_wall;
}

static const struct amb_dependency_events events = {outcome, ready, cancelled, needed};

static struct amb_dependencies *graph_of(struct amb_node *node) {
    struct amb_dependencies *graph = &node->pipelines.graph;
    if (!graph->events) amb_dependencies_init(graph, &events, node);
    return graph;
}

/* ---- news of jobs ---- */

static struct amb_dependent dependent_of(const struct amb_job *job) {
    const struct amb_spec *spec = job->spec;
    int64_t due = spec->deadline_s > 0 ? job->accepted_wall + amb_secs(spec->deadline_s) : AMB_NO_DUE;
    return (struct amb_dependent){{spec->priority, due}, amb_secs(amb_spec_work_s(spec))};
}

void amb_pipeline_accepted(struct amb_node *node, struct amb_job *job) {
    const struct amb_dependent dependent = dependent_of(job);
    job->awaiting = true;
    amb_dependencies_add(graph_of(node), job->ref, &dependent, (const char(*)[AMB_NAME])job->awaits->names,
                         job->awaits->count);
    if (job->state == AMB_JOB_QUEUED) job->awaiting = amb_dependencies_waits(graph_of(node), job->ref);
}

void amb_pipeline_over(struct amb_node *node, const struct amb_job *job) {
    if (job->state == AMB_JOB_DONE)
        amb_dependencies_done(graph_of(node), job->ref);
    else
        amb_dependencies_cancelled(graph_of(node), job->ref);
}

/* The latest time of day at which its tasks may start for the job to be in time. */
static int64_t latest_start_wall(const struct amb_job *job) {
    int64_t due = amb_job_due_wall(job);
    return due == AMB_NO_DUE ? AMB_NO_DUE : due - amb_secs(amb_spec_work_s(job->spec));
}

void amb_pipelines_reckon(struct amb_node *node) {
    if (amb_dependencies_empty(graph_of(node)))
        return; /* no job is needed: whether one is late tells nothing */
    amb_dependencies_reckon(graph_of(node));
    int64_t now = amb_wall_ms();
    for (struct amb_job *job = node->jobs.live; job; job = job->next_live) {
        int64_t latest = job->is_needed ? latest_start_wall(job) : AMB_NO_DUE;
        job->late = job->is_needed && (latest == AMB_NO_DUE || latest <= now);
    }
}

void amb_pipelines_clear(struct amb_node *node) {
    amb_dependencies_clear(graph_of(node));
}

/* ---- a job's place among others ---- */

int64_t amb_job_ready_wall(const struct amb_job *job) {
    return job->ready_wall ? job->ready_wall : job->accepted_wall;
}

int64_t amb_job_due_wall(const struct amb_job *job) {
    int64_t own = dependent_of(job).need.due_wall;
    return job->is_needed ? amb_earlier(own, job->needed.due_wall) : own;
}

int64_t amb_job_order_wall(const struct amb_job *job) {
    int64_t since = amb_job_ready_wall(job);
    if (!job->is_needed && !job->awaits) return since;
    return amb_earlier(since, latest_start_wall(job));
}
