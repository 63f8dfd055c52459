/* Workers' reports, from a tree of items or, as a rule, straight from their bytes. */
#include "amberpin/codec/cbor_reader.h"
#include "amberpin/codec/messages.h"
#include "fields.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

static const struct amb_codec_enum_name agent_states[] = {
    {"fetching", AMB_AGENT_TASK_FETCHING}, {"waiting", AMB_AGENT_TASK_WAITING},
    {"running", AMB_AGENT_TASK_RUNNING},   {"saving", AMB_AGENT_TASK_SAVING},
    {"exited", AMB_AGENT_TASK_EXITED},     {0, 0}};
static const struct amb_codec_enum_name exit_reasons[] = {{"done", AMB_EXIT_DONE},
                                                          {"stopped", AMB_EXIT_STOPPED},
                                                          {"peers", AMB_EXIT_GANG_PEER_GONE},
                                                          {"incomplete", AMB_EXIT_GANG_INCOMPLETE},
                                                          {"error", AMB_EXIT_ERROR},
                                                          {"full", AMB_EXIT_MACHINE_FULL},
                                                          {"busy", AMB_EXIT_ATTEMPT_CONFLICT},
                                                          {"unknown", AMB_EXIT_UNKNOWN_JOB},
                                                          {0, 0}};

static bool parse_task_name(char text[AMB_NAME_SIZE], char *ref, uint32_t *index) {
    char *slash = strchr(text, '/');
    if (!slash || !isdigit((unsigned char)slash[1])) return false;
    char *end;
    unsigned long i = strtoul(slash + 1, &end, 10);
    if (*end || i >= AMB_TASKS_MAX) return false;
    *slash = 0;
    strcpy(ref, text);
    *index = (uint32_t)i;
    return true;
}

static bool task_name(const cbor_item_t *item, char *ref, uint32_t *index) {
    char text[AMB_NAME_SIZE];
    return amb_cbor_copy_string(item, text, sizeof text) && parse_task_name(text, ref, index);
}

enum amb_codec_result amb_codec_decode_heartbeat_item(const cbor_item_t *map,
                                                      struct amb_agent_heartbeat *heartbeat) {
    memset(heartbeat, 0, sizeof *heartbeat);
    if (!map || !cbor_isa_map(map)) return AMB_CODEC_MALFORMED;
    if (!amb_codec_read_name(map, "rig", heartbeat->machine) ||
        !amb_codec_read_name(map, "address", heartbeat->address) ||
        !amb_codec_read_name(map, "hull", heartbeat->type) ||
        !amb_codec_read_name(map, "yard", heartbeat->zone) ||
        !amb_cbor_get_bool(amb_cbor_map_get(map, "driftwood"), &heartbeat->spot) ||
        !amb_cbor_get_uint(amb_cbor_map_get(map, "watch"), &heartbeat->incarnation) ||
        !amb_cbor_get_uint(amb_cbor_map_get(map, "tally"), &heartbeat->sequence) ||
        !amb_cbor_get_uint(amb_cbor_map_get(map, "baton"), &heartbeat->fencing_token))
        return AMB_CODEC_MALFORMED;
    heartbeat->reclaim_notice_s = -1;
    const cbor_item_t *notice = amb_cbor_map_get(map, "recall_s");
    if (!amb_cbor_is_absent(notice) && !amb_cbor_get_number(notice, &heartbeat->reclaim_notice_s))
        return AMB_CODEC_MALFORMED;
    const cbor_item_t *legs = amb_cbor_map_get(map, "legs");
    size_t count = amb_cbor_list_length(legs);
    heartbeat->tasks = amb_alloc((count + 1) * sizeof *heartbeat->tasks);
    for (size_t i = 0; i < count; i++) {
        const cbor_item_t *task = amb_cbor_list_item(legs, i);
        struct amb_agent_task *seen = &heartbeat->tasks[heartbeat->task_count];
        int agent_state, exit_reason = AMB_EXIT_NONE;
        if (!task_name(amb_cbor_map_get(task, "leg"), seen->job_ref, &seen->index) ||
            !amb_cbor_get_uint(amb_cbor_map_get(task, "try"), &seen->attempt) ||
            !amb_codec_read_enum(agent_states, amb_cbor_map_get(task, "stance"), &agent_state)) {
            amb_codec_free_heartbeat(heartbeat);
            return AMB_CODEC_MALFORMED;
        }
        amb_codec_read_enum(exit_reasons, amb_cbor_map_get(task, "cause"), &exit_reason);
        seen->state = (enum amb_agent_task_state)agent_state;
        seen->exit_reason = (enum amb_exit_reason)exit_reason;
        amb_cbor_get_bool(amb_cbor_map_get(task, "stored"), &seen->checkpoint_saved);
        heartbeat->task_count++;
    }
    return AMB_CODEC_OK;
}

