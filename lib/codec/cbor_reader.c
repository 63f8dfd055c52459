#include "amberpin/codec/cbor_reader.h"

#include <math.h>
#include <string.h>

enum major { MAJOR_UINT = 0, MAJOR_TEXT = 3, MAJOR_LIST = 4, MAJOR_MAP = 5, MAJOR_SIMPLE = 7 };
enum { BYTE_FALSE = 0xf4, BYTE_TRUE = 0xf5, BYTE_NULL = 0xf6, BYTE_DOUBLE = 0xfb };

struct amb_cbor_reader amb_cbor_reader(const void *data, size_t len) {
    const unsigned char *at = data;
    return (struct amb_cbor_reader){at, at + len, false};
}

static uint64_t fail(struct amb_cbor_reader *r) {
    r->odd = true;
    r->at = r->end;
    return 0;
}

static size_t left(const struct amb_cbor_reader *r) {
    return (size_t)(r->end - r->at);
}

static int next_byte(const struct amb_cbor_reader *r) { /* -1: none */
    return r->at < r->end ? *r->at : -1;
}

static uint64_t big_endian(struct amb_cbor_reader *r, size_t bytes) {
    if (left(r) < bytes) return fail(r);
    uint64_t value = 0;
    for (size_t i = 0; i < bytes; i++) value = value << 8 | *r->at++;
    return value;
}

/* The number in the head of a value, which must be of this type: itself, or a length. */
static uint64_t read_head(struct amb_cbor_reader *r, enum major major) {
    int byte = next_byte(r);
    if (byte < 0 || byte >> 5 != (int)major) return fail(r);
    int info = byte & 31;
    r->at++;
    if (info < 24) return (uint64_t)info;
    if (info > 27) return fail(r); /* indefinite, or not CBOR */
    return big_endian(r, (size_t)1 << (info - 24));
}

/* No more items than bytes are left: nobody makes room for more than there can be. */
static size_t read_count(struct amb_cbor_reader *r, enum major major, size_t bytes_each) {
    uint64_t count = read_head(r, major);
    return count <= left(r) / bytes_each ? (size_t)count : (size_t)fail(r);
}

size_t amb_cbor_read_map(struct amb_cbor_reader *r) {
    return read_count(r, MAJOR_MAP, 2);
}

size_t amb_cbor_read_list(struct amb_cbor_reader *r) {
    return read_count(r, MAJOR_LIST, 1);
}

static bool is_ascii(const unsigned char *text, size_t len) {
    unsigned char all = 0;
    for (size_t i = 0; i < len; i++) all |= text[i];
    return all < 0x80;
}

struct amb_cbor_text amb_cbor_read_text(struct amb_cbor_reader *r) {
    uint64_t len = read_head(r, MAJOR_TEXT);
    if (len > left(r) || !is_ascii(r->at, (size_t)len)) len = fail(r);
    struct amb_cbor_text text = {(const char *)r->at, (size_t)len};
    r->at += len;
    return text;
}

uint64_t amb_cbor_read_uint(struct amb_cbor_reader *r) {
    return read_head(r, MAJOR_UINT);
}

bool amb_cbor_read_bool(struct amb_cbor_reader *r) {
    int byte = next_byte(r);
    if (byte != BYTE_TRUE && byte != BYTE_FALSE) return fail(r);
    r->at++;
    return byte == BYTE_TRUE;
}

bool amb_cbor_read_null(struct amb_cbor_reader *r) {
    if (next_byte(r) != BYTE_NULL) return false;
    r->at++;
    return true;
}

static double read_double(struct amb_cbor_reader *r) {
    double value;
    r->at++;
    uint64_t bits = big_endian(r, sizeof bits);
    memcpy(&value, &bits, sizeof value);
    return value;
}

double amb_cbor_read_num(struct amb_cbor_reader *r) {
    double value = next_byte(r) == BYTE_DOUBLE ? read_double(r) : (double)amb_cbor_read_uint(r);
    return isfinite(value) ? value : (double)fail(r);
}

/* One value's head, and its content if it is no list or map. Returns how many values within it come next. */
static size_t skip_one(struct amb_cbor_reader *r) {
    int byte = next_byte(r);
    switch (byte < 0 ? -1 : byte >> 5) {
    case MAJOR_UINT: amb_cbor_read_uint(r); return 0;
    case MAJOR_TEXT: amb_cbor_read_text(r); return 0;
    case MAJOR_LIST: return amb_cbor_read_list(r);
    case MAJOR_MAP: return 2 * amb_cbor_read_map(r);
    case MAJOR_SIMPLE:
        if (byte == BYTE_DOUBLE)
            read_double(r);
        else if (!amb_cbor_read_null(r))
            amb_cbor_read_bool(r);
        return 0;
    default: fail(r); return 0;
    }
}

void amb_cbor_skip(struct amb_cbor_reader *r) {
    /* Each turn takes a byte at least, and no list claims more items than bytes are left. */
    for (size_t due = 1; due && !r->odd; due--) due += skip_one(r);
}

/* ---- sizes ---- */

enum { JSON_SEPARATOR = 2, JSON_NUMBER = 25, JSON_ESCAPE = 6 }; /* bytes at most */

static size_t json_text_size(struct amb_cbor_text text) {
    size_t size = text.len + 2;
    for (size_t i = 0; i < text.len; i++)
        if (text.data[i] < ' ' || text.data[i] == '"' || text.data[i] == '\\' || text.data[i] == 0x7f)
            size += JSON_ESCAPE - 1;
    return size;
}

static size_t json_uint_size(uint64_t value) {
    size_t digits = 1;
    for (; value >= 10; value /= 10) digits++;
    return digits;
}

/* One value without what is within it, of which it says how many values there are. */
static size_t json_head_size(struct amb_cbor_reader *r, size_t *within) {
    int byte = next_byte(r);
    *within = 0;
    switch (byte < 0 ? -1 : byte >> 5) {
    case MAJOR_UINT: return json_uint_size(amb_cbor_read_uint(r));
    case MAJOR_TEXT: return json_text_size(amb_cbor_read_text(r));
    case MAJOR_LIST: *within = amb_cbor_read_list(r); return 2;
    case MAJOR_MAP: *within = 2 * amb_cbor_read_map(r); return 2;
    default: skip_one(r); return JSON_NUMBER;
    }
}

size_t amb_cbor_json_size(const void *data, size_t len) {
    struct amb_cbor_reader r = amb_cbor_reader(data, len);
    size_t size = 0, within;
    for (size_t due = 1; due && !r.odd; due += within - 1)
        size += json_head_size(&r, &within) + JSON_SEPARATOR;
    return r.odd ? len * JSON_ESCAPE : size; /* each byte escaped */
}

bool amb_cbor_text_is(struct amb_cbor_text t, const char *text) {
    return strlen(text) == t.len && !memcmp(t.data, text, t.len);
}

bool amb_cbor_copy_text(struct amb_cbor_reader *r, struct amb_cbor_text t, char *out, size_t cap) {
    if (r->odd || t.len >= cap || memchr(t.data, 0, t.len)) {
        fail(r);
        return false;
    }
    memcpy(out, t.data, t.len);
    out[t.len] = 0;
    return true;
}
