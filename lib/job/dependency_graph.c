#include "amberpin/job/dependency_graph.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* An edge is in two lists: of its dependent's awaited jobs, and of its awaited job's dependents. */
struct edge {
    struct amb_dependency *dependent, *awaited;
    struct edge *next_awaited, *prev_awaited;     /* of the same dependent */
    struct edge *next_dependent, *prev_dependent; /* of the same awaited job */
};

struct amb_dependency {
    char name[AMB_NAME];
    struct edge *awaits, *dependents;
    struct amb_dependent facts; /* of a job that awaits others */
    bool cancelled;
    struct amb_dependency *next; /* of a list of work */
    /* Of a reckoning: */
    uint32_t unreckoned; /* dependents whose needs are not known yet */
    struct amb_urgency_need need;
    UT_hash_handle hh;
};

static const struct amb_urgency_need NO_NEED = {AMB_BEST_EFFORT, AMB_NO_DUE};

void amb_dependencies_init(struct amb_dependencies *graph, const struct amb_dependency_events *events,
                           void *owner) {
    memset(graph, 0, sizeof *graph);
    graph->events = events;
    graph->owner = owner;
}

static struct amb_dependency *find(const struct amb_dependencies *graph, const char *name) {
    struct amb_dependency *job;
    HASH_FIND_STR(graph->by_name, name, job);
    return job;
}

static struct amb_dependency *find_or_create(struct amb_dependencies *graph, const char *name) {
    struct amb_dependency *job = find(graph, name);
    if (job) return job;
    job = amb_alloc(sizeof *job);
    snprintf(job->name, sizeof job->name, "%s", name);
    job->need = NO_NEED;
    HASH_ADD_STR(graph->by_name, name, job);
    return job;
}

static void forget(struct amb_dependencies *graph, struct amb_dependency *job) {
    HASH_DEL(graph->by_name, job);
    job->next = graph->forgotten;
    graph->forgotten = job;
}

static void free_forgotten(struct amb_dependencies *graph) {
    struct amb_dependency *next;
    for (struct amb_dependency *job = graph->forgotten; job; job = next) {
        next = job->next;
        free(job);
    }
    graph->forgotten = NULL;
}

static void link_jobs(struct amb_dependency *dependent, struct amb_dependency *awaited) {
    struct edge *edge = amb_alloc(sizeof *edge);
    edge->dependent = dependent;
    edge->awaited = awaited;
    edge->next_awaited = dependent->awaits;
    if (dependent->awaits) dependent->awaits->prev_awaited = edge;
    dependent->awaits = edge;
    edge->next_dependent = awaited->dependents;
    if (awaited->dependents) awaited->dependents->prev_dependent = edge;
    awaited->dependents = edge;
}

static void unlink_edge(struct edge *edge) {
    if (edge->dependent->awaits == edge) edge->dependent->awaits = edge->next_awaited;
    if (edge->prev_awaited) edge->prev_awaited->next_awaited = edge->next_awaited;
    if (edge->next_awaited) edge->next_awaited->prev_awaited = edge->prev_awaited;
    if (edge->awaited->dependents == edge) edge->awaited->dependents = edge->next_dependent;
    if (edge->prev_dependent) edge->prev_dependent->next_dependent = edge->next_dependent;
    if (edge->next_dependent) edge->next_dependent->prev_dependent = edge->prev_dependent;
    free(edge);
}

/* The job no longer awaits anything. Those that nobody needs any more are told so. */
static void drop_awaited(struct amb_dependencies *graph, struct amb_dependency *job) {
    while (job->awaits) {
        /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlink_edge has moved the head */
        struct amb_dependency *awaited = job->awaits->awaited;
        graph->reckoned = false;
        unlink_edge(job->awaits);
        if (awaited->dependents || awaited->cancelled) continue;
        graph->events->needed(graph->owner, awaited->name, &NO_NEED);
        if (!awaited->awaits) forget(graph, awaited);
    }
}

/* Cancels every job that needs this one, and forgets them and this one. */
static void cancel_dependents(struct amb_dependencies *graph, struct amb_dependency *first,
                              const char *cause) {
    struct amb_dependency *work = first;
    first->cancelled = true;
    first->next = NULL;
    while (work) {
        struct amb_dependency *job = work;
        work = job->next;
        while (job->dependents) {
            /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlink_edge has moved the head */
            struct amb_dependency *dependent = job->dependents->dependent;
            unlink_edge(job->dependents);
            if (dependent->cancelled) continue;
            dependent->cancelled = true;
            graph->events->cancelled(graph->owner, dependent->name, cause);
            dependent->next = work;
            work = dependent;
        }
        drop_awaited(graph, job);
        forget(graph, job);
    }
}

