/* Workers' reports, from a tree of items or, as a rule, straight from their bytes. */
#include "amberpin/codec/cbor_reader.h"
#include "amberpin/codec/fields.h"
#include "amberpin/codec/messages.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

static const struct amb_word states[] = {
    {"fetching", AMB_AGENT_TASK_FETCHING}, {"waiting", AMB_AGENT_TASK_WAITING},
    {"running", AMB_AGENT_TASK_RUNNING},   {"saving", AMB_AGENT_TASK_SAVING},
    {"exited", AMB_AGENT_TASK_EXITED},     {0, 0}};
static const struct amb_word reasons[] = {{"done", AMB_EXIT_DONE},
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
    return amb_cbor_str(item, text, sizeof text) && parse_task_name(text, ref, index);
}

enum amb_parse amb_codec_report(const cbor_item_t *map, struct amb_agent_heartbeat *heartbeat) {
    memset(heartbeat, 0, sizeof *heartbeat);
    if (!map || !cbor_isa_map(map)) return AMB_PARSE_BAD;
    if (!amb_field_name(map, "rig", heartbeat->machine) ||
        !amb_field_name(map, "address", heartbeat->address) ||
        !amb_field_name(map, "hull", heartbeat->type) || !amb_field_name(map, "yard", heartbeat->zone) ||
        !amb_cbor_bool(amb_cbor_get(map, "driftwood"), &heartbeat->spot) ||
        !amb_cbor_uint(amb_cbor_get(map, "watch"), &heartbeat->incarnation) ||
        !amb_cbor_uint(amb_cbor_get(map, "tally"), &heartbeat->sequence) ||
        !amb_cbor_uint(amb_cbor_get(map, "baton"), &heartbeat->fencing_token))
        return AMB_PARSE_BAD;
    heartbeat->reclaim_notice_s = -1;
    const cbor_item_t *notice = amb_cbor_get(map, "recall_s");
    if (!amb_cbor_absent(notice) && !amb_cbor_num(notice, &heartbeat->reclaim_notice_s)) return AMB_PARSE_BAD;
    const cbor_item_t *legs = amb_cbor_get(map, "legs");
    size_t count = amb_cbor_len(legs);
    heartbeat->tasks = amb_alloc((count + 1) * sizeof *heartbeat->tasks);
    for (size_t i = 0; i < count; i++) {
        const cbor_item_t *task = amb_cbor_at(legs, i);
        struct amb_agent_task *seen = &heartbeat->tasks[heartbeat->task_count];
        int on, why = AMB_EXIT_NONE;
        if (!task_name(amb_cbor_get(task, "leg"), seen->job_ref, &seen->index) ||
            !amb_cbor_uint(amb_cbor_get(task, "try"), &seen->attempt) ||
            !amb_word_read(states, amb_cbor_get(task, "stance"), &on)) {
            amb_report_free(heartbeat);
            return AMB_PARSE_BAD;
        }
        amb_word_read(reasons, amb_cbor_get(task, "cause"), &why);
        seen->state = (enum amb_agent_task_state)on;
        seen->exit_reason = (enum amb_exit_reason)why;
        amb_cbor_bool(amb_cbor_get(task, "stored"), &seen->checkpoint_saved);
        heartbeat->task_count++;
    }
    return AMB_PARSE_OK;
}

/* ---- reports, straight from their bytes ----
 * Nothing is refused here: what these functions do not take as it is, amb_codec_report judges. */

/* Which of the keys this is, as a bit; 0: none, and its value is to be skipped. A key that comes twice makes
 * the reader odd. */
static uint32_t read_key(struct amb_cbor_reader *in, const char *const *keys, uint32_t *seen) {
    struct amb_cbor_text key = amb_cbor_read_text(in);
    for (uint32_t i = 0; keys[i]; i++) {
        if (!amb_cbor_text_is(key, keys[i])) continue;
        if (*seen & 1u << i) in->odd = true;
        *seen |= 1u << i;
        return 1u << i;
    }
    return 0;
}

static void read_name(struct amb_cbor_reader *in, char out[AMB_NAME_SIZE]) {
    if (!amb_cbor_copy_text(in, amb_cbor_read_text(in), out, AMB_NAME_SIZE) || !amb_name_plain(out))
        in->odd = true;
}

/* The value of a word; `unknown` when the list has no such word. */
static int read_word(struct amb_cbor_reader *in, const struct amb_word *words, int unknown) {
    struct amb_cbor_text text = amb_cbor_read_text(in);
    for (const struct amb_word *word = words; word->text; word++)
        if (amb_cbor_text_is(text, word->text)) return word->value;
    return unknown;
}

