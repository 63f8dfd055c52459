#include "amberpin/job/pipelines.h"

#include "amberpin/base/log.h"
#include "amberpin/node/node.h"

/* Users' estimates of run times are often wrong by half. */
static const double ESTIMATE_ERROR_FACTOR = 1.5;

static const struct amb_effective_priority NO_INHERITED_PRIORITY = {AMB_PRIORITY_BEST_EFFORT,
                                                                    AMB_NO_DUE_TIME};

double amb_job_spec_work_s(const struct amb_job_spec *spec) {
    return spec->estimated_runtime_s * ESTIMATE_ERROR_FACTOR;
}

/* ---- callbacks of the dependency graph ---- */

static struct amb_job *find_job(struct amb_node *node, uint32_t id) {
    return amb_job_find(node, amb_job_names_text(&node->jobs.names, id));
}

static enum amb_job_outcome get_outcome(void *owner, uint32_t id) {
    const struct amb_job *job = find_job(owner, id);
    if (!job || job->state == AMB_JOB_QUEUED) return AMB_JOB_OUTCOME_OPEN;
    return job->state == AMB_JOB_DONE ? AMB_JOB_OUTCOME_DONE : AMB_JOB_OUTCOME_CANCELLED;
}

static void on_ready(void *owner, uint32_t id) {
    struct amb_node *node = owner;
    struct amb_job *job = find_job(node, id);
    job->dependencies_pending = false;
    /* During the first listing of the store it is unknown when the last dependency was done. */
    if (node->watch.loaded) job->ready_wall_ms = amb_wall_ms();
    amb_info("job %s: all dependencies are done", job->ref);
    amb_job_handle_ready(node, job);
}

static void on_cancelled(void *owner, uint32_t id, uint32_t cause) {
    struct amb_node *node = owner;
    amb_job_cancel_with_dependency(node, find_job(node, id), find_job(node, cause));
}

static void on_priority_inherited(void *owner, uint32_t id, const struct amb_effective_priority *priority) {
    struct amb_job *job = find_job(owner, id);
    if (!job) return; /* a dependency that is not known yet */
    job->inherited_priority = *priority;
    job->inherits_priority = priority->priority != NO_INHERITED_PRIORITY.priority ||
                             priority->due_wall_ms != NO_INHERITED_PRIORITY.due_wall_ms;
}

static const struct amb_dependency_events events = {get_outcome, on_ready, on_cancelled,
                                                    on_priority_inherited};

static struct amb_dependency_graph *get_graph(struct amb_node *node) {
    struct amb_dependency_graph *graph = &node->pipelines.graph;
    if (!graph->events) amb_dependency_graph_init(graph, &events, node);
    return graph;
}

/* ---- state changes of jobs ---- */

static struct amb_dependent make_dependent(const struct amb_job *job) {
    const struct amb_job_spec *spec = job->spec;
    int64_t due_wall_ms =
        spec->deadline_s > 0 ? job->accepted_wall_ms + amb_seconds_to_ms(spec->deadline_s) : AMB_NO_DUE_TIME;
    return (struct amb_dependent){{spec->priority, due_wall_ms},
                                  amb_seconds_to_ms(amb_job_spec_work_s(spec))};
}

void amb_pipeline_add_job(struct amb_node *node, struct amb_job *job) {
    const struct amb_dependent dependent = make_dependent(job);
    job->dependencies_pending = true;
    amb_dependency_graph_add(get_graph(node), &dependent, job->dependencies);
    if (job->state == AMB_JOB_QUEUED)
        job->dependencies_pending = amb_dependency_graph_is_blocked(get_graph(node), job->dependencies->job);
}

void amb_pipeline_remove_final(struct amb_node *node, const struct amb_job *job) {
    uint32_t id = amb_job_names_find(&node->jobs.names, job->ref);
    if (job->state == AMB_JOB_DONE)
        amb_dependency_graph_set_done(get_graph(node), id);
    else
        amb_dependency_graph_set_cancelled(get_graph(node), id);
}

/* Returns the latest wall time in ms at which the job's tasks may start to end by its due time. */
static int64_t latest_start_wall_ms(const struct amb_job *job) {
    int64_t due = amb_job_due_wall_ms(job);
    return due == AMB_NO_DUE_TIME ? AMB_NO_DUE_TIME : due - amb_seconds_to_ms(amb_job_spec_work_s(job->spec));
}

void amb_pipelines_update_priorities(struct amb_node *node) {
    if (amb_dependency_graph_is_empty(get_graph(node)))
        return; /* no job has dependents, so pipeline_late has no effect */
    amb_dependency_graph_propagate_priorities(get_graph(node));
    int64_t now = amb_wall_ms();
    for (struct amb_job *job = node->jobs.active; job; job = job->next_active) {
        int64_t latest = job->inherits_priority ? latest_start_wall_ms(job) : AMB_NO_DUE_TIME;
        job->pipeline_late = job->inherits_priority && (latest == AMB_NO_DUE_TIME || latest <= now);
    }
}

void amb_pipelines_clear(struct amb_node *node) {
    amb_dependency_graph_clear(get_graph(node));
    amb_job_names_clear(&node->jobs.names);
}

/* ---- scheduling order of jobs ---- */

int64_t amb_job_ready_wall_ms(const struct amb_job *job) {
    return job->ready_wall_ms ? job->ready_wall_ms : job->accepted_wall_ms;
}

int64_t amb_job_due_wall_ms(const struct amb_job *job) {
    int64_t own = make_dependent(job).own_priority.due_wall_ms;
    return job->inherits_priority ? amb_earlier(own, job->inherited_priority.due_wall_ms) : own;
}

int64_t amb_job_order_wall_ms(const struct amb_job *job) {
    int64_t since = amb_job_ready_wall_ms(job);
    if (!job->inherits_priority && !job->dependencies) return since;
    return amb_earlier(since, latest_start_wall_ms(job));
}