/* ---- reports, straight from their bytes ----
 * Nothing is refused here: what these functions do not take as it is, amb_codec_decode_heartbeat_item judges.
 */

/* Which of the keys this is, as a bit; 0: none, and its value is to be skipped. A key that comes twice makes
 * the reader odd. */
static uint32_t read_key(struct amb_cbor_reader *reader, const char *const *keys, uint32_t *seen) {
    struct amb_cbor_dup_string key = amb_cbor_read_text(reader);
    for (uint32_t i = 0; keys[i]; i++) {
        if (!amb_cbor_text_equals(key, keys[i])) continue;
        if (*seen & 1u << i) reader->failed = true;
        *seen |= 1u << i;
        return 1u << i;
    }
    return 0;
}

static void read_name(struct amb_cbor_reader *reader, char out[AMB_NAME_SIZE]) {
    if (!amb_cbor_copy_text(reader, amb_cbor_read_text(reader), out, AMB_NAME_SIZE) ||
        !amb_codec_is_plain_name(out))
        reader->failed = true;
}

/* The value of a word; `unknown` when the list has no such word. */
static int read_enum(struct amb_cbor_reader *reader, const struct amb_codec_enum_name *words, int unknown) {
    struct amb_cbor_dup_string text = amb_cbor_read_text(reader);
    for (const struct amb_codec_enum_name *word = words; word->text; word++)
        if (amb_cbor_text_equals(text, word->text)) return word->value;
    return unknown;
}

enum { TASK_NAME = 1, TASK_ATTEMPT = 2, TASK_AGENT_STATE = 4, TASK_EXIT_REASON = 8, TASK_SAVED = 16 };
static const char *const task_keys[] = {"leg", "try", "stance", "cause", "stored", NULL};

static void read_task(struct amb_cbor_reader *reader, struct amb_agent_task *seen) {
    char name[AMB_NAME_SIZE];
    uint32_t keys = 0;
    int agent_state = -1;
    for (size_t pairs = amb_cbor_read_map(reader); pairs && !reader->failed; pairs--) {
        switch (read_key(reader, task_keys, &keys)) {
        case TASK_NAME:
            if (!amb_cbor_copy_text(reader, amb_cbor_read_text(reader), name, sizeof name) ||
                !parse_task_name(name, seen->job_ref, &seen->index))
                reader->failed = true;
            break;
        case TASK_ATTEMPT: seen->attempt = amb_cbor_read_uint(reader); break;
        case TASK_AGENT_STATE: agent_state = read_enum(reader, agent_states, -1); break;
        case TASK_EXIT_REASON:
            seen->exit_reason = (enum amb_exit_reason)read_enum(reader, exit_reasons, AMB_EXIT_NONE);
            break;
        case TASK_SAVED: seen->checkpoint_saved = amb_cbor_read_bool(reader); break;
        default: amb_cbor_skip_value(reader);
        }
    }
    const uint32_t needed = TASK_NAME | TASK_ATTEMPT | TASK_AGENT_STATE;
    if ((keys & needed) != needed || agent_state < 0) reader->failed = true;
    seen->state = (enum amb_agent_task_state)agent_state;
}

