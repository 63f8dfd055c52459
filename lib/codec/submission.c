/* Encodes and decodes job descriptions, which submissions and job records contain. */
#include "amberpin/codec/messages.h"
#include "amberpin/codec/user_messages.h"
#include "fields.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

enum { JOB_REF_LEN_MAX = 48, REQUIRED_FIELDS = 17 };

static const char DEPENDENCIES[] = "awaits";

static const struct amb_codec_enum_name kinds[] = {
    {"batch", AMB_JOB_KIND_ARRAY}, {"ensemble", AMB_JOB_KIND_GANG}, {"daemon", AMB_JOB_KIND_SERVICE}, {0, 0}};
static const struct amb_codec_enum_name priorities[] = {{"prod", AMB_PRIORITY_PRODUCTION},
                                                        {"high", AMB_PRIORITY_HIGH},
                                                        {"normal", AMB_PRIORITY_NORMAL},
                                                        {"best_effort", AMB_PRIORITY_BEST_EFFORT},
                                                        {0, 0}};

/* "wk-" and one to 45 letters, digits, hyphens or underscores. */
bool amb_codec_is_job_ref(const char *ref) {
    static const char prefix[] = "wk-";
    const size_t prefix_len = sizeof prefix - 1;
    size_t len = strlen(ref);
    if (len <= prefix_len || len > JOB_REF_LEN_MAX || strncmp(ref, prefix, prefix_len)) return false;
    for (const char *character = ref + prefix_len; *character; character++)
        if (!isalnum((unsigned char)*character) && *character != '-' && *character != '_') return false;
    return true;
}

/* ---- decoding ---- */

/* Reads the fields of a submission one by one and keeps the first error. */
struct field_reader {
    const struct amb_cbor_item *map;
    struct amb_submission_error error;
};

/* Returns `valid`. If the field is invalid and the first such, it becomes the reader's error. */
static bool check_field(struct field_reader *reader, const char *key, bool valid) {
    if (valid) return true;
    bool is_missing = amb_cbor_is_absent(amb_cbor_map_get(reader->map, key));
    reader->error.problem = is_missing ? AMB_SUBMISSION_FIELD_MISSING : AMB_SUBMISSION_FIELD_INVALID;
    reader->error.field = key;
    return false;
}

static bool read_name(struct field_reader *reader, const char *key, char out[AMB_NAME_SIZE]) {
    return check_field(reader, key, amb_codec_read_name(reader->map, key, out));
}

static bool read_amount(struct field_reader *reader, const char *key, double *out) {
    return check_field(reader, key, amb_codec_read_amount(reader->map, key, out));
}

static bool read_flag(struct field_reader *reader, const char *key, bool *out) {
    return check_field(reader, key, amb_cbor_get_bool(amb_cbor_map_get(reader->map, key), out));
}

static bool read_enum(struct field_reader *reader, const char *key, const struct amb_codec_enum_name *names,
                      int *out) {
    return check_field(reader, key, amb_codec_read_enum(names, amb_cbor_map_get(reader->map, key), out));
}

static bool is_absent(const struct field_reader *reader, const char *key) {
    return amb_cbor_is_absent(amb_cbor_map_get(reader->map, key));
}

static bool read_names(struct field_reader *reader, struct amb_job_spec *spec) {
    return read_name(reader, "ref", spec->ref) &&
           check_field(reader, "ref", amb_codec_is_job_ref(spec->ref)) &&
           read_name(reader, "berth", spec->class_name) && read_name(reader, "crew", spec->team) &&
           read_name(reader, "cask", spec->image);
}

static bool read_enums(struct field_reader *reader, struct amb_job_spec *spec) {
    int kind, priority;
    if (!read_enum(reader, "shape", kinds, &kind)) return false;
    if (!read_enum(reader, "rank", priorities, &priority)) return false;
    spec->kind = (enum amb_job_kind)kind;
    spec->priority = (enum amb_priority)priority;
    return true;
}

static bool read_task_count(struct field_reader *reader, struct amb_job_spec *spec) {
    uint64_t count = 0;
    bool is_uint = amb_cbor_get_uint(amb_cbor_map_get(reader->map, "legs"), &count);
    if (!check_field(reader, "legs", is_uint && count && count <= AMB_TASKS_MAX)) return false;
    spec->task_count = (uint32_t)count;
    return true;
}

