#include "amberpin/duty/record_codec.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const record_states[] = {"held", "released"};
static const char *const intent_states[] = {"wanted", "sent", "settled"};
static const char *const results[] = {"none", "done", "refused", "malformed", "gone", "void"};
static const char *const modes[] = {"leader", "duties"};

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))

/* ---- payloads of intents ---- */

void amb_duty_intent_payload_free(struct amb_duty_intent_payload *payload) {
    free(payload->machines);
    memset(payload, 0, sizeof *payload);
}

bool amb_duty_intent_payload_add_machine(struct amb_duty_intent_payload *payload, const char *machine) {
    if (payload->machine_count == AMB_DUTY_MAX_MACHINES || strlen(machine) >= AMB_NAME_SIZE) return false;
    payload->machines =
        amb_realloc(payload->machines, (payload->machine_count + 1) * sizeof *payload->machines);
    strcpy(payload->machines[payload->machine_count++], machine);
    return true;
}

/* Sizes are those of the JSON encoding. The fixed part covers field names, numbers and up to four names of
 * AMB_NAME_SIZE bytes. */
uint32_t amb_duty_max_machines(double value_kb) {
    enum { FIXED_BYTES = 480, BYTES_PER_MACHINE = 20, BYTES_PER_KB = 1024 };
    double capacity = (value_kb * BYTES_PER_KB - FIXED_BYTES) / BYTES_PER_MACHINE;
    if (capacity < 1) return 1;
    return capacity > AMB_DUTY_MAX_MACHINES ? AMB_DUTY_MAX_MACHINES : (uint32_t)capacity;
}

const char *amb_duty_mode_text(enum amb_duty_mode mode) {
    return modes[mode];
}

/* ---- encoding ---- */

static void write_text(struct amb_buf *out, const char *name, const char *text) {
    amb_cbor_write_string(out, name);
    amb_cbor_write_string(out, text);
}

static void write_number(struct amb_buf *out, const char *name, uint64_t number) {
    amb_cbor_write_string(out, name);
    amb_cbor_write_uint(out, number);
}

static void write_flag(struct amb_buf *out, const char *name, bool flag) {
    amb_cbor_write_string(out, name);
    amb_cbor_write_bool(out, flag);
}

void amb_duty_encode_member(struct amb_buf *out, const struct amb_duty_member_record *member) {
    amb_cbor_write_map(out, 2);
    write_number(out, "form", AMB_DUTY_RECORD_VERSION);
    write_number(out, "nonce", member->nonce);
}

void amb_duty_encode_record(struct amb_buf *out, const struct amb_duty_record *record) {
    amb_cbor_write_map(out, 8);
    write_number(out, "form", AMB_DUTY_RECORD_VERSION);
    write_text(out, "state", record_states[record->state]);
    write_text(out, "holder", record->holder);
    write_number(out, "session", record->holder_incarnation);
    write_number(out, "token", record->fencing_token);
    write_number(out, "nonce", record->nonce);
    write_text(out, "successor", record->successor);
    write_text(out, "cause", record->cause);
}

static void write_machines(struct amb_buf *out, const struct amb_duty_intent_payload *payload) {
    amb_cbor_write_string(out, "machines");
    amb_cbor_write_list(out, payload->machine_count);
    for (uint32_t i = 0; i < payload->machine_count; i++) amb_cbor_write_string(out, payload->machines[i]);
}

void amb_duty_encode_intent(struct amb_buf *out, const struct amb_duty_intent_record *intent,
                            const struct amb_duty_intent_payload *payload) {
    enum { COMMON_FIELDS = 8, SCALE_OUT_FIELDS = 4, SCALE_IN_FIELDS = 1 };
    bool is_scale_out = intent->duty == AMB_DUTY_RENT;
    amb_cbor_write_map(out, COMMON_FIELDS + (is_scale_out ? SCALE_OUT_FIELDS : SCALE_IN_FIELDS));
    write_number(out, "form", AMB_DUTY_RECORD_VERSION);
    write_text(out, "state", intent_states[intent->state]);
    write_text(out, "result", results[intent->result]);
    write_number(out, "token", intent->fencing_token);
    write_number(out, "unanswered", intent->unanswered);
    write_flag(out, "withdrawn", intent->withdrawn);
    write_number(out, "at", (uint64_t)payload->created_wall_ms);
    write_machines(out, payload);
    if (!is_scale_out) {
        write_text(out, "reason", payload->reason);
        return;
    }
    write_text(out, "type", payload->type);
    write_text(out, "zone", payload->zone);
    write_flag(out, "spot", payload->spot);
    write_number(out, "count", payload->count);
}

