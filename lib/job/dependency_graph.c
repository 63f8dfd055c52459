#include "amberpin/job/dependency_graph.h"

#include "amberpin/base/util.h"

#include <stdlib.h>
#include <string.h>

static const struct amb_effective_priority NO_INHERITED_PRIORITY = {AMB_PRIORITY_BEST_EFFORT,
                                                                    AMB_NO_DUE_TIME};

void amb_dependency_graph_init(struct amb_dependency_graph *graph, const struct amb_dependency_events *events,
                               void *owner) {
    memset(graph, 0, sizeof *graph);
    graph->events = events;
    graph->owner = owner;
}

/* ---- jobs ---- */

static uint32_t grown_capacity(uint32_t capacity, uint32_t least) {
    uint32_t grown = capacity + capacity / AMB_GRAPH_GROWTH_DIVISOR;
    return grown > least ? grown : least;
}

static struct amb_graph_job *find(const struct amb_dependency_graph *graph, uint32_t id) {
    return id < graph->capacity ? graph->by_id[id] : NULL;
}

static void reserve_id(struct amb_dependency_graph *graph, uint32_t id) {
    if (id < graph->capacity) return;
    uint32_t capacity = grown_capacity(graph->capacity, id + 1);
    graph->by_id = amb_realloc(graph->by_id, capacity * sizeof *graph->by_id);
    for (uint32_t i = graph->capacity; i < capacity; i++) graph->by_id[i] = NULL;
    graph->capacity = capacity;
}

static struct amb_graph_job *find_or_create(struct amb_dependency_graph *graph, uint32_t id) {
    struct amb_graph_job *job = find(graph, id);
    if (job) return job;
    reserve_id(graph, id);
    job = amb_alloc(sizeof *job);
    job->id = id;
    job->inherited = NO_INHERITED_PRIORITY;
    graph->by_id[id] = job;
    graph->job_count++;
    return job;
}

static void remove_job(struct amb_dependency_graph *graph, struct amb_graph_job *job) {
    /* NOLINTNEXTLINE(clang-analyzer-core.NullDereference): the table is freed with the last job */
    graph->by_id[job->id] = NULL;
    graph->job_count--;
    free(job->dependents);
    free(job);
    if (graph->job_count) return;
    free(graph->by_id);
    graph->by_id = NULL;
    graph->capacity = 0;
}

/* ---- edges ---- */

/* Returns the index of the first dependent that is not below this one. */
static uint32_t find_dependent(const struct amb_graph_job *job, uint32_t dependent) {
    uint32_t low = 0, high = job->dependent_count;
    /* Most are added in ascending order and, when a cancellation reaches them all, removed from the end. */
    if (high && job->dependents[high - 1] < dependent) return high;
    if (high && job->dependents[high - 1] == dependent) return high - 1;
    while (low < high) {
        uint32_t middle = low + (high - low) / 2;
        if (job->dependents[middle] < dependent)
            low = middle + 1;
        else
            high = middle;
    }
    return low;
}

static bool is_dependent_at(const struct amb_graph_job *job, uint32_t at, uint32_t dependent) {
    return at < job->dependent_count && job->dependents[at] == dependent;
}

/* Returns false if the job has this dependent already. */
static bool add_dependent(struct amb_graph_job *job, uint32_t dependent) {
    uint32_t at = find_dependent(job, dependent);
    if (is_dependent_at(job, at, dependent)) return false;
    if (job->dependent_count == job->dependent_capacity) {
        job->dependent_capacity = grown_capacity(job->dependent_capacity, AMB_GRAPH_FIRST_DEPENDENTS);
        job->dependents = amb_realloc(job->dependents, job->dependent_capacity * sizeof *job->dependents);
    }
    uint32_t *place = &job->dependents[at];
    memmove(place + 1, place, (job->dependent_count - at) * sizeof *place);
    *place = dependent;
    job->dependent_count++;
    return true;
}

