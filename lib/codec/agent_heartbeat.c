/* Decodes agents' heartbeats: in one pass over the bytes if their encoding is plain, otherwise item by item.
 */
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

/* Splits "REF/INDEX" into the job's name and the task's index. */
static bool parse_task_name(char text[AMB_NAME_SIZE], struct amb_agent_task *task) {
    char *slash = strchr(text, '/');
    if (!slash || !isdigit((unsigned char)slash[1])) return false;
    char *end;
    unsigned long index = strtoul(slash + 1, &end, 10);
    if (*end || index >= AMB_TASKS_MAX) return false;
    *slash = 0;
    strcpy(task->job_ref, text);
    task->index = (uint32_t)index;
    return true;
}

/* The fewest bytes that a task takes: the head of its map, its required keys, and their shortest values. (The
 * size of a literal counts the head of the text in place of its terminating zero.) */
enum {
    HEAD_BYTES = 1,
    TASK_BYTES_MIN = HEAD_BYTES + sizeof "leg" + sizeof "/0" + sizeof "try" + HEAD_BYTES + sizeof "stance" +
                     sizeof "saving",
};

/* Allocates as many tasks as a list claims. Returns false, and allocates nothing, if the list is too short
 * for them. */
static bool allocate_tasks(struct amb_agent_heartbeat *heartbeat, size_t count, size_t list_bytes) {
    if (count > list_bytes / TASK_BYTES_MIN) return false;
    heartbeat->tasks = amb_alloc((count + 1) * sizeof *heartbeat->tasks);
    return true;
}

/* ---- slow path: any encoding ---- */

static bool decode_task_name(const struct amb_cbor_item *item, struct amb_agent_task *task) {
    char text[AMB_NAME_SIZE];
    return amb_cbor_copy_string(item, text, sizeof text) && parse_task_name(text, task);
}

/* Ignores unknown exit reasons, and a checkpoint flag of the wrong type. */
static bool decode_task(const struct amb_cbor_item *map, struct amb_agent_task *task) {
    int state, exit_reason = AMB_EXIT_NONE;
    if (!decode_task_name(amb_cbor_map_get(map, "leg"), task)) return false;
    if (!amb_cbor_get_uint(amb_cbor_map_get(map, "try"), &task->attempt)) return false;
    if (!amb_codec_read_enum(agent_states, amb_cbor_map_get(map, "stance"), &state)) return false;
    amb_codec_read_enum(exit_reasons, amb_cbor_map_get(map, "cause"), &exit_reason);
    task->state = (enum amb_agent_task_state)state;
    task->exit_reason = (enum amb_exit_reason)exit_reason;
    amb_cbor_get_bool(amb_cbor_map_get(map, "stored"), &task->checkpoint_saved);
    return true;
}

/* A missing or null notice means that the machine is not about to be reclaimed: -1. */
static bool decode_reclaim_notice(const struct amb_cbor_item *item, double *notice_s) {
    *notice_s = -1;
    return amb_cbor_is_absent(item) || amb_cbor_get_number(item, notice_s);
}

static bool decode_machine(const struct amb_cbor_item *map, struct amb_agent_heartbeat *heartbeat) {
    return amb_codec_read_name(map, "rig", heartbeat->machine) &&
           amb_codec_read_name(map, "address", heartbeat->address) &&
           amb_codec_read_name(map, "hull", heartbeat->type) &&
           amb_codec_read_name(map, "yard", heartbeat->zone) &&
           amb_cbor_get_bool(amb_cbor_map_get(map, "driftwood"), &heartbeat->spot) &&
           amb_cbor_get_uint(amb_cbor_map_get(map, "watch"), &heartbeat->incarnation) &&
           amb_cbor_get_uint(amb_cbor_map_get(map, "tally"), &heartbeat->sequence) &&
           amb_cbor_get_uint(amb_cbor_map_get(map, "baton"), &heartbeat->fencing_token) &&
           decode_reclaim_notice(amb_cbor_map_get(map, "recall_s"), &heartbeat->reclaim_notice_s);
}

