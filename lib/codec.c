#include "amberpin/codec.h"

#include "amberpin/cbor_reader.h"

#include <ctype.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- reading ---- */

/* libcbor makes room for as many items as a list or map says it has before it looks for them: a body of five
 * bytes could take all memory there is. So lengths are held against what is left of the input first. */
struct scan {
    size_t left;
    bool absurd;
};

static void scan_list(void *ctx, size_t items) {
    struct scan *s = ctx;
    if (items > s->left) s->absurd = true;
}

static void scan_map(void *ctx, size_t pairs) {
    struct scan *s = ctx;
    if (pairs > s->left / 2) s->absurd = true;
}

static bool plausible(const unsigned char *data, size_t len) {
    struct cbor_callbacks cb = cbor_empty_callbacks;
    cb.array_start = scan_list;
    cb.map_start = scan_map;
    struct scan s = {len, false};
    while (s.left && !s.absurd) {
        struct cbor_decoder_result r = cbor_stream_decode(data + (len - s.left), s.left, &cb, &s);
        if (r.status != CBOR_DECODER_FINISHED || !r.read) return false;
        s.left -= r.read;
    }
    return !s.absurd;
}

cbor_item_t *amb_cbor_parse(const void *data, size_t len) {
    struct cbor_load_result r;
    if (!len || !plausible(data, len)) return NULL;
    cbor_item_t *item = cbor_load(data, len, &r);
    if (!item) return NULL;
    if (r.read != len) {
        cbor_decref(&item);
        return NULL;
    }
    return item;
}

const cbor_item_t *amb_cbor_get(const cbor_item_t *map, const char *key) {
    if (!map || !cbor_isa_map(map)) return NULL;
    size_t n = strlen(key);
    struct cbor_pair *p = cbor_map_handle(map);
    for (size_t i = 0; i < cbor_map_size(map); i++) {
        cbor_item_t *k = p[i].key;
        if (cbor_isa_string(k) && cbor_string_is_definite(k) && cbor_string_length(k) == n &&
            !memcmp(cbor_string_handle(k), key, n))
            return p[i].value;
    }
    return NULL;
}

bool amb_cbor_str(const cbor_item_t *v, char *out, size_t cap) {
    if (!v || !cbor_isa_string(v) || !cbor_string_is_definite(v)) return false;
    size_t n = cbor_string_length(v);
    if (n >= cap || (n && memchr(cbor_string_handle(v), 0, n))) return false;
    if (n) memcpy(out, cbor_string_handle(v), n);
    out[n] = 0;
    return true;
}

char *amb_cbor_text(const cbor_item_t *v) {
    if (!v || !cbor_isa_string(v) || !cbor_string_is_definite(v)) return NULL;
    size_t cap = cbor_string_length(v) + 1;
    char *text = amb_alloc(cap);
    if (amb_cbor_str(v, text, cap)) return text;
    free(text);
    return NULL;
}

bool amb_cbor_eq(const cbor_item_t *v, const char *text) {
    size_t n = strlen(text);
    return v && cbor_isa_string(v) && cbor_string_is_definite(v) && cbor_string_length(v) == n &&
           !memcmp(cbor_string_handle(v), text, n);
}

bool amb_cbor_uint(const cbor_item_t *v, uint64_t *out) {
    if (!v || !cbor_isa_uint(v)) return false;
    *out = cbor_get_int(v);
    return true;
}

bool amb_cbor_num(const cbor_item_t *v, double *out) {
    if (!v) return false;
    if (cbor_isa_uint(v))
        *out = (double)cbor_get_int(v);
    else if (cbor_isa_negint(v))
        *out = -1.0 - (double)cbor_get_int(v);
    else if (cbor_isa_float_ctrl(v) && cbor_float_get_width(v) != CBOR_FLOAT_0)
        *out = cbor_float_get_float(v);
    else
        return false;
    return isfinite(*out);
}

bool amb_cbor_bool(const cbor_item_t *v, bool *out) {
    /* The width first: cbor_is_bool asserts that it is no number, and so ends the process. */
    if (!v || !cbor_isa_float_ctrl(v) || cbor_float_get_width(v) != CBOR_FLOAT_0 || !cbor_is_bool(v))
        return false;
    *out = cbor_get_bool(v);
    return true;
}