/* Returns false if the job has no such dependent. */
static bool remove_dependent(struct amb_graph_job *job, uint32_t dependent) {
    uint32_t at = find_dependent(job, dependent);
    if (!is_dependent_at(job, at, dependent)) return false;
    job->dependent_count--;
    uint32_t *place = &job->dependents[at];
    memmove(place, place + 1, (job->dependent_count - at) * sizeof *place);
    return true;
}

/* The dependents of a job, taken from it. */
struct dependent_list {
    uint32_t *ids; /* owned */
    uint32_t count;
};

static struct dependent_list take_dependents(struct amb_graph_job *job) {
    struct dependent_list taken = {job->dependents, job->dependent_count};
    job->dependents = NULL;
    job->dependent_count = job->dependent_capacity = 0;
    return taken;
}

/* A dependency that has no dependents left inherits no priority. */
static void handle_dependent_removed(struct amb_dependency_graph *graph, struct amb_graph_job *dependency) {
    graph->priorities_current = false;
    if (dependency->dependent_count || dependency->cancelled) return;
    graph->events->on_priority_inherited(graph->owner, dependency->id, &NO_INHERITED_PRIORITY);
    if (!dependency->pending_dependencies) remove_job(graph, dependency);
}

/* Removes the job from the dependents of its dependencies, and then the job itself. */
static void unlink_and_remove(struct amb_dependency_graph *graph, struct amb_graph_job *job) {
    const struct amb_job_dependencies *dependencies = job->dependencies;
    job->pending_dependencies = 0;
    for (uint32_t i = 0; dependencies && i < dependencies->count; i++) {
        struct amb_graph_job *dependency = find(graph, dependencies->ids[i]);
        if (!dependency || dependency == job || !remove_dependent(dependency, job->id)) continue;
        handle_dependent_removed(graph, dependency);
    }
    remove_job(graph, job);
}

/* ---- outcomes ---- */

/* Cancels all jobs that depend on this one, directly or indirectly, and removes them and this one. */
static void cancel_dependents(struct amb_dependency_graph *graph, struct amb_graph_job *first,
                              uint32_t cause) {
    struct amb_graph_job *work = first;
    first->cancelled = true;
    first->next_work = NULL;
    while (work) {
        struct amb_graph_job *job = work;
        work = job->next_work;
        struct dependent_list dependents = take_dependents(job);
        for (uint32_t i = 0; i < dependents.count; i++) {
            struct amb_graph_job *dependent = find(graph, dependents.ids[i]);
            if (dependent->cancelled) continue;
            dependent->cancelled = true;
            graph->events->on_cancelled(graph->owner, dependent->id, cause);
            dependent->next_work = work;
            work = dependent;
        }
        free(dependents.ids);
        unlink_and_remove(graph, job);
    }
}

/* A job is removed from the graph as soon as it is final, so one that is there is open. */
static enum amb_job_outcome outcome_of(const struct amb_dependency_graph *graph, uint32_t id) {
    return find(graph, id) ? AMB_JOB_OUTCOME_OPEN : graph->events->get_outcome(graph->owner, id);
}

/* Links the job to its dependencies that are not final yet. Returns the first cancelled one, or
 * AMB_NO_JOB_ID. */
static uint32_t link_dependencies(struct amb_dependency_graph *graph, struct amb_graph_job *job) {
    uint32_t cancelled = AMB_NO_JOB_ID;
    for (uint32_t i = 0; i < job->dependencies->count; i++) {
        uint32_t id = job->dependencies->ids[i];
        enum amb_job_outcome outcome = outcome_of(graph, id);
        if (outcome == AMB_JOB_OUTCOME_CANCELLED && cancelled == AMB_NO_JOB_ID) cancelled = id;
        if (outcome != AMB_JOB_OUTCOME_OPEN) continue;
        job->pending_dependencies += add_dependent(find_or_create(graph, id), job->id);
    }
    return cancelled;
}

