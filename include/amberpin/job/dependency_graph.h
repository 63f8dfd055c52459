/* The DAG of job dependencies, by name. Jobs may be added in any order: a dependency need not have been heard
 * of yet. The graph holds only jobs with an edge, that is those that wait for others or that others wait for;
 * the outcome of all other jobs is asked of the owner. Pure: no input or output, no clock. Each operation
 * takes time linear in the edges that it touches, and none recurses. */
#ifndef AMBERPIN_DEPENDENCY_GRAPH_H
#define AMBERPIN_DEPENDENCY_GRAPH_H

#include "amberpin/model/job_spec.h"

enum amb_job_outcome { AMB_JOB_OUTCOME_OPEN, AMB_JOB_OUTCOME_DONE, AMB_JOB_OUTCOME_CANCELLED };

/* What a job asks of those that it depends on. */
struct amb_dependent {
    struct amb_effective_priority own_priority;
    int64_t work_ms; /* estimated, from the end of its last dependency to its own */
};

/* What the graph asks and tells its owner. No handler may change the graph. Names are borrowed. */
struct amb_dependency_events {
    /* Of a job that the graph does not hold, or that is about to be added. OPEN also if it is unknown. */
    enum amb_job_outcome (*get_outcome)(void *owner, const char *name);
    /* The last dependency of this job is done. */
    void (*on_ready)(void *owner, const char *name);
    /* This job is cancelled because `cause` is; both are names. */
    void (*on_cancelled)(void *owner, const char *name, const char *cause);
    /* The highest priority, and the earliest due time less the work still to come, of all jobs that depend
     * on this one; AMB_PRIORITY_BEST_EFFORT and AMB_NO_DUE_TIME once none does. */
    void (*on_priority_inherited)(void *owner, const char *name,
                                  const struct amb_effective_priority *inherited);
};

struct amb_graph_job;

struct amb_dependency_graph {
    const struct amb_dependency_events *events; /* borrowed */
    void *owner;                                /* passed to them */
    struct amb_graph_job *by_name;
    struct amb_graph_job *removed; /* to be freed at the end of the operation */
    bool priorities_current;       /* nothing has changed since they were propagated */
};

void amb_dependency_graph_init(struct amb_dependency_graph *graph, const struct amb_dependency_events *events,
                               void *owner);
/* Frees all jobs of the graph, which may be used again. */
void amb_dependency_graph_clear(struct amb_dependency_graph *graph);

/* Adds a job with its dependencies; names that come twice count once, and those that are done do not count.
 * If one is cancelled, so are this job and all that depend on it, this job first. Adding a job again that
 * still waits changes nothing. */
void amb_dependency_graph_add(struct amb_dependency_graph *graph, const char *name,
                              const struct amb_dependent *dependent,
                              const char (*dependencies)[AMB_NAME_SIZE], uint32_t count);
/* Whether no job waits for another. */
bool amb_dependency_graph_is_empty(const struct amb_dependency_graph *graph);
/* Whether a dependency of the job is not done. */
bool amb_dependency_graph_is_blocked(const struct amb_dependency_graph *graph, const char *name);
/* The job is done. Calls on_ready for those that are ready. */
void amb_dependency_graph_set_done(struct amb_dependency_graph *graph, const char *name);
/* The job is cancelled. Calls on_cancelled for those that are cancelled with it. */
void amb_dependency_graph_set_cancelled(struct amb_dependency_graph *graph, const char *name);
/* Calls on_priority_inherited for each job with dependents, if anything has changed since the last time. */
void amb_dependency_graph_propagate_priorities(struct amb_dependency_graph *graph);

#endif