void amb_duty_encode_mode(struct amb_buf *out, enum amb_duty_mode mode) {
    amb_cbor_write_map(out, 2);
    write_number(out, "form", AMB_DUTY_RECORD_VERSION);
    write_text(out, "mode", modes[mode]);
}

void amb_duty_encode_handover(struct amb_buf *out, const struct amb_duty_handover *handover) {
    amb_cbor_write_map(out, 2);
    write_number(out, "form", AMB_DUTY_RECORD_VERSION);
    write_text(out, "to", handover->successor);
}

/* ---- decoding ---- */

static enum amb_duty_decode_result check_version(const struct amb_cbor_item *value) {
    uint64_t version;
    if (!amb_cbor_get_uint(amb_cbor_map_get(value, "form"), &version) || !version) return AMB_DUTY_MALFORMED;
    return version > AMB_DUTY_RECORD_VERSION ? AMB_DUTY_NEWER_VERSION : AMB_DUTY_DECODED;
}

/* Returns the index of the text in `names`, or -1 if it is not one of them. */
static int read_choice(const struct amb_cbor_item *item, const char *const *names, size_t count) {
    for (size_t i = 0; i < count; i++)
        if (amb_cbor_equals(item, names[i])) return (int)i;
    return -1;
}

static bool read_text(const struct amb_cbor_item *value, const char *name, char *out, size_t cap) {
    return amb_cbor_copy_string(amb_cbor_map_get(value, name), out, cap);
}

static bool read_number(const struct amb_cbor_item *value, const char *name, uint64_t *out) {
    return amb_cbor_get_uint(amb_cbor_map_get(value, name), out);
}

static bool read_count(const struct amb_cbor_item *value, const char *name, uint32_t *out) {
    uint64_t number;
    if (!read_number(value, name, &number) || number > UINT32_MAX) return false;
    *out = (uint32_t)number;
    return true;
}

enum amb_duty_decode_result amb_duty_decode_member(const struct amb_cbor_item *value,
                                                   struct amb_duty_member_record *out) {
    enum amb_duty_decode_result version = check_version(value);
    if (version != AMB_DUTY_DECODED) return version;
    if (!read_number(value, "nonce", &out->nonce)) return AMB_DUTY_MALFORMED;
    out->present = true;
    return AMB_DUTY_DECODED;
}

enum amb_duty_decode_result amb_duty_decode_record(const struct amb_cbor_item *value,
                                                   struct amb_duty_record *out) {
    enum amb_duty_decode_result version = check_version(value);
    if (version != AMB_DUTY_DECODED) return version;
    int state = read_choice(amb_cbor_map_get(value, "state"), record_states, COUNT(record_states));
    if (state < 0 || !read_text(value, "holder", out->holder, sizeof out->holder) ||
        !read_number(value, "session", &out->holder_incarnation) ||
        !read_number(value, "token", &out->fencing_token) || !read_number(value, "nonce", &out->nonce) ||
        !read_text(value, "successor", out->successor, sizeof out->successor) ||
        !read_text(value, "cause", out->cause, sizeof out->cause))
        return AMB_DUTY_MALFORMED;
    out->state = (enum amb_duty_record_state)state;
    out->present = true;
    return AMB_DUTY_DECODED;
}

static bool read_machines(const struct amb_cbor_item *value, struct amb_duty_intent_payload *payload) {
    struct amb_cbor_cursor machines = amb_cbor_list_begin(amb_cbor_map_get(value, "machines"));
    const struct amb_cbor_item *machine;
    while ((machine = amb_cbor_next(&machines)) != NULL) {
        char name[AMB_NAME_SIZE];
        if (!amb_cbor_copy_string(machine, name, sizeof name) ||
            !amb_duty_intent_payload_add_machine(payload, name))
            return false;
    }
    return true;
}

static bool read_payload(const struct amb_cbor_item *value, enum amb_duty_name duty,
                         struct amb_duty_intent_payload *payload) {
    uint64_t at;
    if (!read_number(value, "at", &at) || !read_machines(value, payload)) return false;
    payload->created_wall_ms = (int64_t)at;
    if (duty != AMB_DUTY_RENT) return read_text(value, "reason", payload->reason, sizeof payload->reason);
    return read_text(value, "type", payload->type, sizeof payload->type) &&
           read_text(value, "zone", payload->zone, sizeof payload->zone) &&
           amb_cbor_get_bool(amb_cbor_map_get(value, "spot"), &payload->spot) &&
           read_count(value, "count", &payload->count);
}

