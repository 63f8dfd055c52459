/* Submissions: jobs as users describe them, in requests and in a job's record. */
#include "amberpin/codec/fields.h"
#include "amberpin/codec/messages.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

static const struct amb_word kinds[] = {
    {"batch", AMB_JOB_KIND_ARRAY}, {"ensemble", AMB_JOB_KIND_GANG}, {"daemon", AMB_JOB_KIND_SERVICE}, {0, 0}};
static const struct amb_word priorities[] = {{"prod", AMB_PRIORITY_PRODUCTION},
                                             {"high", AMB_PRIORITY_HIGH},
                                             {"normal", AMB_PRIORITY_NORMAL},
                                             {"best_effort", AMB_PRIORITY_BEST_EFFORT},
                                             {0, 0}};

const char *amb_codec_job_state(enum amb_job_state state, bool running) {
    if (state == AMB_JOB_DONE) return "done";
    if (state == AMB_JOB_CANCELLED) return "cancelled";
    return running ? "running" : "queued";
}

bool amb_ref_ok(const char *ref) {
    size_t n = strlen(ref);
    if (n < 4 || n > 48 || strncmp(ref, "wk-", 3)) return false;
    for (const char *p = ref + 3; *p; p++)
        if (!isalnum((unsigned char)*p) && *p != '-' && *p != '_') return false;
    return true;
}

static bool read_words(const cbor_item_t *map, struct amb_job_spec *spec) {
    int kind, priority;
    if (!amb_word_read(kinds, amb_cbor_get(map, "shape"), &kind) ||
        !amb_word_read(priorities, amb_cbor_get(map, "rank"), &priority))
        return false;
    spec->kind = (enum amb_job_kind)kind;
    spec->priority = (enum amb_priority)priority;
    return true;
}

static bool read_task_count(const cbor_item_t *map, struct amb_job_spec *spec) {
    uint64_t tasks;
    if (!amb_cbor_uint(amb_cbor_get(map, "legs"), &tasks) || !tasks || tasks > AMB_TASKS_MAX) return false;
    spec->task_count = (uint32_t)tasks;
    return true;
}

static bool read_amounts(const cbor_item_t *map, struct amb_job_spec *spec) {
    return amb_field_amount(map, "vcpus", &spec->task_resources.cpus) &&
           amb_field_amount(map, "accelerators", &spec->task_resources.gpus) &&
           amb_field_amount(map, "ram_gb", &spec->task_resources.memory_gb) &&
           amb_field_amount(map, "size_gb", &spec->image_gb) &&
           amb_field_amount(map, "reckon_s", &spec->estimated_runtime_s) &&
           amb_field_amount(map, "mark_s", &spec->checkpoint_interval_s) &&
           amb_field_amount(map, "stow_s", &spec->checkpoint_save_s);
}

static bool read_flags(const cbor_item_t *map, struct amb_job_spec *spec) {
    return amb_cbor_bool(amb_cbor_get(map, "one_zone"), &spec->one_zone) &&
           amb_cbor_bool(amb_cbor_get(map, "scatter"), &spec->spread_zones) &&
           amb_cbor_bool(amb_cbor_get(map, "driftwood"), &spec->spot_allowed);
}

static bool read_types(const cbor_item_t *types, struct amb_job_spec *spec) {
    if (amb_cbor_absent(types)) return true;
    size_t count = amb_cbor_len(types);
    if (!cbor_isa_array(types) || !count || count > AMB_ALLOWED_TYPES_MAX) return false;
    for (size_t i = 0; i < count; i++)
        if (!amb_cbor_str(amb_cbor_at(types, i), spec->allowed_types[i], AMB_NAME_SIZE) ||
            !amb_name_plain(spec->allowed_types[i]))
            return false;
    spec->allowed_type_count = (uint32_t)count;
    return true;
}

static bool read_limits(const cbor_item_t *map, struct amb_job_spec *spec) {
    if (!amb_cbor_absent(amb_cbor_get(map, "yard")) && !amb_field_name(map, "yard", spec->zone)) return false;
    if (!amb_cbor_absent(amb_cbor_get(map, "due_s")) && !amb_field_amount(map, "due_s", &spec->deadline_s))
        return false;
    return read_types(amb_cbor_get(map, "hulls"), spec);
}

