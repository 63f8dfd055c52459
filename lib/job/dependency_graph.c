#include "amberpin/job/dependency_graph.h"

#include "amberpin/base/util.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* An edge is in two lists: the dependencies of its dependent, and the dependents of its dependency. */
struct dependency_edge {
    struct amb_graph_job *dependent, *dependency;
    struct dependency_edge *next_dependency, *prev_dependency; /* list of the same dependent */
    struct dependency_edge *next_dependent, *prev_dependent;   /* list of the same dependency */
};

struct amb_graph_job {
    char name[AMB_NAME_SIZE];
    struct dependency_edge *dependencies, *dependents;
    struct amb_dependent own; /* set if the job has dependencies */
    bool cancelled;
    struct amb_graph_job *next_work; /* next job in a work list, or in the list of removed jobs */
    /* Used while priorities are propagated: */
    uint32_t pending_dependents; /* number of dependents that are not processed yet */
    struct amb_effective_priority inherited;
    UT_hash_handle hh;
};

static const struct amb_effective_priority NO_INHERITED_PRIORITY = {AMB_PRIORITY_BEST_EFFORT,
                                                                    AMB_NO_DUE_TIME};

void amb_dependency_graph_init(struct amb_dependency_graph *graph, const struct amb_dependency_events *events,
                               void *owner) {
    memset(graph, 0, sizeof *graph);
    graph->events = events;
    graph->owner = owner;
}

static struct amb_graph_job *find(const struct amb_dependency_graph *graph, const char *name) {
    struct amb_graph_job *job;
    HASH_FIND_STR(graph->by_name, name, job);
    return job;
}

static struct amb_graph_job *find_or_create(struct amb_dependency_graph *graph, const char *name) {
    struct amb_graph_job *job = find(graph, name);
    if (job) return job;
    job = amb_alloc(sizeof *job);
    snprintf(job->name, sizeof job->name, "%s", name);
    job->inherited = NO_INHERITED_PRIORITY;
    HASH_ADD_STR(graph->by_name, name, job);
    return job;
}

static void remove_job(struct amb_dependency_graph *graph, struct amb_graph_job *job) {
    HASH_DEL(graph->by_name, job);
    job->next_work = graph->removed;
    graph->removed = job;
}

static void free_removed(struct amb_dependency_graph *graph) {
    struct amb_graph_job *next;
    for (struct amb_graph_job *job = graph->removed; job; job = next) {
        next = job->next_work;
        free(job);
    }
    graph->removed = NULL;
}

static void link_jobs(struct amb_graph_job *dependent, struct amb_graph_job *dependency) {
    struct dependency_edge *edge = amb_alloc(sizeof *edge);
    edge->dependent = dependent;
    edge->dependency = dependency;
    edge->next_dependency = dependent->dependencies;
    if (dependent->dependencies) dependent->dependencies->prev_dependency = edge;
    dependent->dependencies = edge;
    edge->next_dependent = dependency->dependents;
    if (dependency->dependents) dependency->dependents->prev_dependent = edge;
    dependency->dependents = edge;
}

static void unlink_edge(struct dependency_edge *edge) {
    if (edge->dependent->dependencies == edge) edge->dependent->dependencies = edge->next_dependency;
    if (edge->prev_dependency) edge->prev_dependency->next_dependency = edge->next_dependency;
    if (edge->next_dependency) edge->next_dependency->prev_dependency = edge->prev_dependency;
    if (edge->dependency->dependents == edge) edge->dependency->dependents = edge->next_dependent;
    if (edge->prev_dependent) edge->prev_dependent->next_dependent = edge->next_dependent;
    if (edge->next_dependent) edge->next_dependent->prev_dependent = edge->prev_dependent;
    free(edge);
}

/* Unlinks the job from its dependencies. A dependency that has no dependents left inherits no priority. */
static void unlink_dependencies(struct amb_dependency_graph *graph, struct amb_graph_job *job) {
    while (job->dependencies) {
        /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlink_edge has moved the head */
        struct amb_graph_job *dependency = job->dependencies->dependency;
        graph->priorities_current = false;
        unlink_edge(job->dependencies);
        if (dependency->dependents || dependency->cancelled) continue;
        graph->events->on_priority_inherited(graph->owner, dependency->name, &NO_INHERITED_PRIORITY);
        if (!dependency->dependencies) remove_job(graph, dependency);
    }
}

/* Cancels all jobs that depend on this one, directly or indirectly, and removes them and this one. */
static void cancel_dependents(struct amb_dependency_graph *graph, struct amb_graph_job *first,
                              const char *cause) {
    struct amb_graph_job *work = first;
    first->cancelled = true;
    first->next_work = NULL;
    while (work) {
        struct amb_graph_job *job = work;
        work = job->next_work;
        while (job->dependents) {
            /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlink_edge has moved the head */
            struct amb_graph_job *dependent = job->dependents->dependent;
            unlink_edge(job->dependents);
            if (dependent->cancelled) continue;
            dependent->cancelled = true;
            graph->events->on_cancelled(graph->owner, dependent->name, cause);
            dependent->next_work = work;
            work = dependent;
        }
        unlink_dependencies(graph, job);
        remove_job(graph, job);
    }
}