/* Links the job to those of the names that are not over. Gives the first that is cancelled; NULL: none is. */
static const char *link_awaited(struct amb_dependencies *graph, struct amb_dependency *job,
                                const char (*awaited)[AMB_NAME], uint32_t count) {
    const char *cancelled = NULL;
    for (uint32_t i = 0; i < count; i++) {
        enum amb_outcome outcome = graph->events->outcome(graph->owner, awaited[i]);
        if (outcome == AMB_OUTCOME_CANCELLED && !cancelled) cancelled = awaited[i];
        if (outcome != AMB_OUTCOME_OPEN) continue;
        struct amb_dependency *before = find_or_create(graph, awaited[i]);
        link_jobs(job, before); /* twice, if it is named twice: both edges end together */
    }
    return cancelled;
}

void amb_dependencies_add(struct amb_dependencies *graph, const char *name,
                          const struct amb_dependent *dependent, const char (*awaited)[AMB_NAME],
                          uint32_t count) {
    struct amb_dependency *job = find_or_create(graph, name);
    if (job->awaits) return;
    job->facts = *dependent;
    graph->reckoned = false;
    const char *cause = link_awaited(graph, job, awaited, count);
    if (cause) {
        graph->events->cancelled(graph->owner, job->name, cause);
        cancel_dependents(graph, job, cause);
    } else if (!job->awaits && !job->dependents) {
        forget(graph, job);
    }
    free_forgotten(graph);
}

bool amb_dependencies_empty(const struct amb_dependencies *graph) {
    return !graph->by_name;
}

bool amb_dependencies_waits(const struct amb_dependencies *graph, const char *name) {
    const struct amb_dependency *job = find(graph, name);
    return job && job->awaits;
}

void amb_dependencies_done(struct amb_dependencies *graph, const char *name) {
    struct amb_dependency *job = find(graph, name);
    if (!job) return;
    while (job->dependents) {
        struct amb_dependency *dependent = job->dependents->dependent;
        unlink_edge(job->dependents);
        if (dependent->awaits) continue;
        graph->events->ready(graph->owner, dependent->name);
        if (!dependent->dependents && dependent != job) forget(graph, dependent);
    }
    drop_awaited(graph, job);
    forget(graph, job);
    free_forgotten(graph);
}

void amb_dependencies_cancelled(struct amb_dependencies *graph, const char *name) {
    struct amb_dependency *job = find(graph, name);
    if (!job) return;
    cancel_dependents(graph, job, job->name);
    free_forgotten(graph);
}

/* ---- needs ---- */

static void add_need(struct amb_dependency *awaited, const struct amb_dependency *dependent) {
    const struct amb_urgency_need *own = &dependent->facts.need, *passed = &dependent->need;
    enum amb_priority priority = own->priority > passed->priority ? own->priority : passed->priority;
    int64_t due = own->due_wall < passed->due_wall ? own->due_wall : passed->due_wall;
    if (due != AMB_NO_DUE) due -= dependent->facts.work_ms;
    if (priority > awaited->need.priority) awaited->need.priority = priority;
    if (due < awaited->need.due_wall) awaited->need.due_wall = due;
}

/* The jobs that nobody awaits; every other one is prepared. */
static struct amb_dependency *begin_reckoning(struct amb_dependencies *graph) {
    struct amb_dependency *last_jobs = NULL;
    for (struct amb_dependency *job = graph->by_name; job; job = job->hh.next) {
        job->need = NO_NEED;
        job->unreckoned = 0;
        for (const struct edge *edge = job->dependents; edge; edge = edge->next_dependent) job->unreckoned++;
        if (job->unreckoned) continue;
        job->next = last_jobs;
        last_jobs = job;
    }
    return last_jobs;
}

void amb_dependencies_reckon(struct amb_dependencies *graph) {
    if (graph->reckoned) return;
    graph->reckoned = true;
    struct amb_dependency *work = begin_reckoning(graph);
    while (work) { /* each job after all that need it */
        struct amb_dependency *job = work;
        work = job->next;
        if (job->dependents) graph->events->needed(graph->owner, job->name, &job->need);
        for (const struct edge *edge = job->awaits; edge; edge = edge->next_awaited) {
            add_need(edge->awaited, job);
            if (--edge->awaited->unreckoned) continue;
            edge->awaited->next = work;
            work = edge->awaited;
        }
    }
}

void amb_dependencies_clear(struct amb_dependencies *graph) {
    struct amb_dependency *job, *next;
    for (job = graph->by_name; job; job = job->hh.next)
        /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlink_edge has moved the head */
        while (job->awaits) unlink_edge(job->awaits);
    HASH_ITER(hh, graph->by_name, job, next) {
        forget(graph, job);
    }
    free_forgotten(graph);
}
