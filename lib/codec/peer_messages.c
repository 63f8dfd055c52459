/* Encodes and decodes messages between controllers. */
#include "amberpin/codec/peer_messages.h"

#include "amberpin/codec/json_parse.h"

#include <jansson.h>
#include <string.h>

/* ---- names on the wire ---- */

static const char FROM[] = "from";
static const char LOADED[] = "loaded";
static const char TERM[] = "term";
static const char LEADING[] = "leading";
static const char STORE[] = "store";
static const char REPORTS_ARRIVE[] = "reports_arrive";
static const char FORMAT[] = "format";
static const char LIMITS_LOWERED[] = "limits_lowered";
static const char DUTIES[] = "duties";
static const char CANCELLED[] = "cancelled";
static const char EPOCH[] = "epoch";
static const char TOKEN_GRANT[] = "token_grant";
static const char IMAGES[] = "images";
static const char JOBS[] = "jobs";

/* Fields of cancellation notices. */
static const char NOTICE_REF[] = "ref";
static const char NOTICE_WALL[] = "wall";
static const char NOTICE_STAMP[] = "stamp";

/* A message is a JSON tree; jansson keeps the reference count. */
static json_t *to_json(const struct amb_peer_message *message) {
    return (json_t *)message;
}

static struct amb_peer_message *from_json(json_t *json) {
    return (struct amb_peer_message *)json;
}

static const json_t *get_field(const struct amb_peer_message *message, const char *name) {
    return json_object_get(to_json(message), name);
}

/* ---- errors ---- */

static struct amb_peer_message_error make_error(enum amb_peer_message_fault fault, const char *field) {
    return (struct amb_peer_message_error){fault, field};
}

const char *amb_peer_message_fault_name(enum amb_peer_message_fault fault) {
    switch (fault) {
    case AMB_PEER_MESSAGE_OK: return "ok";
    case AMB_PEER_MESSAGE_NOT_JSON: return "not JSON";
    case AMB_PEER_MESSAGE_TOO_LARGE: return "of more values than memory allows";
    case AMB_PEER_MESSAGE_FIELD_MISSING: return "missing";
    case AMB_PEER_MESSAGE_FIELD_TYPE: return "of the wrong type";
    case AMB_PEER_MESSAGE_FIELD_RANGE: return "out of range";
    }
    return "unknown";
}

/* ---- ownership of messages ---- */

struct amb_peer_message_error amb_peer_message_parse(const char *text, size_t len, size_t max_bytes,
                                                     struct amb_peer_message **message) {
    bool is_too_large;
    *message = from_json(amb_json_parse(text, len, max_bytes, &is_too_large));
    if (*message) return make_error(AMB_PEER_MESSAGE_OK, NULL);
    return make_error(is_too_large ? AMB_PEER_MESSAGE_TOO_LARGE : AMB_PEER_MESSAGE_NOT_JSON, NULL);
}

struct amb_peer_message *amb_peer_message_new(const char *sender, const struct amb_peer_status *status) {
    json_t *json = json_object();
    json_object_set_new(json, FROM, json_string(sender));
    json_object_set_new(json, LOADED, json_boolean(status->has_read_store));
    json_object_set_new(json, TERM, json_integer((json_int_t)status->term));
    json_object_set_new(json, LEADING, json_boolean(status->is_leader));
    json_object_set_new(json, STORE, json_boolean(status->store_reachable));
    json_object_set_new(json, REPORTS_ARRIVE, json_boolean(status->receives_agent_heartbeats));
    if (status->format) json_object_set_new(json, FORMAT, json_integer(status->format));
    if (status->limits_lowered) json_object_set_new(json, LIMITS_LOWERED, json_true());
    if (status->duties_record_version)
        json_object_set_new(json, DUTIES, json_integer(status->duties_record_version));
    json_object_set_new(json, CANCELLED, json_array());
    return from_json(json);
}

struct amb_peer_message *amb_peer_message_retain(struct amb_peer_message *message) {
    return from_json(json_incref(to_json(message)));
}

void amb_peer_message_release(struct amb_peer_message *message) {
    json_decref(to_json(message));
}

/* ---- encoding ---- */

void amb_peer_message_add_cancellation(struct amb_peer_message *message,
                                       const struct amb_peer_cancellation *cancellation) {
    json_t *row = json_pack("[s,I,I]", cancellation->ref, (json_int_t)cancellation->cancelled_wall_ms,
                            (json_int_t)cancellation->revision);
    json_array_append_new(json_object_get(to_json(message), CANCELLED), row);
}

void amb_peer_message_set_known_revision(struct amb_peer_message *message, uint64_t revision) {
    json_object_set_new(to_json(message), EPOCH, json_integer((json_int_t)revision));
}