/* Links the job to its dependencies that are not final yet. Returns the first cancelled one, or NULL. */
static const char *link_dependencies(struct amb_dependency_graph *graph, struct amb_graph_job *job,
                                     const char (*dependencies)[AMB_NAME_SIZE], uint32_t count) {
    const char *cancelled = NULL;
    for (uint32_t i = 0; i < count; i++) {
        enum amb_job_outcome outcome = graph->events->get_outcome(graph->owner, dependencies[i]);
        if (outcome == AMB_JOB_OUTCOME_CANCELLED && !cancelled) cancelled = dependencies[i];
        if (outcome != AMB_JOB_OUTCOME_OPEN) continue;
        struct amb_graph_job *dependency = find_or_create(graph, dependencies[i]);
        link_jobs(job, dependency); /* a name listed twice has two edges, which are removed together */
    }
    return cancelled;
}

void amb_dependency_graph_add(struct amb_dependency_graph *graph, const char *name,
                              const struct amb_dependent *dependent,
                              const char (*dependencies)[AMB_NAME_SIZE], uint32_t count) {
    struct amb_graph_job *job = find_or_create(graph, name);
    if (job->dependencies) return;
    job->own = *dependent;
    graph->priorities_current = false;
    const char *cause = link_dependencies(graph, job, dependencies, count);
    if (cause) {
        graph->events->on_cancelled(graph->owner, job->name, cause);
        cancel_dependents(graph, job, cause);
    } else if (!job->dependencies && !job->dependents) {
        remove_job(graph, job);
    }
    free_removed(graph);
}

bool amb_dependency_graph_is_empty(const struct amb_dependency_graph *graph) {
    return !graph->by_name;
}

bool amb_dependency_graph_is_blocked(const struct amb_dependency_graph *graph, const char *name) {
    const struct amb_graph_job *job = find(graph, name);
    return job && job->dependencies;
}

void amb_dependency_graph_set_done(struct amb_dependency_graph *graph, const char *name) {
    struct amb_graph_job *job = find(graph, name);
    if (!job) return;
    while (job->dependents) {
        struct amb_graph_job *dependent = job->dependents->dependent;
        unlink_edge(job->dependents);
        if (dependent->dependencies) continue;
        graph->events->on_ready(graph->owner, dependent->name);
        if (!dependent->dependents && dependent != job) remove_job(graph, dependent);
    }
    unlink_dependencies(graph, job);
    remove_job(graph, job);
    free_removed(graph);
}

void amb_dependency_graph_set_cancelled(struct amb_dependency_graph *graph, const char *name) {
    struct amb_graph_job *job = find(graph, name);
    if (!job) return;
    cancel_dependents(graph, job, job->name);
    free_removed(graph);
}

/* ---- inherited priorities ---- */

static void inherit_priority(struct amb_graph_job *dependency, const struct amb_graph_job *dependent) {
    const struct amb_effective_priority *own = &dependent->own.own_priority,
                                        *inherited = &dependent->inherited;
    enum amb_priority priority = own->priority > inherited->priority ? own->priority : inherited->priority;
    int64_t due_wall_ms =
        own->due_wall_ms < inherited->due_wall_ms ? own->due_wall_ms : inherited->due_wall_ms;
    if (due_wall_ms != AMB_NO_DUE_TIME) due_wall_ms -= dependent->own.work_ms;
    if (priority > dependency->inherited.priority) dependency->inherited.priority = priority;
    if (due_wall_ms < dependency->inherited.due_wall_ms) dependency->inherited.due_wall_ms = due_wall_ms;
}

/* Resets all jobs, and returns a work list of the jobs that have no dependents. */
static struct amb_graph_job *begin_propagation(struct amb_dependency_graph *graph) {
    struct amb_graph_job *work = NULL;
    for (struct amb_graph_job *job = graph->by_name; job; job = job->hh.next) {
        job->inherited = NO_INHERITED_PRIORITY;
        job->pending_dependents = 0;
        for (const struct dependency_edge *edge = job->dependents; edge; edge = edge->next_dependent)
            job->pending_dependents++;
        if (job->pending_dependents) continue;
        job->next_work = work;
        work = job;
    }
    return work;
}

void amb_dependency_graph_propagate_priorities(struct amb_dependency_graph *graph) {
    if (graph->priorities_current) return;
    graph->priorities_current = true;
    struct amb_graph_job *work = begin_propagation(graph);
    while (work) { /* a job is processed after all of its dependents */
        struct amb_graph_job *job = work;
        work = job->next_work;
        if (job->dependents) graph->events->on_priority_inherited(graph->owner, job->name, &job->inherited);
        for (const struct dependency_edge *edge = job->dependencies; edge; edge = edge->next_dependency) {
            inherit_priority(edge->dependency, job);
            if (--edge->dependency->pending_dependents) continue;
            edge->dependency->next_work = work;
            work = edge->dependency;
        }
    }
}

void amb_dependency_graph_clear(struct amb_dependency_graph *graph) {
    struct amb_graph_job *job, *next;
    for (job = graph->by_name; job; job = job->hh.next)
        /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlink_edge has moved the head */
        while (job->dependencies) unlink_edge(job->dependencies);
    HASH_ITER(hh, graph->by_name, job, next) {
        remove_job(graph, job);
    }
    free_removed(graph);
}