enum amb_duty_decode_result amb_duty_decode_intent(const struct amb_cbor_item *value,
                                                   struct amb_duty_intent_record *out,
                                                   struct amb_duty_intent_payload *payload) {
    memset(payload, 0, sizeof *payload);
    enum amb_duty_decode_result version = check_version(value);
    if (version != AMB_DUTY_DECODED) return version;
    int state = read_choice(amb_cbor_map_get(value, "state"), intent_states, COUNT(intent_states));
    int result = read_choice(amb_cbor_map_get(value, "result"), results, COUNT(results));
    if (state < 0 || result < 0 || !read_number(value, "token", &out->fencing_token) ||
        !read_count(value, "unanswered", &out->unanswered) ||
        !amb_cbor_get_bool(amb_cbor_map_get(value, "withdrawn"), &out->withdrawn) ||
        !read_payload(value, out->duty, payload)) {
        amb_duty_intent_payload_free(payload);
        return AMB_DUTY_MALFORMED;
    }
    out->state = (enum amb_duty_intent_state)state;
    out->result = (enum amb_duty_intent_result)result;
    out->present = true;
    return AMB_DUTY_DECODED;
}

enum amb_duty_decode_result amb_duty_decode_mode(const struct amb_cbor_item *value, enum amb_duty_mode *out) {
    enum amb_duty_decode_result version = check_version(value);
    if (version != AMB_DUTY_DECODED) return version;
    int mode = read_choice(amb_cbor_map_get(value, "mode"), modes, COUNT(modes));
    if (mode < 0) return AMB_DUTY_MALFORMED;
    *out = (enum amb_duty_mode)mode;
    return AMB_DUTY_DECODED;
}

enum amb_duty_decode_result amb_duty_decode_handover(const struct amb_cbor_item *value,
                                                     struct amb_duty_handover *out) {
    enum amb_duty_decode_result version = check_version(value);
    if (version != AMB_DUTY_DECODED) return version;
    if (!read_text(value, "to", out->successor, sizeof out->successor)) return AMB_DUTY_MALFORMED;
    return AMB_DUTY_DECODED;
}

/* ---- keys ---- */

void amb_duty_member_key(char out[AMB_DUTY_KEY_SIZE], const char *member) {
    snprintf(out, AMB_DUTY_KEY_SIZE, "%s%s", AMB_DUTY_MEMBER_KEYS, member);
}

void amb_duty_record_key(char out[AMB_DUTY_KEY_SIZE], enum amb_duty_name duty) {
    snprintf(out, AMB_DUTY_KEY_SIZE, "%s%s", AMB_DUTY_RECORD_KEYS, amb_duty_name_text(duty));
}

void amb_duty_handover_key(char out[AMB_DUTY_KEY_SIZE], enum amb_duty_name duty) {
    snprintf(out, AMB_DUTY_KEY_SIZE, "%s%s", AMB_DUTY_HANDOVER_KEYS, amb_duty_name_text(duty));
}

void amb_duty_intent_key(char out[AMB_DUTY_KEY_SIZE], enum amb_duty_name duty, const char *id) {
    snprintf(out, AMB_DUTY_KEY_SIZE, "%s%s/%s", AMB_DUTY_INTENT_KEYS, amb_duty_name_text(duty), id);
}

bool amb_duty_parse_intent_key(const char *key, enum amb_duty_name *duty, char id[AMB_DUTY_INTENT_ID_SIZE]) {
    enum { PREFIX_LENGTH = sizeof AMB_DUTY_INTENT_KEYS - 1, MAX_NAME_SIZE = 16 };
    if (strncmp(key, AMB_DUTY_INTENT_KEYS, PREFIX_LENGTH) != 0) return false;
    const char *name = key + PREFIX_LENGTH, *slash = strchr(name, '/');
    char text[MAX_NAME_SIZE];
    if (!slash || (size_t)(slash - name) >= sizeof text || !slash[1] ||
        strlen(slash + 1) >= AMB_DUTY_INTENT_ID_SIZE)
        return false;
    snprintf(text, sizeof text, "%.*s", (int)(slash - name), name);
    snprintf(id, AMB_DUTY_INTENT_ID_SIZE, "%s", slash + 1);
    return amb_duty_name_parse(text, duty);
}