enum amb_parse amb_codec_spec(const cbor_item_t *map, struct amb_job_spec *spec) {
    memset(spec, 0, sizeof *spec);
    if (!map || !cbor_isa_map(map)) return AMB_PARSE_BAD;
    bool read = amb_field_name(map, "ref", spec->ref) && amb_ref_ok(spec->ref) &&
                amb_field_name(map, "berth", spec->class_name) && amb_field_name(map, "crew", spec->team) &&
                amb_field_name(map, "cask", spec->image) && read_words(map, spec) &&
                read_task_count(map, spec) && read_amounts(map, spec) && read_flags(map, spec) &&
                read_limits(map, spec);
    return read ? AMB_PARSE_OK : AMB_PARSE_BAD;
}

static int by_name(const void *a, const void *b) {
    return strcmp(a, b);
}

/* Sorts the names and keeps each once. */
static void keep_each_once(struct amb_job_dependencies *awaits) {
    uint32_t kept = 0;
    qsort(awaits->names, awaits->count, sizeof *awaits->names, by_name);
    for (uint32_t i = 0; i < awaits->count; i++) {
        if (kept && !strcmp(awaits->names[kept - 1], awaits->names[i])) continue;
        if (kept != i) memcpy(awaits->names[kept], awaits->names[i], AMB_NAME_SIZE);
        kept++;
    }
    awaits->count = kept;
}

enum amb_parse amb_codec_awaits(const cbor_item_t *map, struct amb_job_dependencies **out) {
    const cbor_item_t *list = amb_cbor_get(map, "awaits");
    *out = NULL;
    if (amb_cbor_absent(list)) return AMB_PARSE_OK;
    if (!cbor_isa_array(list)) return AMB_PARSE_BAD;
    size_t count = amb_cbor_len(list);
    if (!count) return AMB_PARSE_OK;
    struct amb_job_dependencies *awaits = amb_alloc(sizeof *awaits + count * sizeof *awaits->names);
    for (size_t i = 0; i < count; i++) {
        char *name = awaits->names[awaits->count++];
        if (amb_cbor_str(amb_cbor_at(list, i), name, AMB_NAME_SIZE) && amb_ref_ok(name)) continue;
        free(awaits);
        return AMB_PARSE_BAD;
    }
    keep_each_once(awaits);
    *out = awaits;
    return AMB_PARSE_OK;
}

void amb_codec_put_spec(struct amb_buf *out, const struct amb_job_spec *spec) {
    amb_codec_put_job(out, spec, NULL);
}

void amb_codec_put_job(struct amb_buf *out, const struct amb_job_spec *spec,
                       const struct amb_job_dependencies *awaits) {
    amb_w_map(out, 17u + (spec->zone[0] != 0) + (spec->deadline_s > 0) + (spec->allowed_type_count > 0) +
                       (awaits != NULL));
    amb_put_text(out, "ref", spec->ref);
    amb_put_text(out, "berth", spec->class_name);
    amb_put_text(out, "crew", spec->team);
    amb_put_text(out, "cask", spec->image);
    amb_put_text(out, "shape", amb_word_text(kinds, spec->kind));
    amb_put_text(out, "rank", amb_word_text(priorities, spec->priority));
    amb_w_str(out, "legs");
    amb_w_uint(out, spec->task_count);
    amb_put_amount(out, "vcpus", spec->task_resources.cpus);
    amb_put_amount(out, "accelerators", spec->task_resources.gpus);
    amb_put_amount(out, "ram_gb", spec->task_resources.memory_gb);
    amb_put_amount(out, "size_gb", spec->image_gb);
    amb_put_amount(out, "reckon_s", spec->estimated_runtime_s);
    amb_put_amount(out, "mark_s", spec->checkpoint_interval_s);
    amb_put_amount(out, "stow_s", spec->checkpoint_save_s);
    amb_put_flag(out, "one_zone", spec->one_zone);
    amb_put_flag(out, "scatter", spec->spread_zones);
    amb_put_flag(out, "driftwood", spec->spot_allowed);
    if (spec->zone[0]) amb_put_text(out, "yard", spec->zone);
    if (spec->deadline_s > 0) amb_put_amount(out, "due_s", spec->deadline_s);
    if (spec->allowed_type_count) {
        amb_w_str(out, "hulls");
        amb_w_list(out, spec->allowed_type_count);
        for (uint32_t i = 0; i < spec->allowed_type_count; i++) amb_w_str(out, spec->allowed_types[i]);
    }
    if (awaits) {
        amb_w_str(out, "awaits");
        amb_w_list(out, awaits->count);
        for (uint32_t i = 0; i < awaits->count; i++) amb_w_str(out, awaits->names[i]);
    }
}
