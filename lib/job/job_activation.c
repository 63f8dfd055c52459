#include "amberpin/job/job_activation.h"

#include "amberpin/job/job_specs.h"
#include "amberpin/node/memory_budget.h"
#include "amberpin/node/node.h"

#include <stdlib.h>
#include <string.h>

static void create_tasks(struct amb_job *job) {
    job->tasks = amb_alloc(job->spec->task_count * sizeof *job->tasks);
    for (uint32_t i = 0; i < job->spec->task_count; i++) {
        job->tasks[i].index = i;
        job->tasks[i].job = job;
    }
}

/* A job can be activated again after a failover, so values of an earlier activation are cleared. */
static void reset_scheduling_state(struct amb_job *job) {
    job->done_count = job->bound_count = job->running_count = job->first_waiting_task = 0;
    memset(job->zone_task_counts, 0, sizeof job->zone_task_counts);
    job->next_attempt = 1;
    job->gang_state = AMB_GANG_IDLE;
    memset(&job->failures, 0, sizeof job->failures);
    job->backoff_until = 0;
    job->completion_in_flight = false;
    job->allowed_type_mask_known = false;
}

static void link_active(struct amb_jobs *jobs, struct amb_job *job) {
    job->active = true;
    job->prev_active = NULL;
    job->next_active = jobs->active;
    if (jobs->active) jobs->active->prev_active = job;
    jobs->active = job;
    jobs->active_task_count += job->spec->task_count;
}

static void unlink_active(struct amb_jobs *jobs, struct amb_job *job) {
    *(job->prev_active ? &job->prev_active->next_active : &jobs->active) = job->next_active;
    if (job->next_active) job->next_active->prev_active = job->prev_active;
    jobs->active_task_count -= job->spec->task_count;
    job->active = false;
}

void amb_job_activate(struct amb_node *node, struct amb_job *job) {
    if (job->active || !job->spec || !job->team) return;
    create_tasks(job);
    amb_placement_blocks_create(node, job);
    reset_scheduling_state(job);
    link_active(&node->jobs, job);
}

void amb_job_deactivate(struct amb_node *node, struct amb_job *job) {
    if (!job->active) return;
    unlink_active(&node->jobs, job);
    node->jobs.memory_freed = node->jobs.has_unadmitted;
    amb_placement_blocks_free(job);
    free(job->tasks);
    job->tasks = NULL;
    if (job->state == AMB_JOB_DONE) amb_job_drop_spec(node, job);
}

/* ---- admission by memory ---- */

void amb_job_activate_if_room(struct amb_node *node, struct amb_job *job) {
    if (job->active || !job->spec || job->dependencies_pending) return;
    if (node->jobs.active_task_count &&
        node->jobs.active_task_count + job->spec->task_count > amb_memory_max_tasks(&node->settings))
        node->jobs.has_unadmitted = true;
    else
        amb_job_activate(node, job);
}

void amb_jobs_activate_unadmitted(struct amb_node *node) {
    struct amb_job *job, *next;
    if (!node->jobs.memory_freed || !node->controller.restored_at) return;
    node->jobs.memory_freed = node->jobs.has_unadmitted = false;
    HASH_ITER(hh, node->jobs.all, job, next) {
        if (job->state == AMB_JOB_QUEUED) amb_job_activate_if_room(node, job);
    }
    amb_node_request_cycle(node);
}

/* ---- machine types ---- */

static void set_allowed_types(const struct amb_catalog *catalog, struct amb_job *job) {
    job->allowed_type_mask = 0;
    for (uint32_t i = 0; i < catalog->type_count; i++)
        if (amb_job_spec_allows_type(job->spec, catalog->types[i].name)) job->allowed_type_mask |= 1u << i;
    job->allowed_type_mask_known = true;
}

bool amb_job_allows_type(struct amb_node *node, struct amb_job *job, int type) {
    if (!job->allowed_type_mask_known && node->cloud.catalog_known) set_allowed_types(&node->catalog, job);
    return type >= 0 && (job->allowed_type_mask >> type & 1);
}