enum { TASK_NAME = 1, TASK_ATTEMPT = 2, TASK_ON = 4, TASK_WHY = 8, TASK_SAVED = 16 };
static const char *const task_keys[] = {"leg", "try", "stance", "cause", "stored", NULL};

static void read_task(struct amb_cbor_reader *in, struct amb_agent_task *seen) {
    char name[AMB_NAME_SIZE];
    uint32_t keys = 0;
    int on = -1;
    for (size_t pairs = amb_cbor_read_map(in); pairs && !in->odd; pairs--) {
        switch (read_key(in, task_keys, &keys)) {
        case TASK_NAME:
            if (!amb_cbor_copy_text(in, amb_cbor_read_text(in), name, sizeof name) ||
                !parse_task_name(name, seen->job_ref, &seen->index))
                in->odd = true;
            break;
        case TASK_ATTEMPT: seen->attempt = amb_cbor_read_uint(in); break;
        case TASK_ON: on = read_word(in, states, -1); break;
        case TASK_WHY: seen->exit_reason = (enum amb_exit_reason)read_word(in, reasons, AMB_EXIT_NONE); break;
        case TASK_SAVED: seen->checkpoint_saved = amb_cbor_read_bool(in); break;
        default: amb_cbor_skip(in);
        }
    }
    const uint32_t needed = TASK_NAME | TASK_ATTEMPT | TASK_ON;
    if ((keys & needed) != needed || on < 0) in->odd = true;
    seen->state = (enum amb_agent_task_state)on;
}

static void read_tasks(struct amb_cbor_reader *in, struct amb_agent_heartbeat *out) {
    size_t count = amb_cbor_read_list(in);
    out->tasks = amb_alloc((count + 1) * sizeof *out->tasks);
    while (out->task_count < count && !in->odd) read_task(in, &out->tasks[out->task_count++]);
}

enum {
    REPORT_MACHINE = 1,
    REPORT_ADDRESS = 2,
    REPORT_TYPE = 4,
    REPORT_ZONE = 8,
    REPORT_SPOT = 16,
    REPORT_SESSION = 32,
    REPORT_SEQ = 64,
    REPORT_TOKEN = 128,
    REPORT_NOTICE = 256,
    REPORT_TASKS = 512,
    REPORT_NEEDED = 255,
};
static const char *const report_keys[] = {"rig",   "address", "hull",     "yard", "driftwood", "watch",
                                          "tally", "baton",   "recall_s", "legs", NULL};

static void read_report(struct amb_cbor_reader *in, struct amb_agent_heartbeat *out) {
    uint32_t keys = 0;
    for (size_t pairs = amb_cbor_read_map(in); pairs && !in->odd; pairs--) {
        switch (read_key(in, report_keys, &keys)) {
        case REPORT_MACHINE: read_name(in, out->machine); break;
        case REPORT_ADDRESS: read_name(in, out->address); break;
        case REPORT_TYPE: read_name(in, out->type); break;
        case REPORT_ZONE: read_name(in, out->zone); break;
        case REPORT_SPOT: out->spot = amb_cbor_read_bool(in); break;
        case REPORT_SESSION: out->incarnation = amb_cbor_read_uint(in); break;
        case REPORT_SEQ: out->sequence = amb_cbor_read_uint(in); break;
        case REPORT_TOKEN: out->fencing_token = amb_cbor_read_uint(in); break;
        case REPORT_NOTICE:
            if (!amb_cbor_read_null(in)) out->reclaim_notice_s = amb_cbor_read_num(in);
            break;
        case REPORT_TASKS: /* a key that comes twice has made the reader odd */
            if (!in->odd) read_tasks(in, out);
            break;
        default: amb_cbor_skip(in);
        }
    }
    if ((keys & REPORT_NEEDED) != REPORT_NEEDED || in->at != in->end) in->odd = true;
}

bool amb_codec_report_quick(const void *data, size_t len, struct amb_agent_heartbeat *out) {
    struct amb_cbor_reader in = amb_cbor_reader(data, len);
    memset(out, 0, sizeof *out);
    out->reclaim_notice_s = -1;
    read_report(&in, out);
    if (!in.odd && !out->tasks) out->tasks = amb_alloc(sizeof *out->tasks);
    if (in.odd) amb_report_free(out);
    return !in.odd;
}

enum amb_parse amb_codec_read_report(const void *data, size_t len, struct amb_agent_heartbeat *out) {
    if (amb_codec_report_quick(data, len, out)) return AMB_PARSE_OK;
    cbor_item_t *item = amb_cbor_parse(data, len);
    enum amb_parse parsed = amb_codec_report(item, out);
    if (item) cbor_decref(&item);
    return parsed;
}

void amb_report_free(struct amb_agent_heartbeat *heartbeat) {
    free(heartbeat->tasks);
    heartbeat->tasks = NULL;
    heartbeat->task_count = 0;
}
