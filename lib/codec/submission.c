/* Submissions: jobs as users describe them, in requests and in a job's record. */
#include "amberpin/codec/fields.h"
#include "amberpin/codec/messages.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

static const struct amb_codec_enum_name kinds[] = {
    {"batch", AMB_JOB_KIND_ARRAY}, {"ensemble", AMB_JOB_KIND_GANG}, {"daemon", AMB_JOB_KIND_SERVICE}, {0, 0}};
static const struct amb_codec_enum_name priorities[] = {{"prod", AMB_PRIORITY_PRODUCTION},
                                                        {"high", AMB_PRIORITY_HIGH},
                                                        {"normal", AMB_PRIORITY_NORMAL},
                                                        {"best_effort", AMB_PRIORITY_BEST_EFFORT},
                                                        {0, 0}};

const char *amb_codec_job_state_text(enum amb_job_state state, bool running) {
    if (state == AMB_JOB_DONE) return "done";
    if (state == AMB_JOB_CANCELLED) return "cancelled";
    return running ? "running" : "queued";
}

bool amb_codec_is_job_ref(const char *ref) {
    size_t len = strlen(ref);
    if (len < 4 || len > 48 || strncmp(ref, "wk-", 3)) return false;
    for (const char *character = ref + 3; *character; character++)
        if (!isalnum((unsigned char)*character) && *character != '-' && *character != '_') return false;
    return true;
}

static bool read_enums(const cbor_item_t *map, struct amb_job_spec *spec) {
    int kind, priority;
    if (!amb_codec_read_enum(kinds, amb_cbor_map_get(map, "shape"), &kind) ||
        !amb_codec_read_enum(priorities, amb_cbor_map_get(map, "rank"), &priority))
        return false;
    spec->kind = (enum amb_job_kind)kind;
    spec->priority = (enum amb_priority)priority;
    return true;
}

static bool read_task_count(const cbor_item_t *map, struct amb_job_spec *spec) {
    uint64_t tasks;
    if (!amb_cbor_get_uint(amb_cbor_map_get(map, "legs"), &tasks) || !tasks || tasks > AMB_TASKS_MAX)
        return false;
    spec->task_count = (uint32_t)tasks;
    return true;
}

static bool read_amounts(const cbor_item_t *map, struct amb_job_spec *spec) {
    return amb_codec_read_amount(map, "vcpus", &spec->task_resources.cpus) &&
           amb_codec_read_amount(map, "accelerators", &spec->task_resources.gpus) &&
           amb_codec_read_amount(map, "ram_gb", &spec->task_resources.memory_gb) &&
           amb_codec_read_amount(map, "size_gb", &spec->image_gb) &&
           amb_codec_read_amount(map, "reckon_s", &spec->estimated_runtime_s) &&
           amb_codec_read_amount(map, "mark_s", &spec->checkpoint_interval_s) &&
           amb_codec_read_amount(map, "stow_s", &spec->checkpoint_save_s);
}

static bool read_flags(const cbor_item_t *map, struct amb_job_spec *spec) {
    return amb_cbor_get_bool(amb_cbor_map_get(map, "one_zone"), &spec->one_zone) &&
           amb_cbor_get_bool(amb_cbor_map_get(map, "scatter"), &spec->spread_zones) &&
           amb_cbor_get_bool(amb_cbor_map_get(map, "driftwood"), &spec->spot_allowed);
}

static bool read_types(const cbor_item_t *types, struct amb_job_spec *spec) {
    if (amb_cbor_is_absent(types)) return true;
    size_t count = amb_cbor_list_length(types);
    if (!cbor_isa_array(types) || !count || count > AMB_ALLOWED_TYPES_MAX) return false;
    for (size_t i = 0; i < count; i++)
        if (!amb_cbor_copy_string(amb_cbor_list_item(types, i), spec->allowed_types[i], AMB_NAME_SIZE) ||
            !amb_codec_is_plain_name(spec->allowed_types[i]))
            return false;
    spec->allowed_type_count = (uint32_t)count;
    return true;
}

static bool read_limits(const cbor_item_t *map, struct amb_job_spec *spec) {
    if (!amb_cbor_is_absent(amb_cbor_map_get(map, "yard")) && !amb_codec_read_name(map, "yard", spec->zone))
        return false;
    if (!amb_cbor_is_absent(amb_cbor_map_get(map, "due_s")) &&
        !amb_codec_read_amount(map, "due_s", &spec->deadline_s))
        return false;
    return read_types(amb_cbor_map_get(map, "hulls"), spec);
}