static bool read_amounts(struct field_reader *reader, struct amb_job_spec *spec) {
    return read_amount(reader, "vcpus", &spec->task_resources.cpus) &&
           read_amount(reader, "accelerators", &spec->task_resources.gpus) &&
           read_amount(reader, "ram_gb", &spec->task_resources.memory_gb) &&
           read_amount(reader, "size_gb", &spec->image_gb) &&
           read_amount(reader, "reckon_s", &spec->estimated_runtime_s) &&
           read_amount(reader, "mark_s", &spec->checkpoint_interval_s) &&
           read_amount(reader, "stow_s", &spec->checkpoint_save_s);
}

static bool read_flags(struct field_reader *reader, struct amb_job_spec *spec) {
    return read_flag(reader, "one_zone", &spec->one_zone) &&
           read_flag(reader, "scatter", &spec->spread_zones) &&
           read_flag(reader, "driftwood", &spec->spot_allowed);
}

static bool decode_types(const struct amb_cbor_item *types, struct amb_job_spec *spec) {
    size_t count = amb_cbor_list_length(types);
    if (!count || count > AMB_ALLOWED_TYPES_MAX) return false;
    struct amb_cbor_cursor position = amb_cbor_list_begin(types);
    for (size_t i = 0; i < count; i++) {
        char *name = spec->allowed_types[i];
        if (!amb_cbor_copy_string(amb_cbor_next(&position), name, AMB_NAME_SIZE)) return false;
        if (!amb_codec_is_plain_name(name)) return false;
    }
    spec->allowed_type_count = (uint32_t)count;
    return true;
}

static bool read_optional_fields(struct field_reader *reader, struct amb_job_spec *spec) {
    if (!is_absent(reader, "yard") && !read_name(reader, "yard", spec->zone)) return false;
    if (!is_absent(reader, "due_s") && !read_amount(reader, "due_s", &spec->deadline_s)) return false;
    if (is_absent(reader, "hulls")) return true;
    return check_field(reader, "hulls", decode_types(amb_cbor_map_get(reader->map, "hulls"), spec));
}

static struct amb_submission_error decode_spec(const struct amb_cbor_item *map, struct amb_job_spec *spec) {
    struct field_reader reader = {.map = map, .error = {AMB_SUBMISSION_VALID, NULL}};
    memset(spec, 0, sizeof *spec);
    if (!amb_cbor_is_map(map))
        reader.error.problem = AMB_SUBMISSION_NOT_A_MAP;
    else if (read_names(&reader, spec) && read_enums(&reader, spec) && read_task_count(&reader, spec) &&
             read_amounts(&reader, spec) && read_flags(&reader, spec))
        read_optional_fields(&reader, spec);
    return reader.error;
}

enum amb_codec_result amb_codec_decode_spec(const struct amb_cbor_item *map, struct amb_job_spec *spec) {
    return decode_spec(map, spec).problem == AMB_SUBMISSION_VALID ? AMB_CODEC_OK : AMB_CODEC_MALFORMED;
}

/* Returns whether all items are names of jobs, and what they take with their terminating zeros. */
static bool measure_job_refs(const struct amb_cbor_item *list, size_t *text_bytes) {
    struct amb_cbor_cursor position = amb_cbor_list_begin(list);
    const struct amb_cbor_item *item;
    char name[AMB_NAME_SIZE];
    *text_bytes = 0;
    while ((item = amb_cbor_next(&position)) != NULL) {
        if (!amb_cbor_copy_string(item, name, sizeof name) || !amb_codec_is_job_ref(name)) return false;
        *text_bytes += strlen(name) + 1;
    }
    return true;
}

static struct amb_name_list *copy_job_refs(const struct amb_cbor_item *list, size_t text_bytes) {
    struct amb_name_list *names = amb_name_list_new(text_bytes);
    struct amb_cbor_cursor position = amb_cbor_list_begin(list);
    const struct amb_cbor_item *item;
    char name[AMB_NAME_SIZE];
    while ((item = amb_cbor_next(&position)) != NULL)
        if (amb_cbor_copy_string(item, name, sizeof name)) amb_name_list_append(names, name);
    return amb_name_list_normalize(names);
}