size_t amb_cbor_len(const cbor_item_t *list) {
    return list && cbor_isa_array(list) ? cbor_array_size(list) : 0;
}

const cbor_item_t *amb_cbor_at(const cbor_item_t *list, size_t i) {
    return cbor_array_handle(list)[i];
}

static bool absent(const cbor_item_t *v) {
    return !v || (cbor_isa_float_ctrl(v) && cbor_float_get_width(v) == CBOR_FLOAT_0 && !cbor_is_bool(v));
}

/* ---- writing ---- */

static void head(struct amb_buf *b, size_t (*enc)(uint64_t, unsigned char *, size_t), uint64_t v) {
    unsigned char tmp[16];
    amb_buf_add(b, tmp, enc(v, tmp, sizeof tmp));
}

static size_t enc_map(uint64_t v, unsigned char *p, size_t n) {
    return cbor_encode_map_start(v, p, n);
}
static size_t enc_list(uint64_t v, unsigned char *p, size_t n) {
    return cbor_encode_array_start(v, p, n);
}
static size_t enc_str(uint64_t v, unsigned char *p, size_t n) {
    return cbor_encode_string_start(v, p, n);
}
static size_t enc_uint(uint64_t v, unsigned char *p, size_t n) {
    return cbor_encode_uint(v, p, n);
}

void amb_w_map(struct amb_buf *b, size_t pairs) {
    head(b, enc_map, pairs);
}
void amb_w_list(struct amb_buf *b, size_t items) {
    head(b, enc_list, items);
}
void amb_w_strn(struct amb_buf *b, const char *s, size_t n) {
    head(b, enc_str, n);
    amb_buf_add(b, s, n);
}
void amb_w_str(struct amb_buf *b, const char *s) {
    amb_w_strn(b, s, strlen(s));
}
void amb_w_uint(struct amb_buf *b, uint64_t v) {
    head(b, enc_uint, v);
}
void amb_w_num(struct amb_buf *b, double v) {
    unsigned char tmp[16];
    amb_buf_add(b, tmp, cbor_encode_double(v, tmp, sizeof tmp));
}
void amb_w_bool(struct amb_buf *b, bool v) {
    unsigned char tmp[4];
    amb_buf_add(b, tmp, cbor_encode_bool(v, tmp, sizeof tmp));
}
void amb_w_null(struct amb_buf *b) {
    unsigned char tmp[4];
    amb_buf_add(b, tmp, cbor_encode_null(tmp, sizeof tmp));
}

/* ---- names on the wire ---- */

struct word {
    const char *text;
    int value;
};

static const struct word kinds[] = {
    {"batch", AMB_ARRAY}, {"ensemble", AMB_GANG}, {"daemon", AMB_SERVICE}, {0, 0}};
static const struct word priorities[] = {
    {"prod", AMB_PROD}, {"high", AMB_HIGH}, {"normal", AMB_NORMAL}, {"best_effort", AMB_BEST_EFFORT}, {0, 0}};
static const struct word ons[] = {{"fetching", AMB_ON_FETCHING}, {"waiting", AMB_ON_WAITING},
                                  {"running", AMB_ON_RUNNING},   {"saving", AMB_ON_SAVING},
                                  {"exited", AMB_ON_EXITED},     {0, 0}};
static const struct word whys[] = {
    {"done", AMB_WHY_DONE},        {"stopped", AMB_WHY_STOPPED}, {"peers", AMB_WHY_PEERS},
    {"incomplete", AMB_WHY_ALONE}, {"error", AMB_WHY_ERROR},     {"full", AMB_WHY_NO_ROOM},
    {"busy", AMB_WHY_BUSY},        {"unknown", AMB_WHY_UNKNOWN}, {0, 0}};
static const struct word ops[] = {
    {"run", AMB_OP_RUN}, {"halt", AMB_OP_HALT}, {"clear", AMB_OP_CLEAR}, {0, 0}};

static bool word_read(const struct word *w, const cbor_item_t *v, int *out) {
    for (; w->text; w++)
        if (amb_cbor_eq(v, w->text)) {
            *out = w->value;
            return true;
        }
    return false;
}

