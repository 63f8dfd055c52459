/* Admission checks of submitted jobs. */
#include "amberpin/api/admission.h"

#include "amberpin/codec/cbor_reader.h"
#include "amberpin/node/memory_budget.h"
#include "amberpin/node/node.h"
#include "amberpin/placement/wdrr.h"

#include <string.h>

enum { BYTES_PER_KB = 1024 };

/* A set of zones is a bit mask: bit i is the zone with index i in the catalogue. */
enum { NO_ZONE = 0 };
static const uint32_t ANY_ZONE = UINT32_MAX;

/* Returns the zones that offer this machine type and that the job allows. */
static uint32_t allowed_zones_of_type(const struct amb_catalog *catalog, const struct amb_machine_type *type,
                                      const struct amb_job_spec *spec) {
    uint32_t zones = NO_ZONE;
    if (!type->zone_count && !spec->zone[0]) return ANY_ZONE; /* the cloud does not name the type's zones */
    for (uint32_t i = 0; i < type->zone_count; i++) {
        const char *name = type->zones[i];
        if (spec->zone[0] && strcmp(spec->zone, name)) continue;
        for (uint32_t zone = 0; zone < catalog->zone_count; zone++)
            if (!strcmp(name, catalog->zones[zone])) zones |= 1u << zone;
    }
    return zones;
}

/* Returns the zones in which a task of the job fits on a machine type that the job allows. */
static uint32_t find_fitting_zones(const struct amb_catalog *catalog, const struct amb_job_spec *spec) {
    uint32_t zones = NO_ZONE;
    for (uint32_t i = 0; i < catalog->type_count; i++) {
        const struct amb_machine_type *type = &catalog->types[i];
        if (!amb_job_spec_allows_type(spec, type->name)) continue;
        if (!amb_resources_fit(&spec->task_resources, &type->resources)) continue;
        zones |= allowed_zones_of_type(catalog, type, spec);
    }
    return zones;
}

static bool has_two_zones(uint32_t zones) {
    return (zones & (zones - 1)) != 0;
}

/* Returns whether the tasks that must run together are within their team's limit while the team uses nothing
 * else. */
static bool is_within_quota(const struct amb_team *team, const struct amb_job_spec *spec) {
    struct amb_team empty = *team;
    memset(&empty.used, 0, sizeof empty.used);
    uint32_t tasks_together = spec->kind == AMB_JOB_KIND_ARRAY ? 1 : spec->task_count;
    return amb_wdrr_is_within_limit(&empty, &spec->task_resources, tasks_together);
}

enum amb_admission amb_admission_check_job(struct amb_node *node, const struct amb_job_spec *spec) {
    const struct amb_team *team = amb_settings_find_team(&node->settings, spec->team);
    if (!team || !is_within_quota(team, spec)) return AMB_ADMISSION_NEVER_RUNS;
    if (!node->cloud.catalog_known) return AMB_ADMISSION_UNDECIDED;
    uint32_t zones = find_fitting_zones(&node->catalog, spec);
    /* All tasks of a gang run at once, so a gang of which at most half may be in one zone needs two zones. */
    bool needs_two_zones = spec->kind == AMB_JOB_KIND_GANG && spec->spread_zones && spec->task_count > 1;
    if (needs_two_zones && (spec->one_zone || !has_two_zones(zones))) return AMB_ADMISSION_NEVER_RUNS;
    return zones == NO_ZONE ? AMB_ADMISSION_NEVER_RUNS : AMB_ADMISSION_CAN_RUN;
}

/* Sizes are counted as JSON. The rest of a description takes a few hundred bytes. */
bool amb_admission_fits_record(const struct amb_settings *settings,
                               const struct amb_name_list *dependencies) {
    size_t quotes_and_comma = 3, terminating_zero = 1;
    if (!dependencies) return true;
    size_t bytes = dependencies->text_bytes + dependencies->count * (quotes_and_comma - terminating_zero);
    return (double)bytes <= amb_settings_lowered_limits(settings).value_kb * BYTES_PER_KB / 2;
}

enum amb_admission amb_admission_check_record(const struct amb_node *node, const struct amb_job *job,
                                              const struct amb_name_list *dependencies) {
    struct amb_job cancelled = *job; /* with the longest record that the job can have */
    struct amb_buf value = {0};
    cancelled.accepted_wall_ms = cancelled.cancelled_wall_ms = amb_wall_ms();
    amb_job_encode_record(&value, &cancelled, dependencies, AMB_JOB_CANCELLED);
    double bytes = (double)amb_cbor_json_size(value.data, value.len);
    amb_buf_free(&value);
    double max_bytes = amb_settings_lowered_limits(&node->settings).value_kb * BYTES_PER_KB;
    return bytes <= max_bytes ? AMB_ADMISSION_CAN_RUN : AMB_ADMISSION_NEVER_RUNS;
}

static bool can_hold(const struct amb_node *node, const char *job_ref,
                     const struct amb_name_list *dependencies) {
    const struct amb_dependency_usage usage = {
        .lists = 1,
        .edges = dependencies->count,
        .names = dependencies->count + 1,
        .name_bytes = dependencies->text_bytes + strlen(job_ref) + 1,
    };
    return amb_memory_can_hold_dependencies(&node->settings, &usage);
}

enum amb_admission amb_admission_check_dependencies(struct amb_node *node, const char *job_ref,
                                                    const struct amb_name_list *dependencies) {
    if (!dependencies) return AMB_ADMISSION_CAN_RUN;
    if (!can_hold(node, job_ref, dependencies)) return AMB_ADMISSION_NEVER_RUNS;
    if (amb_format_has_older_peer(node))
        return AMB_ADMISSION_UNDECIDED; /* as leader, that peer would start the job without waiting */
    const char *name = amb_name_list_first(dependencies);
    for (uint32_t i = 0; i < dependencies->count; i++, name = amb_name_list_next(name)) {
        const struct amb_job *job = amb_job_find(node, name);
        if (!job) return AMB_ADMISSION_NEVER_RUNS;
        /* A service never completes. */
        if (job->state == AMB_JOB_QUEUED && job->spec && job->spec->kind == AMB_JOB_KIND_SERVICE)
            return AMB_ADMISSION_NEVER_RUNS;
    }
    return AMB_ADMISSION_CAN_RUN;
}
