/* Can a submitted job ever run here? */
#include "amberpin/api/admission.h"

#include "amberpin/codec/cbor_reader.h"
#include "amberpin/node/node.h"
#include "amberpin/placement/wdrr.h"

#include <string.h>

/* The zones, by their numbers in the catalogue, where a task fits a machine type that the job allows. */
static uint32_t find_fitting_zones(const struct amb_node *node, const struct amb_job_spec *spec) {
    uint32_t zones = 0;
    for (uint32_t i = 0; i < node->catalog.type_count; i++) {
        const struct amb_machine_type *type = &node->catalog.types[i];
        if (!amb_job_spec_allows_type(spec, type->name) ||
            !amb_resources_fit(&spec->task_resources, &type->resources))
            continue;
        if (!type->zone_count && !spec->zone[0]) zones = UINT32_MAX; /* the cloud does not say where */
        for (uint32_t k = 0; k < type->zone_count; k++)
            for (uint32_t zone = 0; zone < node->catalog.zone_count; zone++)
                if (!strcmp(type->zones[k], node->catalog.zones[zone]) &&
                    (!spec->zone[0] || !strcmp(spec->zone, type->zones[k])))
                    zones |= 1u << zone;
    }
    return zones;
}

enum amb_admission amb_admission_check_job(struct amb_node *node, const struct amb_job_spec *spec) {
    const struct amb_team *team = amb_settings_find_team(&node->settings, spec->team);
    if (!team) return AMB_ADMISSION_NEVER_RUNS;
    struct amb_team empty = *team;
    memset(&empty.used, 0, sizeof empty.used);
    if (!amb_wdrr_is_within_limit(&empty, &spec->task_resources,
                                  spec->kind == AMB_JOB_KIND_ARRAY ? 1 : spec->task_count))
        return AMB_ADMISSION_NEVER_RUNS;
    if (!node->cloud.catalog_known) return AMB_ADMISSION_UNDECIDED;
    uint32_t zones = find_fitting_zones(node, spec);
    /* A gang runs whole or not at all: if half of it at most may be in one zone, it needs two. */
    bool needs_two_zones = spec->kind == AMB_JOB_KIND_GANG && spec->spread_zones && spec->task_count > 1;
    if (needs_two_zones && (spec->one_zone || !(zones & (zones - 1)))) return AMB_ADMISSION_NEVER_RUNS;
    return zones ? AMB_ADMISSION_CAN_RUN : AMB_ADMISSION_NEVER_RUNS;
}

/* The names may take half of the job's record as it may be once the limits are lowered, in which sizes are
 * counted as JSON: the rest of a description takes a few hundred bytes. */
static bool fits_record(const struct amb_settings *settings, const struct amb_job_dependencies *awaits) {
    size_t bytes = 0, quotes_and_comma = 3;
    for (uint32_t i = 0; i < awaits->count; i++) bytes += strlen(awaits->names[i]) + quotes_and_comma;
    return (double)bytes <= amb_settings_lowered_limits(settings).value_kb * 1024 / 2;
}

enum amb_admission amb_admission_check_record(const struct amb_node *node, const struct amb_job *job) {
    struct amb_job cancelled = *job; /* the longest that its record gets */
    struct amb_buf value = {0};
    cancelled.accepted_wall_ms = cancelled.cancelled_wall_ms = amb_wall_ms();
    amb_job_encode_record(&value, &cancelled, AMB_JOB_CANCELLED);
    double bytes = (double)amb_cbor_json_size(value.data, value.len);
    amb_buf_free(&value);
    double max_bytes = amb_settings_lowered_limits(&node->settings).value_kb * 1024;
    return bytes <= max_bytes ? AMB_ADMISSION_CAN_RUN : AMB_ADMISSION_NEVER_RUNS;
}

enum amb_admission amb_admission_check_dependencies(struct amb_node *node,
                                                    const struct amb_job_dependencies *awaits) {
    if (!awaits) return AMB_ADMISSION_CAN_RUN;
    if (!fits_record(&node->settings, awaits)) return AMB_ADMISSION_NEVER_RUNS;
    if (amb_format_has_older_peer(node))
        return AMB_ADMISSION_UNDECIDED; /* it would start the job at once if it led */
    for (uint32_t i = 0; i < awaits->count; i++) {
        const struct amb_job *job = amb_job_find(node, awaits->names[i]);
        if (!job) return AMB_ADMISSION_NEVER_RUNS;
        /* A service is never done. */
        if (job->state == AMB_JOB_QUEUED && job->spec && job->spec->kind == AMB_JOB_KIND_SERVICE)
            return AMB_ADMISSION_NEVER_RUNS;
    }
    return AMB_ADMISSION_CAN_RUN;
}