enum amb_codec_result amb_codec_decode_spec(const cbor_item_t *map, struct amb_job_spec *spec) {
    memset(spec, 0, sizeof *spec);
    if (!map || !cbor_isa_map(map)) return AMB_CODEC_MALFORMED;
    bool read = amb_codec_read_name(map, "ref", spec->ref) && amb_codec_is_job_ref(spec->ref) &&
                amb_codec_read_name(map, "berth", spec->class_name) &&
                amb_codec_read_name(map, "crew", spec->team) &&
                amb_codec_read_name(map, "cask", spec->image) && read_enums(map, spec) &&
                read_task_count(map, spec) && read_amounts(map, spec) && read_flags(map, spec) &&
                read_limits(map, spec);
    return read ? AMB_CODEC_OK : AMB_CODEC_MALFORMED;
}

static int compare_names(const void *a, const void *b) {
    return strcmp(a, b);
}

/* Sorts the names and keeps each once. */
static void sort_and_deduplicate(struct amb_job_dependencies *awaits) {
    uint32_t kept = 0;
    qsort(awaits->names, awaits->count, sizeof *awaits->names, compare_names);
    for (uint32_t i = 0; i < awaits->count; i++) {
        if (kept && !strcmp(awaits->names[kept - 1], awaits->names[i])) continue;
        if (kept != i) memcpy(awaits->names[kept], awaits->names[i], AMB_NAME_SIZE);
        kept++;
    }
    awaits->count = kept;
}

enum amb_codec_result amb_codec_decode_dependencies(const cbor_item_t *map,
                                                    struct amb_job_dependencies **out) {
    const cbor_item_t *list = amb_cbor_map_get(map, "awaits");
    *out = NULL;
    if (amb_cbor_is_absent(list)) return AMB_CODEC_OK;
    if (!cbor_isa_array(list)) return AMB_CODEC_MALFORMED;
    size_t count = amb_cbor_list_length(list);
    if (!count) return AMB_CODEC_OK;
    struct amb_job_dependencies *awaits = amb_alloc(sizeof *awaits + count * sizeof *awaits->names);
    for (size_t i = 0; i < count; i++) {
        char *name = awaits->names[awaits->count++];
        if (amb_cbor_copy_string(amb_cbor_list_item(list, i), name, AMB_NAME_SIZE) &&
            amb_codec_is_job_ref(name))
            continue;
        free(awaits);
        return AMB_CODEC_MALFORMED;
    }
    sort_and_deduplicate(awaits);
    *out = awaits;
    return AMB_CODEC_OK;
}

void amb_codec_encode_spec(struct amb_buf *out, const struct amb_job_spec *spec) {
    amb_codec_encode_job(out, spec, NULL);
}

void amb_codec_encode_job(struct amb_buf *out, const struct amb_job_spec *spec,
                          const struct amb_job_dependencies *awaits) {
    amb_cbor_write_map(out, 17u + (spec->zone[0] != 0) + (spec->deadline_s > 0) +
                                (spec->allowed_type_count > 0) + (awaits != NULL));
    amb_codec_put_text(out, "ref", spec->ref);
    amb_codec_put_text(out, "berth", spec->class_name);
    amb_codec_put_text(out, "crew", spec->team);
    amb_codec_put_text(out, "cask", spec->image);
    amb_codec_put_text(out, "shape", amb_codec_enum_text(kinds, spec->kind));
    amb_codec_put_text(out, "rank", amb_codec_enum_text(priorities, spec->priority));
    amb_cbor_write_string(out, "legs");
    amb_cbor_write_uint(out, spec->task_count);
    amb_codec_put_amount(out, "vcpus", spec->task_resources.cpus);
    amb_codec_put_amount(out, "accelerators", spec->task_resources.gpus);
    amb_codec_put_amount(out, "ram_gb", spec->task_resources.memory_gb);
    amb_codec_put_amount(out, "size_gb", spec->image_gb);
    amb_codec_put_amount(out, "reckon_s", spec->estimated_runtime_s);
    amb_codec_put_amount(out, "mark_s", spec->checkpoint_interval_s);
    amb_codec_put_amount(out, "stow_s", spec->checkpoint_save_s);
    amb_codec_put_bool(out, "one_zone", spec->one_zone);
    amb_codec_put_bool(out, "scatter", spec->spread_zones);
    amb_codec_put_bool(out, "driftwood", spec->spot_allowed);
    if (spec->zone[0]) amb_codec_put_text(out, "yard", spec->zone);
    if (spec->deadline_s > 0) amb_codec_put_amount(out, "due_s", spec->deadline_s);
    if (spec->allowed_type_count) {
        amb_cbor_write_string(out, "hulls");
        amb_cbor_write_list(out, spec->allowed_type_count);
        for (uint32_t i = 0; i < spec->allowed_type_count; i++)
            amb_cbor_write_string(out, spec->allowed_types[i]);
    }
    if (awaits) {
        amb_cbor_write_string(out, "awaits");
        amb_cbor_write_list(out, awaits->count);
        for (uint32_t i = 0; i < awaits->count; i++) amb_cbor_write_string(out, awaits->names[i]);
    }
}