static const char *word_of(const struct word *w, int value) {
    while (w->text && w->value != value) w++;
    return w->text ? w->text : "?";
}

const char *amb_codec_job_state(enum amb_job_state s, bool running) {
    if (s == AMB_JOB_DONE) return "done";
    if (s == AMB_JOB_CANCELLED) return "cancelled";
    return running ? "running" : "queued";
}

bool amb_ref_ok(const char *ref) {
    size_t n = strlen(ref);
    if (n < 4 || n > 48 || strncmp(ref, "wk-", 3)) return false;
    for (const char *p = ref + 3; *p; p++)
        if (!isalnum((unsigned char)*p) && *p != '-' && *p != '_') return false;
    return true;
}

/* ---- messages ---- */

static bool plain(const char *s) { /* text that may stand in logs and records */
    if (!*s) return false;
    for (; *s; s++)
        if ((unsigned char)*s < 33 || *s == 127) return false;
    return true;
}

static bool get_name(const cbor_item_t *m, const char *key, char *out) {
    return amb_cbor_str(amb_cbor_get(m, key), out, AMB_NAME) && plain(out);
}

static bool get_amount(const cbor_item_t *m, const char *key, double *out) {
    return amb_cbor_num(amb_cbor_get(m, key), out) && *out >= 0 && *out <= 1e9;
}

enum amb_parse amb_codec_spec(const cbor_item_t *m, struct amb_spec *s) {
    memset(s, 0, sizeof *s);
    if (!m || !cbor_isa_map(m)) return AMB_PARSE_BAD;
    int kind, priority;
    uint64_t tasks;
    if (!get_name(m, "ref", s->ref) || !amb_ref_ok(s->ref)) return AMB_PARSE_BAD;
    if (!get_name(m, "berth", s->class_name) || !get_name(m, "crew", s->team) ||
        !get_name(m, "cask", s->image))
        return AMB_PARSE_BAD;
    if (!word_read(kinds, amb_cbor_get(m, "shape"), &kind)) return AMB_PARSE_BAD;
    if (!word_read(priorities, amb_cbor_get(m, "rank"), &priority)) return AMB_PARSE_BAD;
    s->kind = (enum amb_kind)kind;
    s->priority = (enum amb_priority)priority;
    if (!amb_cbor_uint(amb_cbor_get(m, "legs"), &tasks) || !tasks || tasks > AMB_TASKS_MAX)
        return AMB_PARSE_BAD;
    s->tasks = (uint32_t)tasks;
    if (!get_amount(m, "vcpus", &s->each.cpus) || !get_amount(m, "accelerators", &s->each.gpus) ||
        !get_amount(m, "ram_gb", &s->each.memory) || !get_amount(m, "size_gb", &s->image_gb) ||
        !get_amount(m, "reckon_s", &s->estimate_s) || !get_amount(m, "mark_s", &s->checkpoint_s) ||
        !get_amount(m, "stow_s", &s->save_s))
        return AMB_PARSE_BAD;
    if (!amb_cbor_bool(amb_cbor_get(m, "one_zone"), &s->one_zone) ||
        !amb_cbor_bool(amb_cbor_get(m, "scatter"), &s->spread) ||
        !amb_cbor_bool(amb_cbor_get(m, "driftwood"), &s->spot))
        return AMB_PARSE_BAD;
    if (!absent(amb_cbor_get(m, "yard")) && !get_name(m, "yard", s->zone)) return AMB_PARSE_BAD;
    if (!absent(amb_cbor_get(m, "due_s")) && !get_amount(m, "due_s", &s->deadline_s)) return AMB_PARSE_BAD;
    const cbor_item_t *types = amb_cbor_get(m, "hulls");
    if (!absent(types)) {
        size_t n = amb_cbor_len(types);
        if (!cbor_isa_array(types) || !n || n > AMB_TYPES_ALLOWED) return AMB_PARSE_BAD;
        for (size_t i = 0; i < n; i++)
            if (!amb_cbor_str(amb_cbor_at(types, i), s->types[i], AMB_NAME) || !plain(s->types[i]))
                return AMB_PARSE_BAD;
        s->ntypes = (uint32_t)n;
    }
    return AMB_PARSE_OK;
}

static void put_amount(struct amb_buf *b, const char *key, double v) {
    amb_w_str(b, key);
    amb_w_num(b, v);
}

