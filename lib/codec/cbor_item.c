#include "amberpin/codec/cbor_item.h"

#include "amberpin/base/util.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

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
bool amb_cbor_absent(const cbor_item_t *v) {
    return !v || (cbor_isa_float_ctrl(v) && cbor_float_get_width(v) == CBOR_FLOAT_0 && !cbor_is_bool(v));
}
