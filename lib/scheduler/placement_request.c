/* Placement requests: what a waiting task of a job needs and in which zones it may run. */
#include "cycle_internal.h"

#include "amberpin/scheduler/start_deadline.h"

#include <string.h>

/* Makes the request infeasible on every machine, until more is known about the job's earlier tasks. */
static void allow_no_type(struct amb_placement_request *request) {
    request->type_mask = 0;
}

/* Tasks in unknown zones may be in any zone, so they count against the limit of each zone. */
static void limit_spread(struct amb_placement_request *request, uint32_t in_unknown_zones) {
    if (in_unknown_zones >= request->max_tasks_per_zone) allow_no_type(request);
    if (in_unknown_zones < request->max_tasks_per_zone) request->max_tasks_per_zone -= in_unknown_zones;
}

/* A job that must run in one zone stays in the zone of its recorded tasks. There may be two such zones: a
 * large job has several placement blocks, and a block is not rewritten when its tasks are gone. Only the
 * machines can tell which of the tasks still exist. */
static void limit_to_one_zone(const struct amb_cycle *cycle, const struct amb_job *job,
                              struct amb_placement_request *request, uint32_t in_unknown_zones) {
    uint32_t zones_in_use = 0;
    for (uint32_t zone = 0; zone < cycle->node->catalog.zone_count; zone++) {
        if (!job->zone_task_counts[zone]) continue;
        request->zone = (int)zone;
        zones_in_use++;
    }
    if (zones_in_use > 1 || in_unknown_zones) allow_no_type(request);
}

/* Limits the zones according to the job's tasks that are not proven absent. */
static void limit_zones(const struct amb_cycle *cycle, const struct amb_job *job,
                        struct amb_placement_request *request) {
    uint32_t in_unknown_zones = amb_placement_count_tasks_in_unknown_zones(job);
    if (job->spec->spread_zones) limit_spread(request, in_unknown_zones);
    /* Gangs are exempt: one is placed only when it has no recorded tasks. */
    if (job->spec->one_zone && job->spec->kind != AMB_JOB_KIND_GANG)
        limit_to_one_zone(cycle, job, request, in_unknown_zones);
}

void amb_cycle_init_request(struct amb_cycle *cycle, struct amb_job *job,
                            struct amb_placement_request *request) {
    const struct amb_job_spec *spec = job->spec;
    memset(request, 0, sizeof *request);
    amb_job_allows_type(cycle->node, job, 0); /* computes the mask of allowed types */
    request->need = spec->task_resources;
    request->type_mask = job->allowed_type_mask;
    request->zone = amb_catalog_find_or_add_zone(&cycle->node->catalog, spec->zone);
    request->spot_allowed = spec->spot_allowed;
    request->long_running = spec->kind == AMB_JOB_KIND_SERVICE;
    request->priority = amb_job_get_effective_priority(job);
    request->deferrable = spec->kind == AMB_JOB_KIND_ARRAY && !amb_start_find_objective(cycle->node, spec);
    request->can_wait = amb_start_can_wait_for_capacity(cycle->node, job);
    request->opportunistic = amb_job_is_opportunistic(job);
    request->tasks_by_zone = job->zone_task_counts;
    request->max_tasks_per_zone = spec->spread_zones ? amb_placement_max_tasks_per_zone(spec->task_count) : 0;
    /* A zone that has just come back may fail again. Replicas return there at once, while batch work, which
     * would lose its progress, waits until the zone is steady. */
    request->excluded_zones = spec->kind == AMB_JOB_KIND_SERVICE ? 0 : cycle->zones_without_batch;
    limit_zones(cycle, job, request);
}