static void put_text(struct amb_buf *b, const char *key, const char *v) {
    amb_w_str(b, key);
    amb_w_str(b, v);
}

static void put_flag(struct amb_buf *b, const char *key, bool v) {
    amb_w_str(b, key);
    amb_w_bool(b, v);
}

static int by_name(const void *a, const void *b) {
    return strcmp(a, b);
}

/* Sorts the names and keeps each once. */
static void keep_each_once(struct amb_awaits *awaits) {
    uint32_t kept = 0;
    qsort(awaits->names, awaits->count, sizeof *awaits->names, by_name);
    for (uint32_t i = 0; i < awaits->count; i++) {
        if (kept && !strcmp(awaits->names[kept - 1], awaits->names[i])) continue;
        if (kept != i) memcpy(awaits->names[kept], awaits->names[i], AMB_NAME);
        kept++;
    }
    awaits->count = kept;
}

enum amb_parse amb_codec_awaits(const cbor_item_t *m, struct amb_awaits **out) {
    const cbor_item_t *list = amb_cbor_get(m, "awaits");
    *out = NULL;
    if (absent(list)) return AMB_PARSE_OK;
    if (!cbor_isa_array(list)) return AMB_PARSE_BAD;
    size_t count = amb_cbor_len(list);
    if (!count) return AMB_PARSE_OK;
    struct amb_awaits *awaits = amb_alloc(sizeof *awaits + count * sizeof *awaits->names);
    for (size_t i = 0; i < count; i++) {
        char *name = awaits->names[awaits->count++];
        if (amb_cbor_str(amb_cbor_at(list, i), name, AMB_NAME) && amb_ref_ok(name)) continue;
        free(awaits);
        return AMB_PARSE_BAD;
    }
    keep_each_once(awaits);
    *out = awaits;
    return AMB_PARSE_OK;
}

void amb_codec_put_spec(struct amb_buf *b, const struct amb_spec *s) {
    amb_codec_put_job(b, s, NULL);
}

void amb_codec_put_job(struct amb_buf *b, const struct amb_spec *s, const struct amb_awaits *awaits) {
    amb_w_map(b, 17u + (s->zone[0] != 0) + (s->deadline_s > 0) + (s->ntypes > 0) + (awaits != NULL));
    put_text(b, "ref", s->ref);
    put_text(b, "berth", s->class_name);
    put_text(b, "crew", s->team);
    put_text(b, "cask", s->image);
    put_text(b, "shape", word_of(kinds, s->kind));
    put_text(b, "rank", word_of(priorities, s->priority));
    amb_w_str(b, "legs");
    amb_w_uint(b, s->tasks);
    put_amount(b, "vcpus", s->each.cpus);
    put_amount(b, "accelerators", s->each.gpus);
    put_amount(b, "ram_gb", s->each.memory);
    put_amount(b, "size_gb", s->image_gb);
    put_amount(b, "reckon_s", s->estimate_s);
    put_amount(b, "mark_s", s->checkpoint_s);
    put_amount(b, "stow_s", s->save_s);
    put_flag(b, "one_zone", s->one_zone);
    put_flag(b, "scatter", s->spread);
    put_flag(b, "driftwood", s->spot);
    if (s->zone[0]) put_text(b, "yard", s->zone);
    if (s->deadline_s > 0) put_amount(b, "due_s", s->deadline_s);
    if (s->ntypes) {
        amb_w_str(b, "hulls");
        amb_w_list(b, s->ntypes);
        for (uint32_t i = 0; i < s->ntypes; i++) amb_w_str(b, s->types[i]);
    }
    if (awaits) {
        amb_w_str(b, "awaits");
        amb_w_list(b, awaits->count);
        for (uint32_t i = 0; i < awaits->count; i++) amb_w_str(b, awaits->names[i]);
    }
}

