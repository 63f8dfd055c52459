#include "recorder.h"

#include "json_cbor.h"
#include "world.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { SAMPLES_OF_A_FORM = 1, TEXT_FORM_MOST = 64, PATH_MOST = 1024 };

const char *const sim_sample_names[SIM_SAMPLE_KINDS] = {
    "job-records", "placement-blocks", "rental-requests",   "leader-keys",   "deputy-keys",
    "removals",    "heartbeats",       "heartbeat-answers", "other-records",
};

static json_t *samples[SIM_SAMPLE_KINDS], *forms[SIM_SAMPLE_KINDS];
static bool records_old;

/* ---- forms ---- */

/* Digits become 9, letters a, both once however many there are. */
static void part_form(const char *part, size_t len, char out[TEXT_FORM_MOST]) {
    size_t used = 0;
    for (size_t i = 0; i < len && used + 1 < TEXT_FORM_MOST; i++) {
        unsigned char byte = (unsigned char)part[i];
        char kind = (char)(isdigit(byte) ? '9' : isalpha(byte) ? 'a' : byte);
        if (used && out[used - 1] == kind && isalnum(byte)) continue;
        out[used++] = kind;
    }
    out[used] = 0;
}

static void add_leaf(json_t *paths, const char *path, const char *leaf) {
    char text[PATH_MOST];
    snprintf(text, sizeof text, "%s=%s", path, leaf);
    json_object_set_new(paths, text, json_true());
}

/* Names of machines, jobs and the like are any text; parts that end in ';' are a record's own. */
static void add_text(json_t *paths, const char *path, const char *text) {
    if (!strchr(text, ';')) {
        add_leaf(paths, path, *text ? "text" : "");
        return;
    }
    for (const char *at = text; *at;) {
        char form[TEXT_FORM_MOST];
        size_t len = strcspn(at, ";");
        len += at[len] != 0;
        part_form(at, len, form);
        add_leaf(paths, path, form);
        at += len;
    }
}

/* Which machine a field is named after does not matter. */
static void field_path(char out[PATH_MOST], const char *path, const char *key) {
    char name[TEXT_FORM_MOST];
    part_form(key, strlen(key), name);
    snprintf(out, PATH_MOST, "%s%s%s", path, *path ? "." : "", strpbrk(key, "0123456789") ? name : key);
}

static void add_paths(json_t *paths, const char *path, const json_t *value) { /* NOLINT(misc-no-recursion) */
    static const char *const kinds[] = {"{}", "[]", "text", "integer", "real", "bool", "bool", "null"};
    char inner[PATH_MOST];
    const char *key;
    json_t *item;
    size_t i;
    if (json_is_object(value) && json_object_size(value)) {
        json_object_foreach((json_t *)value, key, item) {
            field_path(inner, path, key);
            add_paths(paths, inner, item);
        }
    } else if (json_is_array(value) && json_array_size(value)) {
        snprintf(inner, sizeof inner, "%s[]", path);
        json_array_foreach(value, i, item) add_paths(paths, inner, item);
    } else if (json_is_string(value)) {
        add_text(paths, path, json_string_value(value));
    } else {
        add_leaf(paths, path, kinds[json_typeof(value)]);
    }
}

json_t *sim_sample_form(const json_t *sample) {
    json_t *paths = json_object();
    add_paths(paths, "", sample);
    return paths;
}

/* ---- collecting ---- */

static void collect(enum sim_sample_kind kind, json_t *sample) {
    json_t *paths = sim_sample_form(sample);
    char *form = json_dumps(paths, JSON_COMPACT | JSON_SORT_KEYS);
    json_int_t known = json_integer_value(json_object_get(forms[kind], form));
    if (known < SAMPLES_OF_A_FORM) json_array_append(samples[kind], sample);
    json_object_set_new(forms[kind], form, json_integer(known + 1));
    free(form);
    json_decref(paths);
    json_decref(sample);
}