void amb_peer_message_add_leader_part(struct amb_peer_message *message, double token_loan) {
    json_t *json = to_json(message);
    json_object_set_new(json, TOKEN_GRANT, json_real(token_loan));
    json_object_set_new(json, IMAGES, json_object());
    json_object_set_new(json, JOBS, json_array());
}

void amb_peer_message_add_machine_images(struct amb_peer_message *message,
                                         const struct amb_peer_machine_images *images) {
    json_t *list = json_array();
    for (uint32_t i = 0; i < images->count; i++) {
        json_t *image = json_array();
        json_array_append_new(image, json_string(images->images[i].name));
        json_array_append_new(image, json_real(images->images[i].size_gb));
        json_array_append_new(list, image);
    }
    json_object_set_new(json_object_get(to_json(message), IMAGES), images->machine, list);
}

void amb_peer_message_add_progress(struct amb_peer_message *message,
                                   const struct amb_peer_job_progress *progress) {
    json_t *row =
        json_pack("[s,I,I]", progress->ref, (json_int_t)progress->done, (json_int_t)progress->running);
    json_array_append_new(json_object_get(to_json(message), JOBS), row);
}

char *amb_peer_message_to_text(const struct amb_peer_message *message) {
    return json_dumps(to_json(message), JSON_COMPACT);
}

/* ---- decoding the fixed part ---- */

static struct amb_peer_message_error decode_text(const struct amb_peer_message *message, const char *name,
                                                 const char **value) {
    const json_t *field = get_field(message, name);
    *value = json_string_value(field);
    if (!field) return make_error(AMB_PEER_MESSAGE_FIELD_MISSING, name);
    if (!*value) return make_error(AMB_PEER_MESSAGE_FIELD_TYPE, name);
    return make_error(AMB_PEER_MESSAGE_OK, NULL);
}

struct amb_peer_message_error amb_peer_message_sender(const struct amb_peer_message *message,
                                                      const char **sender) {
    return decode_text(message, FROM, sender);
}

struct amb_peer_message_header amb_peer_message_header(const struct amb_peer_message *message) {
    json_int_t revision = json_integer_value(get_field(message, EPOCH));
    return (struct amb_peer_message_header){
        .known_revision = revision > 0 ? (uint64_t)revision : 0,
        .token_loan = json_number_value(get_field(message, TOKEN_GRANT)),
    };
}

static struct amb_peer_message_error decode_bool(const struct amb_peer_message *message, const char *name,
                                                 bool *value) {
    const json_t *field = get_field(message, name);
    if (!field) return make_error(AMB_PEER_MESSAGE_FIELD_MISSING, name);
    if (!json_is_boolean(field)) return make_error(AMB_PEER_MESSAGE_FIELD_TYPE, name);
    *value = json_is_true(field);
    return make_error(AMB_PEER_MESSAGE_OK, NULL);
}

static struct amb_peer_message_error decode_int(const struct amb_peer_message *message, const char *name,
                                                int64_t *value) {
    const json_t *field = get_field(message, name);
    if (!field) return make_error(AMB_PEER_MESSAGE_FIELD_MISSING, name);
    if (!json_is_integer(field)) return make_error(AMB_PEER_MESSAGE_FIELD_TYPE, name);
    *value = json_integer_value(field);
    return make_error(AMB_PEER_MESSAGE_OK, NULL);
}

static struct amb_peer_message_error decode_unsigned(const struct amb_peer_message *message, const char *name,
                                                     uint64_t *value) {
    int64_t number;
    struct amb_peer_message_error error = decode_int(message, name, &number);
    if (error.fault) return error;
    if (number < 0) return make_error(AMB_PEER_MESSAGE_FIELD_RANGE, name);
    *value = (uint64_t)number;
    return error;
}

struct amb_peer_message_error amb_peer_message_status(const struct amb_peer_message *message,
                                                      struct amb_peer_status *status) {
    struct amb_peer_status decoded = {0};
    struct amb_peer_message_error error = decode_unsigned(message, TERM, &decoded.term);
    if (!error.fault) error = decode_bool(message, LOADED, &decoded.has_read_store);
    if (!error.fault) error = decode_bool(message, LEADING, &decoded.is_leader);
    if (!error.fault) error = decode_bool(message, STORE, &decoded.store_reachable);
    if (!error.fault) error = decode_bool(message, REPORTS_ARRIVE, &decoded.receives_agent_heartbeats);
    if (error.fault) return error;
    decoded.limits_lowered = json_is_true(get_field(message, LIMITS_LOWERED));
    decoded.format = json_integer_value(get_field(message, FORMAT));
    decoded.duties_record_version = json_integer_value(get_field(message, DUTIES));
    *status = decoded;
    return error;
}

/* ---- decoding rows ----
 * Rows are read with getters: json_unpack parses its format string for each row, which took most of the time
 * of a heartbeat. */

