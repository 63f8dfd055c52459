/* The DAG of job dependencies. A job is a small number that its owner chooses (job_names.h). Jobs may be
 * added in any order: a dependency need not be known when its dependent is added. The graph holds only jobs
 * with an edge, that is, jobs that wait for others or that others wait for; it asks its owner for the outcome
 * of any other job. The module does no I/O and reads no clock. No operation recurses. Each takes time linear
 * in the edges that it touches, but for a cancellation, which looks for each edge in the sorted list of the
 * dependency's dependents. */
#ifndef AMBERPIN_DEPENDENCY_GRAPH_H
#define AMBERPIN_DEPENDENCY_GRAPH_H

#include "amberpin/model/job_spec.h"

enum amb_job_outcome { AMB_JOB_OUTCOME_OPEN, AMB_JOB_OUTCOME_DONE, AMB_JOB_OUTCOME_CANCELLED };

/* The properties of a dependent job that its dependencies inherit. */
struct amb_dependent {
    struct amb_effective_priority own_priority;
    int64_t work_ms; /* estimated run time, from the end of its last dependency to its own end */
};

/* Callbacks from the graph to its owner. No callback may change the graph. */
struct amb_dependency_events {
    /* Returns the outcome of a job that the graph does not hold, or that is about to be added. The outcome of
     * an unknown job is OPEN. */
    enum amb_job_outcome (*get_outcome)(void *owner, uint32_t job);
    /* Called when the last dependency of the job is done. */
    void (*on_ready)(void *owner, uint32_t job);
    /* Called when the job is cancelled because the job `cause` is. */
    void (*on_cancelled)(void *owner, uint32_t job, uint32_t cause);
    /* Called with the highest priority of all jobs that depend on this one, and their earliest due time less
     * the work that is still to come; with AMB_PRIORITY_BEST_EFFORT and AMB_NO_DUE_TIME once no job depends
     * on it. */
    void (*on_priority_inherited)(void *owner, uint32_t job, const struct amb_effective_priority *inherited);
};

/* Private. */
struct amb_graph_job {
    uint32_t id;
    const struct amb_job_dependencies *dependencies; /* borrowed; NULL: it is only a dependency */
    uint32_t pending_dependencies;                   /* number of these that are not done */
    uint32_t *dependents;                            /* owned; the jobs that wait for this one, ascending */
    uint32_t dependent_count, dependent_capacity;
    struct amb_dependent own; /* set if it has dependencies */
    bool cancelled;
    struct amb_graph_job *next_work; /* next job in a work list */
    /* Used while priorities are propagated: */
    uint32_t unprocessed_dependents;
    struct amb_effective_priority inherited;
};

enum {
    AMB_GRAPH_FIRST_DEPENDENTS = 4, /* room for the first dependents of a job */
    AMB_GRAPH_GROWTH_DIVISOR = 2,   /* room that is full grows by this part of it */
};

struct amb_dependency_graph {
    const struct amb_dependency_events *events; /* borrowed */
    void *owner;                                /* passed to the callbacks */
    struct amb_graph_job **by_id;               /* owned; NULL: no such job */
    uint32_t capacity, job_count;
    bool priorities_current; /* the graph has not changed since priorities were propagated */
};

void amb_dependency_graph_init(struct amb_dependency_graph *graph, const struct amb_dependency_events *events,
                               void *owner);
/* Frees all jobs of the graph. The graph may be used again. */
void amb_dependency_graph_clear(struct amb_dependency_graph *graph);

/* Adds a job with its dependencies, which stay borrowed until the job is done or cancelled. A dependency that
 * is listed twice counts once, and one that is done does not count. If a dependency is cancelled, this job
 * and then all jobs that depend on it are cancelled. Adding a job that still waits once more has no effect.
 */
void amb_dependency_graph_add(struct amb_dependency_graph *graph, const struct amb_dependent *dependent,
                              const struct amb_job_dependencies *dependencies);
/* Whether no job depends on another. */
bool amb_dependency_graph_is_empty(const struct amb_dependency_graph *graph);
/* Whether the job has a dependency that is not done. */
bool amb_dependency_graph_is_blocked(const struct amb_dependency_graph *graph, uint32_t job);
/* Marks the job as done, and calls on_ready for each job whose last dependency it was. */
void amb_dependency_graph_set_done(struct amb_dependency_graph *graph, uint32_t job);
/* Marks the job as cancelled, and calls on_cancelled for each job that depends on it, also indirectly. */
void amb_dependency_graph_set_cancelled(struct amb_dependency_graph *graph, uint32_t job);
/* Calls on_priority_inherited for each job with dependents, if the graph has changed since the last call. */
void amb_dependency_graph_propagate_priorities(struct amb_dependency_graph *graph);

#endif
