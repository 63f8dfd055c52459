/* Placement requests: what a waiting task of a job needs, and in which zones it may be. */
#include "cycle_internal.h"

#include "amberpin/scheduler/start_deadline.h"

#include <string.h>

/* No machine will do until more is known or proven. */
static void allow_no_type(struct amb_placement_request *request) {
    request->type_mask = 0;
}

/* Tasks whose zone is unknown may be in any: each zone takes so many fewer. */
static void limit_spread(struct amb_placement_request *request, uint32_t in_unknown_zones) {
    if (in_unknown_zones >= request->max_tasks_per_zone) allow_no_type(request);
    if (in_unknown_zones < request->max_tasks_per_zone) request->max_tasks_per_zone -= in_unknown_zones;
}

/* A job of one zone stays where its tasks are on record. There may be two such zones: the record of a large
 * job is in several blocks, and a block is not rewritten when its tasks are gone. Which tasks are still there
 * only their machines can tell. */
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

/* What the job's tasks that are not proven absent leave of the zones. */
static void limit_zones(const struct amb_cycle *cycle, const struct amb_job *job,
                        struct amb_placement_request *request) {
    uint32_t in_unknown_zones = amb_placement_count_tasks_in_unknown_zones(job);
    if (job->spec->spread_zones) limit_spread(request, in_unknown_zones);
    /* A gang starts with nothing on record. */
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
    /* A zone that has just come back may fail again: replicas return there at once, batch work, which would
     * lose what it has done, waits until the zone is steady. */
    request->excluded_zones = spec->kind == AMB_JOB_KIND_SERVICE ? 0 : cycle->zones_without_batch;
    limit_zones(cycle, job, request);
}