static bool decode_tasks(const struct amb_cbor_item *list, struct amb_agent_heartbeat *heartbeat) {
    struct amb_cbor_cursor position = amb_cbor_list_begin(list);
    const struct amb_cbor_item *task;
    size_t list_bytes = list ? amb_cbor_encoded_len(list) : 0;
    if (!allocate_tasks(heartbeat, amb_cbor_list_length(list), list_bytes)) return false;
    while ((task = amb_cbor_next(&position)) != NULL)
        if (!decode_task(task, &heartbeat->tasks[heartbeat->task_count++])) return false;
    return true;
}

enum amb_codec_result amb_codec_decode_heartbeat_item(const struct amb_cbor_item *map,
                                                      struct amb_agent_heartbeat *heartbeat) {
    memset(heartbeat, 0, sizeof *heartbeat);
    if (!amb_cbor_is_map(map)) return AMB_CODEC_MALFORMED;
    if (!decode_machine(map, heartbeat)) return AMB_CODEC_MALFORMED;
    if (!decode_tasks(amb_cbor_map_get(map, "legs"), heartbeat)) {
        amb_codec_free_heartbeat(heartbeat);
        return AMB_CODEC_MALFORMED;
    }
    return AMB_CODEC_OK;
}

/* ---- fast path: directly from the bytes ----
 * A failure here rejects nothing: amb_codec_decode_heartbeat_item then decides about the heartbeat. */

/* Reads a key and returns its bit in `keys`, or 0 for an unknown key, whose value the caller must skip. The
 * reader fails on a duplicate key. */
