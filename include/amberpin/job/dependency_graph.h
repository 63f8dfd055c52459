/* The graph of which job awaits which, by name. Jobs may be added in any order: a name that is awaited need
 * not have been heard of yet. The graph holds only jobs with an edge, that is those that wait for others or
 * that others wait for; the outcome of all other jobs is asked of the owner. Pure: no input or output, no
 * clock. Each operation takes time linear in the edges that it touches and none recurses. */
#ifndef AMBERPIN_DEPENDENCIES_H
#define AMBERPIN_DEPENDENCIES_H

#include "amberpin/model/model.h"

enum amb_job_outcome { AMB_JOB_OUTCOME_OPEN, AMB_JOB_OUTCOME_DONE, AMB_JOB_OUTCOME_CANCELLED };

/* What a job that awaits others demands of them. */
struct amb_dependent {
    struct amb_effective_priority own_priority; /* its own */
    int64_t work_ms; /* reckoned time from the end of the last awaited job to its own end */
};

/* What the graph asks and tells its owner. No handler may change the graph. */
struct amb_dependency_events {
    /* Of a job that the graph does not hold, or that is about to be added. OPEN also if it is unknown. */
    enum amb_job_outcome (*get_outcome)(void *owner, const char *name);
    /* The last job that this one awaited is done. */
    void (*on_ready)(void *owner, const char *name);
    /* This job is cancelled because `cause` is; both are names. */
    void (*on_cancelled)(void *owner, const char *name, const char *cause);
    /* The highest priority, and the earliest due time less the work still to come, of all jobs that need this
     * one; AMB_PRIORITY_BEST_EFFORT and AMB_NO_DUE once none does. */
    void (*on_priority_inherited)(void *owner, const char *name, const struct amb_effective_priority *need);
};

struct amb_graph_job; /* a job */

struct amb_dependency_graph {
    const struct amb_dependency_events *events;
    void *owner;
    struct amb_graph_job *by_name;
    struct amb_graph_job *removed; /* to be freed at the end of the operation */
    bool priorities_current;       /* needs are up to date */
};

void amb_dependency_graph_init(struct amb_dependency_graph *graph, const struct amb_dependency_events *events,
                               void *owner);
void amb_dependency_graph_clear(struct amb_dependency_graph *graph);

/* A job that awaits these others; names that come twice count once. Jobs before it that are done are left
 * out. If one is cancelled, so are this job and all that need it, this job first. Adding a job again that
 * still waits changes nothing. */
void amb_dependency_graph_add(struct amb_dependency_graph *graph, const char *name,
                              const struct amb_dependent *dependent,
                              const char (*dependencies)[AMB_NAME_SIZE], uint32_t count);
/* No job waits for another. */
bool amb_dependency_graph_is_empty(const struct amb_dependency_graph *graph);
/* Does the job wait for another that is not done? */
bool amb_dependency_graph_is_blocked(const struct amb_dependency_graph *graph, const char *name);
/* The job is done. Tells which are ready. */
void amb_dependency_graph_set_done(struct amb_dependency_graph *graph, const char *name);
/* The job is cancelled. Tells which others are with it. */
void amb_dependency_graph_set_cancelled(struct amb_dependency_graph *graph, const char *name);
/* Tells what is needed of each job that others await, if anything has changed since the last time. */
void amb_dependency_graph_propagate_priorities(struct amb_dependency_graph *graph);

#endif