enum amb_codec_result amb_codec_decode_dependencies(const struct amb_cbor_item *map,
                                                    struct amb_name_list **out) {
    const struct amb_cbor_item *list = amb_cbor_map_get(map, DEPENDENCIES);
    size_t text_bytes;
    *out = NULL;
    if (amb_cbor_is_absent(list)) return AMB_CODEC_OK;
    if (!amb_cbor_is_list(list)) return AMB_CODEC_MALFORMED;
    /* The names are validated before memory is allocated for them. */
    if (!measure_job_refs(list, &text_bytes)) return AMB_CODEC_MALFORMED;
    if (text_bytes) *out = copy_job_refs(list, text_bytes);
    return AMB_CODEC_OK;
}

void amb_codec_decode_submission_ref(const struct amb_cbor_item *body, char job_ref[AMB_NAME_SIZE]) {
    if (!amb_cbor_copy_string(amb_cbor_map_get(body, "ref"), job_ref, AMB_NAME_SIZE)) job_ref[0] = 0;
}

struct amb_submission_error amb_codec_decode_submission_item(const struct amb_cbor_item *body,
                                                             struct amb_submission *submission) {
    struct amb_job_spec *spec = amb_alloc(sizeof *spec);
    memset(submission, 0, sizeof *submission);
    amb_codec_decode_submission_ref(body, submission->job_ref);
    struct amb_submission_error error = decode_spec(body, spec);
    if (error.problem == AMB_SUBMISSION_VALID &&
        amb_codec_decode_dependencies(body, &submission->dependencies) != AMB_CODEC_OK)
        error = (struct amb_submission_error){AMB_SUBMISSION_FIELD_INVALID, DEPENDENCIES};
    if (error.problem == AMB_SUBMISSION_VALID)
        submission->spec = spec;
    else
        free(spec);
    return error;
}

struct amb_submission_error amb_codec_decode_submission(const void *data, size_t len,
                                                        struct amb_submission *submission) {
    return amb_codec_decode_submission_item(amb_cbor_parse(data, len), submission);
}

const char *amb_submission_problem_text(enum amb_submission_problem problem) {
    switch (problem) {
    case AMB_SUBMISSION_VALID: return "valid";
    case AMB_SUBMISSION_NOT_A_MAP: return "not a map";
    case AMB_SUBMISSION_FIELD_MISSING: return "field missing";
    case AMB_SUBMISSION_FIELD_INVALID: return "field invalid";
    }
    return "unknown";
}

/* ---- encoding ---- */

static void put_types(struct amb_buf *out, const struct amb_job_spec *spec) {
    amb_cbor_write_string(out, "hulls");
    amb_cbor_write_list(out, spec->allowed_type_count);
    for (uint32_t i = 0; i < spec->allowed_type_count; i++)
        amb_cbor_write_string(out, spec->allowed_types[i]);
}

static void put_dependencies(struct amb_buf *out, const struct amb_name_list *dependencies) {
    amb_cbor_write_string(out, DEPENDENCIES);
    amb_cbor_write_list(out, dependencies->count);
    const char *name = amb_name_list_first(dependencies);
    for (uint32_t i = 0; i < dependencies->count; i++, name = amb_name_list_next(name))
        amb_cbor_write_string(out, name);
}

void amb_codec_encode_spec(struct amb_buf *out, const struct amb_job_spec *spec) {
    amb_codec_encode_job(out, spec, NULL);
}

void amb_codec_encode_job(struct amb_buf *out, const struct amb_job_spec *spec,
                          const struct amb_name_list *dependencies) {
    amb_cbor_write_map(out, REQUIRED_FIELDS + (spec->zone[0] != 0) + (spec->deadline_s > 0) +
                                (spec->allowed_type_count > 0) + (dependencies != NULL));
    amb_codec_put_text(out, "ref", spec->ref);
    amb_codec_put_text(out, "berth", spec->class_name);
    amb_codec_put_text(out, "crew", spec->team);
    amb_codec_put_text(out, "cask", spec->image);
    amb_codec_put_text(out, "shape", amb_codec_enum_text(kinds, spec->kind));
    amb_codec_put_text(out, "rank", amb_codec_enum_text(priorities, spec->priority));
    amb_codec_put_uint(out, "legs", spec->task_count);
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
    if (spec->allowed_type_count) put_types(out, spec);
    if (dependencies) put_dependencies(out, dependencies);
}
