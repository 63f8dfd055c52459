/* The DAG of job dependencies, by job name. Jobs may be added in any order: a dependency need not be known
 * when its dependent is added. The graph holds only jobs with an edge, that is, jobs that wait for others or
 * that others wait for; it asks its owner for the outcome of any other job. The module does no I/O and reads
 * no clock. Each operation takes time linear in the edges that it touches, and none recurses. */
#ifndef AMBERPIN_DEPENDENCY_GRAPH_H
#define AMBERPIN_DEPENDENCY_GRAPH_H

#include "amberpin/model/job_spec.h"

enum amb_job_outcome { AMB_JOB_OUTCOME_OPEN, AMB_JOB_OUTCOME_DONE, AMB_JOB_OUTCOME_CANCELLED };

/* The properties of a dependent job that its dependencies inherit. */
struct amb_dependent {
    struct amb_effective_priority own_priority;
    int64_t work_ms; /* estimated run time, from the end of its last dependency to its own end */
};

/* Callbacks from the graph to its owner. No callback may change the graph. Names are borrowed. */
struct amb_dependency_events {
    /* Returns the outcome of a job that the graph does not hold, or that is about to be added. The outcome of
     * an unknown job is OPEN. */
    enum amb_job_outcome (*get_outcome)(void *owner, const char *name);
    /* Called when the last dependency of the job is done. */
    void (*on_ready)(void *owner, const char *name);
    /* Called when the job is cancelled because the job named `cause` is. */
    void (*on_cancelled)(void *owner, const char *name, const char *cause);
    /* Called with the highest priority of all jobs that depend on this one, and their earliest due time less
     * the work that is still to come; with AMB_PRIORITY_BEST_EFFORT and AMB_NO_DUE_TIME once no job depends
     * on it. */
    void (*on_priority_inherited)(void *owner, const char *name,
                                  const struct amb_effective_priority *inherited);
};

struct amb_graph_job;

struct amb_dependency_graph {
    const struct amb_dependency_events *events; /* borrowed */
    void *owner;                                /* passed to the callbacks */
    struct amb_graph_job *by_name;
    struct amb_graph_job *removed; /* freed at the end of the operation */
    bool priorities_current;       /* the graph has not changed since priorities were propagated */
};

void amb_dependency_graph_init(struct amb_dependency_graph *graph, const struct amb_dependency_events *events,
                               void *owner);
/* Frees all jobs of the graph. The graph may be used again. */
void amb_dependency_graph_clear(struct amb_dependency_graph *graph);

/* Adds a job with its dependencies. A dependency that is listed twice counts once, and one that is done does
 * not count. If a dependency is cancelled, this job and then all jobs that depend on it are cancelled. Adding
 * a job that still waits once more has no effect. */
void amb_dependency_graph_add(struct amb_dependency_graph *graph, const char *name,
                              const struct amb_dependent *dependent,
                              const char (*dependencies)[AMB_NAME_SIZE], uint32_t count);
/* Whether no job depends on another. */
bool amb_dependency_graph_is_empty(const struct amb_dependency_graph *graph);
/* Whether the job has a dependency that is not done. */
bool amb_dependency_graph_is_blocked(const struct amb_dependency_graph *graph, const char *name);
/* Marks the job as done, and calls on_ready for each job whose last dependency it was. */
void amb_dependency_graph_set_done(struct amb_dependency_graph *graph, const char *name);
/* Marks the job as cancelled, and calls on_cancelled for each job that depends on it, also indirectly. */
void amb_dependency_graph_set_cancelled(struct amb_dependency_graph *graph, const char *name);
/* Calls on_priority_inherited for each job with dependents, if the graph has changed since the last call. */
void amb_dependency_graph_propagate_priorities(struct amb_dependency_graph *graph);

#endif