static uint32_t read_key(struct amb_cbor_reader *reader, const char *const *keys, uint32_t *seen) {
    struct amb_cbor_text key = amb_cbor_read_text(reader);
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

/* Reads a text and returns the value that it names, or `unknown`. */
static int read_enum(struct amb_cbor_reader *reader, const struct amb_codec_enum_name *names, int unknown) {
    struct amb_cbor_text text = amb_cbor_read_text(reader);
    for (const struct amb_codec_enum_name *name = names; name->text; name++)
        if (amb_cbor_text_equals(text, name->text)) return name->value;
    return unknown;
}

/* Bits of the keys, in the order of task_keys. */
enum {
    TASK_NAME = 1,
    TASK_ATTEMPT = 2,
    TASK_AGENT_STATE = 4,
    TASK_EXIT_REASON = 8,
    TASK_SAVED = 16,
    TASK_REQUIRED = TASK_NAME | TASK_ATTEMPT | TASK_AGENT_STATE,
};
static const char *const task_keys[] = {"leg", "try", "stance", "cause", "stored", NULL};

static void read_task_name(struct amb_cbor_reader *reader, struct amb_agent_task *task) {
    char name[AMB_NAME_SIZE];
    struct amb_cbor_text text = amb_cbor_read_text(reader);
    if (!amb_cbor_copy_text(reader, text, name, sizeof name) || !parse_task_name(name, task))
        reader->failed = true;
}

static void read_task(struct amb_cbor_reader *reader, struct amb_agent_task *task) {
    uint32_t keys = 0;
    int agent_state = -1;
    for (size_t pairs = amb_cbor_read_map(reader); pairs && !reader->failed; pairs--) {
        switch (read_key(reader, task_keys, &keys)) {
        case TASK_NAME: read_task_name(reader, task); break;
        case TASK_ATTEMPT: task->attempt = amb_cbor_read_uint(reader); break;
        case TASK_AGENT_STATE: agent_state = read_enum(reader, agent_states, -1); break;
        case TASK_EXIT_REASON:
            task->exit_reason = (enum amb_exit_reason)read_enum(reader, exit_reasons, AMB_EXIT_NONE);
            break;
        case TASK_SAVED: task->checkpoint_saved = amb_cbor_read_bool(reader); break;
        default: amb_cbor_skip_value(reader);
        }
    }
    if ((keys & TASK_REQUIRED) != TASK_REQUIRED || agent_state < 0) reader->failed = true;
    task->state = (enum amb_agent_task_state)agent_state;
}

static void read_tasks(struct amb_cbor_reader *reader, struct amb_agent_heartbeat *heartbeat) {
    size_t count = amb_cbor_read_list(reader);
    if (!allocate_tasks(heartbeat, count, (size_t)(reader->end - reader->at))) reader->failed = true;
    while (heartbeat->task_count < count && !reader->failed)
        read_task(reader, &heartbeat->tasks[heartbeat->task_count++]);
}

/* Bits of the keys, in the order of heartbeat_keys. */
enum {
    HEARTBEAT_MACHINE = 1,
    HEARTBEAT_ADDRESS = 2,
    HEARTBEAT_TYPE = 4,
    HEARTBEAT_ZONE = 8,
    HEARTBEAT_SPOT = 16,
    HEARTBEAT_INCARNATION = 32,
    HEARTBEAT_SEQUENCE = 64,
    HEARTBEAT_TOKEN = 128,
    HEARTBEAT_RECLAIM_NOTICE = 256,
    HEARTBEAT_TASKS = 512,
    HEARTBEAT_REQUIRED = HEARTBEAT_RECLAIM_NOTICE - 1, /* all keys before it */
};
static const char *const heartbeat_keys[] = {"rig",   "address", "hull",     "yard", "driftwood", "watch",
                                             "tally", "baton",   "recall_s", "legs", NULL};

static void read_heartbeat(struct amb_cbor_reader *reader, struct amb_agent_heartbeat *heartbeat) {
    uint32_t keys = 0;
    for (size_t pairs = amb_cbor_read_map(reader); pairs && !reader->failed; pairs--) {
        switch (read_key(reader, heartbeat_keys, &keys)) {
        case HEARTBEAT_MACHINE: read_name(reader, heartbeat->machine); break;
        case HEARTBEAT_ADDRESS: read_name(reader, heartbeat->address); break;
        case HEARTBEAT_TYPE: read_name(reader, heartbeat->type); break;
        case HEARTBEAT_ZONE: read_name(reader, heartbeat->zone); break;
        case HEARTBEAT_SPOT: heartbeat->spot = amb_cbor_read_bool(reader); break;
        case HEARTBEAT_INCARNATION: heartbeat->incarnation = amb_cbor_read_uint(reader); break;
        case HEARTBEAT_SEQUENCE: heartbeat->sequence = amb_cbor_read_uint(reader); break;
        case HEARTBEAT_TOKEN: heartbeat->fencing_token = amb_cbor_read_uint(reader); break;
        case HEARTBEAT_RECLAIM_NOTICE:
            if (!amb_cbor_read_if_null(reader)) heartbeat->reclaim_notice_s = amb_cbor_read_number(reader);
            break;
        case HEARTBEAT_TASKS: /* a duplicate key, which made the reader fail, must not allocate again */
            if (!reader->failed) read_tasks(reader, heartbeat);
            break;
        default: amb_cbor_skip_value(reader);
        }
    }
    if ((keys & HEARTBEAT_REQUIRED) != HEARTBEAT_REQUIRED || reader->at != reader->end) reader->failed = true;
}

bool amb_codec_decode_heartbeat_fast(const void *data, size_t len, struct amb_agent_heartbeat *heartbeat) {
    struct amb_cbor_reader reader = amb_cbor_reader_init(data, len);
    memset(heartbeat, 0, sizeof *heartbeat);
    heartbeat->reclaim_notice_s = -1;
    read_heartbeat(&reader, heartbeat);
    if (!reader.failed && !heartbeat->tasks) heartbeat->tasks = amb_alloc(sizeof *heartbeat->tasks);
    if (reader.failed) amb_codec_free_heartbeat(heartbeat);
    return !reader.failed;
}

enum amb_codec_result amb_codec_decode_heartbeat(const void *data, size_t len,
                                                 struct amb_agent_heartbeat *heartbeat) {
    if (amb_codec_decode_heartbeat_fast(data, len, heartbeat)) return AMB_CODEC_OK;
    const struct amb_cbor_item *item = amb_cbor_parse(data, len);
    enum amb_codec_result result = amb_codec_decode_heartbeat_item(item, heartbeat);
    return result;
}

bool amb_codec_decode_incarnation(const struct amb_cbor_item *map, uint64_t *incarnation) {
    return amb_cbor_get_uint(amb_cbor_map_get(map, "watch"), incarnation);
}

void amb_codec_free_heartbeat(struct amb_agent_heartbeat *heartbeat) {
    free(heartbeat->tasks);
    heartbeat->tasks = NULL;
    heartbeat->task_count = 0;
}