static bool parse_task_name(char text[AMB_NAME], char *ref, uint32_t *index) {
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

static bool task_name(const cbor_item_t *v, char *ref, uint32_t *index) {
    char text[AMB_NAME];
    return amb_cbor_str(v, text, sizeof text) && parse_task_name(text, ref, index);
}

enum amb_parse amb_codec_report(const cbor_item_t *m, struct amb_report *r) {
    memset(r, 0, sizeof *r);
    if (!m || !cbor_isa_map(m)) return AMB_PARSE_BAD;
    if (!get_name(m, "rig", r->machine) || !get_name(m, "address", r->addr) ||
        !get_name(m, "hull", r->type) || !get_name(m, "yard", r->zone) ||
        !amb_cbor_bool(amb_cbor_get(m, "driftwood"), &r->spot) ||
        !amb_cbor_uint(amb_cbor_get(m, "watch"), &r->session) ||
        !amb_cbor_uint(amb_cbor_get(m, "tally"), &r->seq) ||
        !amb_cbor_uint(amb_cbor_get(m, "baton"), &r->token))
        return AMB_PARSE_BAD;
    r->notice_s = -1;
    const cbor_item_t *notice = amb_cbor_get(m, "recall_s");
    if (!absent(notice) && !amb_cbor_num(notice, &r->notice_s)) return AMB_PARSE_BAD;
    const cbor_item_t *legs = amb_cbor_get(m, "legs");
    size_t n = amb_cbor_len(legs);
    r->tasks = amb_alloc((n + 1) * sizeof *r->tasks);
    for (size_t i = 0; i < n; i++) {
        const cbor_item_t *t = amb_cbor_at(legs, i);
        struct amb_seen *seen = &r->tasks[r->ntasks];
        int on, why = AMB_WHY_NONE;
        if (!task_name(amb_cbor_get(t, "leg"), seen->ref, &seen->index) ||
            !amb_cbor_uint(amb_cbor_get(t, "try"), &seen->attempt) ||
            !word_read(ons, amb_cbor_get(t, "stance"), &on)) {
            amb_report_free(r);
            return AMB_PARSE_BAD;
        }
        word_read(whys, amb_cbor_get(t, "cause"), &why);
        seen->on = (enum amb_on)on;
        seen->why = (enum amb_why)why;
        amb_cbor_bool(amb_cbor_get(t, "stored"), &seen->saved);
        r->ntasks++;
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

static void read_name(struct amb_cbor_reader *in, char out[AMB_NAME]) {
    if (!amb_cbor_copy_text(in, amb_cbor_read_text(in), out, AMB_NAME) || !plain(out)) in->odd = true;
}

/* The value of a word; `unknown` when the list has no such word. */
static int read_word(struct amb_cbor_reader *in, const struct word *words, int unknown) {
    struct amb_cbor_text text = amb_cbor_read_text(in);
    for (const struct word *w = words; w->text; w++)
        if (amb_cbor_text_is(text, w->text)) return w->value;
    return unknown;
}

enum { TASK_NAME = 1, TASK_ATTEMPT = 2, TASK_ON = 4, TASK_WHY = 8, TASK_SAVED = 16 };
static const char *const task_keys[] = {"leg", "try", "stance", "cause", "stored", NULL};

static void read_task(struct amb_cbor_reader *in, struct amb_seen *seen) {
    char name[AMB_NAME];
    uint32_t keys = 0;
    int on = -1;
    for (size_t pairs = amb_cbor_read_map(in); pairs && !in->odd; pairs--) {
        switch (read_key(in, task_keys, &keys)) {
        case TASK_NAME:
            if (!amb_cbor_copy_text(in, amb_cbor_read_text(in), name, sizeof name) ||
                !parse_task_name(name, seen->ref, &seen->index))
                in->odd = true;
            break;
        case TASK_ATTEMPT: seen->attempt = amb_cbor_read_uint(in); break;
        case TASK_ON: on = read_word(in, ons, -1); break;
        case TASK_WHY: seen->why = (enum amb_why)read_word(in, whys, AMB_WHY_NONE); break;
        case TASK_SAVED: seen->saved = amb_cbor_read_bool(in); break;
        default: amb_cbor_skip(in);
        }
    }
    const uint32_t needed = TASK_NAME | TASK_ATTEMPT | TASK_ON;
    if ((keys & needed) != needed || on < 0) in->odd = true;
    seen->on = (enum amb_on)on;
}

static void read_tasks(struct amb_cbor_reader *in, struct amb_report *out) {
    size_t count = amb_cbor_read_list(in);
    out->tasks = amb_alloc((count + 1) * sizeof *out->tasks);
    while (out->ntasks < count && !in->odd) read_task(in, &out->tasks[out->ntasks++]);
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

static void read_report(struct amb_cbor_reader *in, struct amb_report *out) {
    uint32_t keys = 0;
    for (size_t pairs = amb_cbor_read_map(in); pairs && !in->odd; pairs--) {
        switch (read_key(in, report_keys, &keys)) {
        case REPORT_MACHINE: read_name(in, out->machine); break;
        case REPORT_ADDRESS: read_name(in, out->addr); break;
        case REPORT_TYPE: read_name(in, out->type); break;
        case REPORT_ZONE: read_name(in, out->zone); break;
        case REPORT_SPOT: out->spot = amb_cbor_read_bool(in); break;
        case REPORT_SESSION: out->session = amb_cbor_read_uint(in); break;
        case REPORT_SEQ: out->seq = amb_cbor_read_uint(in); break;
        case REPORT_TOKEN: out->token = amb_cbor_read_uint(in); break;
        case REPORT_NOTICE:
            if (!amb_cbor_read_null(in)) out->notice_s = amb_cbor_read_num(in);
            break;
        case REPORT_TASKS: /* a key that comes twice has made the reader odd */
            if (!in->odd) read_tasks(in, out);
            break;
        default: amb_cbor_skip(in);
        }
    }
    if ((keys & REPORT_NEEDED) != REPORT_NEEDED || in->at != in->end) in->odd = true;
}

bool amb_codec_report_quick(const void *data, size_t len, struct amb_report *out) {
    struct amb_cbor_reader in = amb_cbor_reader(data, len);
    memset(out, 0, sizeof *out);
    out->notice_s = -1;
    read_report(&in, out);
    if (!in.odd && !out->tasks) out->tasks = amb_alloc(sizeof *out->tasks);
    if (in.odd) amb_report_free(out);
    return !in.odd;
}

enum amb_parse amb_codec_read_report(const void *data, size_t len, struct amb_report *out) {
    if (amb_codec_report_quick(data, len, out)) return AMB_PARSE_OK;
    cbor_item_t *item = amb_cbor_parse(data, len);
    enum amb_parse parsed = amb_codec_report(item, out);
    if (item) cbor_decref(&item);
    return parsed;
}

void amb_report_free(struct amb_report *r) {
    free(r->tasks);
    r->tasks = NULL;
    r->ntasks = 0;
}

bool amb_codec_type(const cbor_item_t *m, struct amb_type *t) {
    memset(t, 0, sizeof *t);
    if (!get_name(m, "name", t->name) || !get_amount(m, "vcpus", &t->size.cpus) ||
        !get_amount(m, "accelerators", &t->size.gpus) || !get_amount(m, "ram_gb", &t->size.memory))
        return false;
    get_amount(m, "local_gb", &t->cache_gb);
    get_amount(m, "fetch_gb_per_s", &t->fetch_gb_s);
    get_amount(m, "hourly", &t->price);
    get_amount(m, "market_price", &t->spot_price);
    get_amount(m, "boot_s", &t->boot_s);
    const cbor_item_t *zones = amb_cbor_get(m, "yards");
    for (size_t i = 0; i < amb_cbor_len(zones) && t->nzones < AMB_ZONES; i++)
        if (amb_cbor_str(amb_cbor_at(zones, i), t->zones[t->nzones], AMB_NAME)) t->nzones++;
    return true;
}

void amb_codec_put_orders(struct amb_buf *b, const struct amb_order *o, size_t n) {
    amb_w_list(b, n);
    for (size_t i = 0; i < n; i++, o++) {
        char leg[AMB_NAME + 16];
        int len = 0;
        amb_w_map(b, o->op == AMB_OP_HALT ? 4 : 3);
        put_text(b, "verb", word_of(ops, o->op));
        amb_w_str(b, "leg");
        len = snprintf(leg, sizeof leg, "%s/%u", o->ref, o->index);
        amb_w_strn(b, leg, (size_t)len);
        amb_w_str(b, "try");
        amb_w_uint(b, o->attempt);
        if (o->op == AMB_OP_HALT) put_amount(b, "easing_s", o->grace_s);
    }
}