static bool of_the_version(int node) {
    return node >= 0 && world.nodes[node].alive && world.nodes[node].old == records_old;
}

static enum sim_sample_kind kind_of(const char *key) {
    if (!strncmp(key, "a/job/", 6)) return SIM_JOB_RECORDS;
    if (!strncmp(key, "b/p/", 4)) return SIM_PLACEMENT_BLOCKS;
    if (!strncmp(key, "b/r/", 4)) return SIM_RENTAL_REQUESTS;
    if (!strcmp(key, "a/leader")) return SIM_LEADER_KEYS;
    if (!strncmp(key, "a/deputy/", 9)) return SIM_LEASE_PROXY_KEYS;
    return SIM_OTHER_RECORDS;
}

/* What a transaction is guarded by: the kind of each key, and whether it must be absent. */
static json_t *guards_of(const json_t *guards) {
    json_t *list = json_object(), *guard;
    size_t i;
    json_array_foreach(guards, i, guard) {
        const char *key = json_string_value(json_object_get(guard, "path"));
        bool absent = !json_integer_value(json_object_get(guard, "stamp"));
        json_object_set_new(list, sim_sample_names[kind_of(key)],
                            json_pack("{s:b}", absent ? "absent" : "unchanged", 1));
    }
    return list;
}

static void take_operation(const json_t *operation, const json_t *guards) {
    const char *put = json_string_value(json_object_get(operation, "put"));
    const char *removed = json_string_value(json_object_get(operation, "remove"));
    json_t *sample = json_object();
    json_object_set_new(sample, "guards", guards_of(guards));
    if (removed) {
        json_object_set_new(sample, sim_sample_names[kind_of(removed)], json_string(removed));
        collect(SIM_REMOVALS, sample);
        return;
    }
    json_object_set_new(sample, "key", json_string(put));
    json_object_set(sample, "value", json_object_get(operation, "value"));
    if (json_object_get(operation, "tenure")) json_object_set_new(sample, "leased", json_true());
    collect(kind_of(put), sample);
}

static void take_transaction(const struct sim_call *call, const cbor_item_t *transaction) {
    if (!of_the_version(call->from) || world.nodes[call->from].incarnation != call->incarnation) return;
    json_t *read = json_from_cbor(transaction), *operation;
    size_t i;
    json_array_foreach(json_object_get(read, "then"), i, operation)
        take_operation(operation, json_object_get(read, "guards"));
    json_decref(read);
}

/* A message that the production version does not know must be one that it refuses and does without. */
static void check_unknown_message(const struct sim_call *call) {
    if (world.nodes[call->from].old) sim_report_violation("the production version sent %s", call->path);
    if (world.nodes[call->node].old && call->status != 404)
        sim_report_violation("the production version answered %s with %d", call->path, call->status);
}

static void take_message(const struct sim_call *call) {
    if (strcmp(call->path, "/peer/heartbeat")) {
        check_unknown_message(call);
        return;
    }
    json_t *said = json_loadb(call->body, call->len, 0, NULL);
    json_t *answer = json_loadb(call->answer.data, call->answer.len, 0, NULL);
    if (said && of_the_version(call->from)) collect(SIM_HEARTBEATS, json_incref(said));
    if (answer && of_the_version(call->node)) collect(SIM_HEARTBEAT_REPLIES, json_incref(answer));
    json_decref(said);
    json_decref(answer);
}

void sim_recorder_start(bool old) {
    records_old = old;
    for (int kind = 0; kind < SIM_SAMPLE_KINDS; kind++) {
        json_decref(samples[kind]);
        json_decref(forms[kind]);
        samples[kind] = json_array();
        forms[kind] = json_object();
    }
    sim_on_transaction = take_transaction;
    sim_on_peer_message = take_message;
}

void sim_recorder_stop(void) {
    sim_on_transaction = NULL;
    sim_on_peer_message = NULL;
}

const json_t *sim_samples(enum sim_sample_kind kind) {
    return samples[kind];
}