static void read_tasks(struct amb_cbor_reader *reader, struct amb_agent_heartbeat *out) {
    size_t count = amb_cbor_read_list(reader);
    out->tasks = amb_alloc((count + 1) * sizeof *out->tasks);
    while (out->task_count < count && !reader->failed) read_task(reader, &out->tasks[out->task_count++]);
}

enum {
    HEARTBEAT_MACHINE = 1,
    HEARTBEAT_ADDRESS = 2,
    HEARTBEAT_TYPE = 4,
    HEARTBEAT_ZONE = 8,
    HEARTBEAT_SPOT = 16,
    HEARTBEAT_INCARNATION = 32,
    HEARTBEAT_SEQUENCE = 64,
    HEARTBEAT_TOKEN = 128,
    HEARTBEAT_SPOT_NOTICE = 256,
    HEARTBEAT_TASKS = 512,
    HEARTBEAT_REQUIRED = 255,
};
static const char *const heartbeat_keys[] = {"rig",   "address", "hull",     "yard", "driftwood", "watch",
                                             "tally", "baton",   "recall_s", "legs", NULL};

static void read_heartbeat(struct amb_cbor_reader *reader, struct amb_agent_heartbeat *out) {
    uint32_t keys = 0;
    for (size_t pairs = amb_cbor_read_map(reader); pairs && !reader->failed; pairs--) {
        switch (read_key(reader, heartbeat_keys, &keys)) {
        case HEARTBEAT_MACHINE: read_name(reader, out->machine); break;
        case HEARTBEAT_ADDRESS: read_name(reader, out->address); break;
        case HEARTBEAT_TYPE: read_name(reader, out->type); break;
        case HEARTBEAT_ZONE: read_name(reader, out->zone); break;
        case HEARTBEAT_SPOT: out->spot = amb_cbor_read_bool(reader); break;
        case HEARTBEAT_INCARNATION: out->incarnation = amb_cbor_read_uint(reader); break;
        case HEARTBEAT_SEQUENCE: out->sequence = amb_cbor_read_uint(reader); break;
        case HEARTBEAT_TOKEN: out->fencing_token = amb_cbor_read_uint(reader); break;
        case HEARTBEAT_SPOT_NOTICE:
            if (!amb_cbor_read_if_null(reader)) out->reclaim_notice_s = amb_cbor_read_number(reader);
            break;
        case HEARTBEAT_TASKS: /* a key that comes twice has made the reader odd */
            if (!reader->failed) read_tasks(reader, out);
            break;
        default: amb_cbor_skip_value(reader);
        }
    }
    if ((keys & HEARTBEAT_REQUIRED) != HEARTBEAT_REQUIRED || reader->at != reader->end) reader->failed = true;
}

bool amb_codec_decode_heartbeat_fast(const void *data, size_t len, struct amb_agent_heartbeat *out) {
    struct amb_cbor_reader reader = amb_cbor_reader(data, len);
    memset(out, 0, sizeof *out);
    out->reclaim_notice_s = -1;
    read_heartbeat(&reader, out);
    if (!reader.failed && !out->tasks) out->tasks = amb_alloc(sizeof *out->tasks);
    if (reader.failed) amb_codec_free_heartbeat(out);
    return !reader.failed;
}

enum amb_codec_result amb_codec_decode_heartbeat(const void *data, size_t len,
                                                 struct amb_agent_heartbeat *out) {
    if (amb_codec_decode_heartbeat_fast(data, len, out)) return AMB_CODEC_OK;
    cbor_item_t *item = amb_cbor_parse(data, len);
    enum amb_codec_result parsed = amb_codec_decode_heartbeat_item(item, out);
    if (item) cbor_decref(&item);
    return parsed;
}

void amb_codec_free_heartbeat(struct amb_agent_heartbeat *heartbeat) {
    free(heartbeat->tasks);
    heartbeat->tasks = NULL;
    heartbeat->task_count = 0;
}