void amb_dependency_graph_add(struct amb_dependency_graph *graph, const struct amb_dependent *dependent,
                              const struct amb_job_dependencies *dependencies) {
    struct amb_graph_job *job = find_or_create(graph, dependencies->job);
    if (job->pending_dependencies) return;
    job->own = *dependent;
    job->dependencies = dependencies;
    graph->priorities_current = false;
    uint32_t cause = link_dependencies(graph, job);
    if (cause != AMB_NO_JOB_ID) {
        graph->events->on_cancelled(graph->owner, job->id, cause);
        cancel_dependents(graph, job, cause);
    } else if (!job->pending_dependencies && !job->dependent_count) {
        remove_job(graph, job);
    }
}

bool amb_dependency_graph_is_empty(const struct amb_dependency_graph *graph) {
    return !graph->job_count;
}

bool amb_dependency_graph_is_blocked(const struct amb_dependency_graph *graph, uint32_t job) {
    const struct amb_graph_job *found = find(graph, job);
    return found && found->pending_dependencies;
}

void amb_dependency_graph_set_done(struct amb_dependency_graph *graph, uint32_t job) {
    struct amb_graph_job *found = find(graph, job);
    if (!found) return;
    struct dependent_list dependents = take_dependents(found);
    for (uint32_t i = 0; i < dependents.count; i++) {
        struct amb_graph_job *dependent = find(graph, dependents.ids[i]);
        if (--dependent->pending_dependencies) continue;
        graph->events->on_ready(graph->owner, dependent->id);
        if (!dependent->dependent_count && dependent != found) remove_job(graph, dependent);
    }
    free(dependents.ids);
    unlink_and_remove(graph, found);
}

void amb_dependency_graph_set_cancelled(struct amb_dependency_graph *graph, uint32_t job) {
    struct amb_graph_job *found = find(graph, job);
    if (found) cancel_dependents(graph, found, job);
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

/* Counts for each job in how many lists of dependencies it stands. */
static void count_unprocessed_dependents(struct amb_dependency_graph *graph,
                                         const struct amb_graph_job *dependent) {
    const struct amb_job_dependencies *dependencies = dependent->dependencies;
    for (uint32_t i = 0; dependencies && i < dependencies->count; i++) {
        struct amb_graph_job *dependency = find(graph, dependencies->ids[i]);
        if (dependency) dependency->unprocessed_dependents++;
    }
}

static void reset_propagation(struct amb_dependency_graph *graph) {
    for (uint32_t id = 0; id < graph->capacity; id++) {
        struct amb_graph_job *job = graph->by_id[id];
        if (!job) continue;
        job->inherited = NO_INHERITED_PRIORITY;
        job->unprocessed_dependents = 0;
    }
}

/* Returns a work list of the jobs that have no dependents. */
static struct amb_graph_job *begin_propagation(struct amb_dependency_graph *graph) {
    struct amb_graph_job *work = NULL;
    reset_propagation(graph);
    for (uint32_t id = 0; id < graph->capacity; id++) {
        struct amb_graph_job *job = graph->by_id[id];
        if (!job) continue;
        count_unprocessed_dependents(graph, job);
        if (job->dependent_count) continue;
        job->next_work = work;
        work = job;
    }
    return work;
}

/* Passes the job's priority on to its dependencies. Returns the work list with those added that have no
 * dependent left to process. */
static struct amb_graph_job *process_dependent(struct amb_dependency_graph *graph,
                                               const struct amb_graph_job *job, struct amb_graph_job *work) {
    const struct amb_job_dependencies *dependencies = job->dependencies;
    for (uint32_t i = 0; dependencies && i < dependencies->count; i++) {
        struct amb_graph_job *dependency = find(graph, dependencies->ids[i]);
        if (!dependency) continue;
        inherit_priority(dependency, job);
        if (--dependency->unprocessed_dependents) continue;
        dependency->next_work = work;
        work = dependency;
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
        if (job->dependent_count)
            graph->events->on_priority_inherited(graph->owner, job->id, &job->inherited);
        work = process_dependent(graph, job, work);
    }
}

void amb_dependency_graph_clear(struct amb_dependency_graph *graph) {
    uint32_t capacity = graph->capacity;
    for (uint32_t id = 0; id < capacity && graph->job_count; id++)
        if (graph->by_id[id]) remove_job(graph, graph->by_id[id]);
}