struct amb_peer_message_rows amb_peer_message_cancellations(const struct amb_peer_message *message) {
    return (struct amb_peer_message_rows){.list = get_field(message, CANCELLED)};
}

struct amb_peer_message_rows amb_peer_message_progress(const struct amb_peer_message *message) {
    return (struct amb_peer_message_rows){.list = get_field(message, JOBS)};
}

static bool decode_cancellation(const json_t *row, struct amb_peer_cancellation *cancellation) {
    const char *ref = json_string_value(json_array_get(row, 0));
    const json_t *wall = json_array_get(row, 1);
    const json_t *revision = json_array_get(row, 2);
    if (!ref || !json_is_integer(wall) || !json_is_integer(revision)) return false;
    *cancellation = (struct amb_peer_cancellation){
        .ref = ref,
        .cancelled_wall_ms = json_integer_value(wall),
        .revision = (uint64_t)json_integer_value(revision),
    };
    return true;
}

bool amb_peer_message_next_cancellation(struct amb_peer_message_rows *rows,
                                        struct amb_peer_cancellation *cancellation) {
    while (rows->position < json_array_size(rows->list))
        if (decode_cancellation(json_array_get(rows->list, rows->position++), cancellation)) return true;
    return false;
}

static bool decode_progress(const json_t *row, struct amb_peer_job_progress *progress) {
    const char *ref = json_string_value(json_array_get(row, 0));
    const json_t *done = json_array_get(row, 1);
    const json_t *running = json_array_get(row, 2);
    if (!ref || !json_is_integer(done) || !json_is_integer(running)) return false;
    *progress = (struct amb_peer_job_progress){
        .ref = ref,
        .done = (uint32_t)json_integer_value(done),
        .running = (uint32_t)json_integer_value(running),
    };
    return true;
}

bool amb_peer_message_next_progress(struct amb_peer_message_rows *rows,
                                    struct amb_peer_job_progress *progress) {
    while (rows->position < json_array_size(rows->list))
        if (decode_progress(json_array_get(rows->list, rows->position++), progress)) return true;
    return false;
}

bool amb_peer_message_has_images(const struct amb_peer_message *message) {
    return json_is_object(get_field(message, IMAGES));
}

static bool decode_image(const json_t *row, struct amb_peer_image *image) {
    const char *name = json_string_value(json_array_get(row, 0));
    const json_t *size_gb = json_array_get(row, 1);
    if (!name || !json_is_number(size_gb) || strlen(name) >= AMB_NAME_SIZE) return false;
    strcpy(image->name, name);
    image->size_gb = json_number_value(size_gb);
    return true;
}

static bool decode_machine_images(const char *machine, const json_t *list,
                                  struct amb_peer_machine_images *images) {
    if (strlen(machine) >= AMB_NAME_SIZE) return false;
    strcpy(images->machine, machine);
    images->count = 0;
    for (size_t i = 0; i < json_array_size(list) && images->count < AMB_IMAGES_MAX; i++)
        if (decode_image(json_array_get(list, i), &images->images[images->count])) images->count++;
    return true;
}

bool amb_peer_message_next_machine_images(const struct amb_peer_message *message, void **position,
                                          struct amb_peer_machine_images *images) {
    json_t *machines = json_object_get(to_json(message), IMAGES);
    void *at = *position ? json_object_iter_next(machines, *position) : json_object_iter(machines);
    for (; at; at = json_object_iter_next(machines, at)) {
        if (!decode_machine_images(json_object_iter_key(at), json_object_iter_value(at), images)) continue;
        *position = at;
        return true;
    }
    return false;
}

/* ---- cancellation notices ---- */

char *amb_peer_notice_to_text(const struct amb_peer_cancellation *cancellation) {
    json_t *notice = json_object();
    json_object_set_new(notice, NOTICE_REF, json_string(cancellation->ref));
    json_object_set_new(notice, NOTICE_WALL, json_integer((json_int_t)cancellation->cancelled_wall_ms));
    json_object_set_new(notice, NOTICE_STAMP, json_integer((json_int_t)cancellation->revision));
    char *text = json_dumps(notice, JSON_COMPACT);
    json_decref(notice);
    return text;
}

struct amb_peer_message_error amb_peer_message_notice(const struct amb_peer_message *message,
                                                      struct amb_peer_cancellation *cancellation) {
    struct amb_peer_cancellation decoded = {0};
    struct amb_peer_message_error error = decode_text(message, NOTICE_REF, &decoded.ref);
    if (!error.fault) error = decode_int(message, NOTICE_WALL, &decoded.cancelled_wall_ms);
    if (!error.fault) error = decode_unsigned(message, NOTICE_STAMP, &decoded.revision);
    if (!error.fault) *cancellation = decoded;
    return error;
}
