#include "recorder.h"

#include "json_cbor.h"
#include "world.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { MAX_SAMPLES_PER_FORM = 1, MAX_TEXT_FORM_BYTES = 64, MAX_PATH_BYTES = 1024 };

const char *const sim_sample_names[SIM_SAMPLE_KINDS] = {
    "job-records", "placement-blocks", "rental-requests",   "leader-keys",   "deputy-keys",
    "removals",    "heartbeats",       "heartbeat-answers", "other-records",
};

static json_t *samples[SIM_SAMPLE_KINDS], *forms[SIM_SAMPLE_KINDS];
static bool records_production;

/* ---- forms ---- */

/* Replaces each run of digits by one 9 and each run of letters by one a. */
static void format_part(const char *part, size_t len, char out[MAX_TEXT_FORM_BYTES]) {
    size_t used = 0;
    for (size_t i = 0; i < len && used + 1 < MAX_TEXT_FORM_BYTES; i++) {
        unsigned char byte = (unsigned char)part[i];
        char kind = (char)(isdigit(byte) ? '9' : isalpha(byte) ? 'a' : byte);
        if (used && out[used - 1] == kind && isalnum(byte)) continue;
        out[used++] = kind;
    }
    out[used] = 0;
}

static void add_leaf(json_t *paths, const char *path, const char *leaf) {
    char text[MAX_PATH_BYTES];
    snprintf(text, sizeof text, "%s=%s", path, leaf);
    json_object_set_new(paths, text, json_true());
}

/* A string with parts that end in ';' is an encoded record; any other string counts as "text". */
static void add_text(json_t *paths, const char *path, const char *text) {
    if (!strchr(text, ';')) {
        add_leaf(paths, path, *text ? "text" : "");
        return;
    }
    for (const char *at = text; *at;) {
        char form[MAX_TEXT_FORM_BYTES];
        size_t len = strcspn(at, ";");
        len += at[len] != 0;
        format_part(at, len, form);
        add_leaf(paths, path, form);
        at += len;
    }
}

/* Keys that contain a machine's name are reduced to their form. */
static void field_path(char out[MAX_PATH_BYTES], const char *path, const char *key) {
    char name[MAX_TEXT_FORM_BYTES];
    format_part(key, strlen(key), name);
    snprintf(out, MAX_PATH_BYTES, "%s%s%s", path, *path ? "." : "", strpbrk(key, "0123456789") ? name : key);
}

static void add_paths(json_t *paths, const char *path, const json_t *value) { /* NOLINT(misc-no-recursion) */
    static const char *const kinds[] = {"{}", "[]", "text", "integer", "real", "bool", "bool", "null"};
    char inner[MAX_PATH_BYTES];
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

/* ---- collection ---- */

static void collect(enum sim_sample_kind kind, json_t *sample) {
    json_t *paths = sim_sample_form(sample);
    char *form = json_dumps(paths, JSON_COMPACT | JSON_SORT_KEYS);
    json_int_t seen_count = json_integer_value(json_object_get(forms[kind], form));
    if (seen_count < MAX_SAMPLES_PER_FORM) json_array_append(samples[kind], sample);
    json_object_set_new(forms[kind], form, json_integer(seen_count + 1));
    free(form);
    json_decref(paths);
    json_decref(sample);
}

static bool is_recorded_node(int node) {
    return node >= 0 && world.nodes[node].alive && world.nodes[node].production == records_production;
}

static enum sim_sample_kind kind_of(const char *key) {
    if (!strncmp(key, "a/job/", 6)) return SIM_JOB_RECORDS;
    if (!strncmp(key, "b/p/", 4)) return SIM_PLACEMENT_BLOCKS;
    if (!strncmp(key, "b/r/", 4)) return SIM_RENTAL_REQUESTS;
    if (!strcmp(key, "a/leader")) return SIM_LEADER_KEYS;
    if (!strncmp(key, "a/deputy/", 9)) return SIM_LEASE_PROXY_KEYS;
    return SIM_OTHER_RECORDS;
}

/* The guards of a transaction: the kind of each key, and whether it must be absent. */
static json_t *sample_guards(const json_t *guards) {
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

static void record_operation(const json_t *operation, const json_t *guards) {
    const char *put = json_string_value(json_object_get(operation, "put"));
    const char *removed = json_string_value(json_object_get(operation, "remove"));
    json_t *sample = json_object();
    json_object_set_new(sample, "guards", sample_guards(guards));
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

static void record_transaction(const struct sim_call *call, const struct amb_cbor_item *transaction) {
    if (!is_recorded_node(call->from) || world.nodes[call->from].incarnation != call->incarnation) return;
    json_t *read = json_from_cbor(transaction), *operation;
    size_t i;
    json_array_foreach(json_object_get(read, "then"), i, operation)
        record_operation(operation, json_object_get(read, "guards"));
    json_decref(read);
}

/* The production version must neither send nor accept a message that is not a peer heartbeat. */
static void check_unknown_message(const struct sim_call *call) {
    if (world.nodes[call->from].production)
        sim_report_violation("the production version sent %s", call->path);
    bool is_refused = !call->status; /* the process has ended */
    if (world.nodes[call->node].production && call->status != 404 && !is_refused)
        sim_report_violation("the production version answered %s with %d", call->path, call->status);
}

static void record_message(const struct sim_call *call) {
    if (strcmp(call->path, "/peer/heartbeat")) {
        check_unknown_message(call);
        return;
    }
    json_t *request = json_loadb(call->body, call->len, 0, NULL);
    json_t *answer = json_loadb(call->answer.data, call->answer.len, 0, NULL);
    if (request && is_recorded_node(call->from)) collect(SIM_HEARTBEATS, json_incref(request));
    if (answer && is_recorded_node(call->node)) collect(SIM_HEARTBEAT_REPLIES, json_incref(answer));
    json_decref(request);
    json_decref(answer);
}

void sim_recorder_start(bool production) {
    records_production = production;
    for (int kind = 0; kind < SIM_SAMPLE_KINDS; kind++) {
        json_decref(samples[kind]);
        json_decref(forms[kind]);
        samples[kind] = json_array();
        forms[kind] = json_object();
    }
    sim_on_transaction = record_transaction;
    sim_on_peer_message = record_message;
}

void sim_recorder_stop(void) {
    sim_on_transaction = NULL;
    sim_on_peer_message = NULL;
}

const json_t *sim_samples(enum sim_sample_kind kind) {
    return samples[kind];
}
