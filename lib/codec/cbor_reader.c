#include "amberpin/codec/cbor_reader.h"

#include "cbor_head.h"

#include <math.h>
#include <string.h>

struct amb_cbor_reader amb_cbor_reader_init(const void *data, size_t len) {
    const unsigned char *at = data;
    return (struct amb_cbor_reader){at, at + len, false};
}

static uint64_t fail(struct amb_cbor_reader *reader) {
    reader->failed = true;
    reader->at = reader->end;
    return 0;
}

static size_t bytes_left(const struct amb_cbor_reader *reader) {
    return (size_t)(reader->end - reader->at);
}

/* Returns -1 at the end of the input. */
static int peek_byte(const struct amb_cbor_reader *reader) {
    return reader->at < reader->end ? *reader->at : -1;
}

static uint64_t read_big_endian(struct amb_cbor_reader *reader, size_t bytes) {
    if (bytes_left(reader) < bytes) return fail(reader);
    uint64_t value = 0;
    for (size_t i = 0; i < bytes; i++) value = value << 8 | *reader->at++;
    return value;
}

/* Reads the head of a value of this major type and returns its argument: the value itself, or a length. */
static uint64_t read_head(struct amb_cbor_reader *reader, enum cbor_major major) {
    int byte = peek_byte(reader);
    if (byte < 0 || byte >> CBOR_INFO_BITS != (int)major) return fail(reader);
    int info = byte & CBOR_INFO_MASK;
    reader->at++;
    if (info < CBOR_INFO_ARGUMENT_1) return (uint64_t)info;
    if (info > CBOR_INFO_ARGUMENT_8) return fail(reader); /* indefinite, or not CBOR */
    return read_big_endian(reader, (size_t)1 << (info - CBOR_INFO_ARGUMENT_1));
}

/* Fails if more is claimed than the bytes left can hold, so that no caller allocates memory for it. */
static size_t read_count(struct amb_cbor_reader *reader, enum cbor_major major, size_t bytes_each) {
    uint64_t count = read_head(reader, major);
    return count <= bytes_left(reader) / bytes_each ? (size_t)count : (size_t)fail(reader);
}

size_t amb_cbor_read_map(struct amb_cbor_reader *reader) {
    return read_count(reader, CBOR_MAJOR_MAP, 2);
}

size_t amb_cbor_read_list(struct amb_cbor_reader *reader) {
    return read_count(reader, CBOR_MAJOR_LIST, 1);
}

static bool is_ascii(const unsigned char *text, size_t len) {
    unsigned char all = 0;
    for (size_t i = 0; i < len; i++) all |= text[i];
    return all < 0x80;
}

struct amb_cbor_text amb_cbor_read_text(struct amb_cbor_reader *reader) {
    uint64_t len = read_head(reader, CBOR_MAJOR_TEXT);
    if (len > bytes_left(reader) || !is_ascii(reader->at, (size_t)len)) len = fail(reader);
    struct amb_cbor_text text = {(const char *)reader->at, (size_t)len};
    reader->at += len;
    return text;
}

uint64_t amb_cbor_read_uint(struct amb_cbor_reader *reader) {
    return read_head(reader, CBOR_MAJOR_UINT);
}

bool amb_cbor_read_bool(struct amb_cbor_reader *reader) {
    int byte = peek_byte(reader);
    if (byte != CBOR_BYTE_TRUE && byte != CBOR_BYTE_FALSE) return fail(reader);
    reader->at++;
    return byte == CBOR_BYTE_TRUE;
}

bool amb_cbor_read_if_null(struct amb_cbor_reader *reader) {
    if (peek_byte(reader) != CBOR_BYTE_NULL) return false;
    reader->at++;
    return true;
}

static double read_double(struct amb_cbor_reader *reader) {
    double value;
    reader->at++;
    uint64_t bits = read_big_endian(reader, sizeof bits);
    memcpy(&value, &bits, sizeof value);
    return value;
}

double amb_cbor_read_number(struct amb_cbor_reader *reader) {
    double value =
        peek_byte(reader) == CBOR_BYTE_DOUBLE ? read_double(reader) : (double)amb_cbor_read_uint(reader);
    return isfinite(value) ? value : (double)fail(reader);
}

/* Skips a value, but only the head of a list or map. Returns the number of nested values that follow. */
static size_t skip_shallow(struct amb_cbor_reader *reader) {
    int byte = peek_byte(reader);
    switch (byte < 0 ? -1 : byte >> CBOR_INFO_BITS) {
    case CBOR_MAJOR_UINT: amb_cbor_read_uint(reader); return 0;
    case CBOR_MAJOR_TEXT: amb_cbor_read_text(reader); return 0;
    case CBOR_MAJOR_LIST: return amb_cbor_read_list(reader);
    case CBOR_MAJOR_MAP: return 2 * amb_cbor_read_map(reader);
    case CBOR_MAJOR_SIMPLE:
        if (byte == CBOR_BYTE_DOUBLE)
            read_double(reader);
        else if (!amb_cbor_read_if_null(reader))
            amb_cbor_read_bool(reader);
        return 0;
    default: fail(reader); return 0;
    }
}

void amb_cbor_skip_value(struct amb_cbor_reader *reader) {
    /* Terminates: each step consumes at least one byte, and no list claims more items than bytes are left. */
    for (size_t values_left = 1; values_left && !reader->failed; values_left--)
        values_left += skip_shallow(reader);
}

/* ---- size as JSON ---- */

enum {
    JSON_SEPARATOR = 2,
    JSON_QUOTES = 2,
    JSON_BRACKETS = 2,
    JSON_NUMBER = 25,
    JSON_ESCAPE = 6
}; /* upper bounds in bytes */

static size_t json_text_size(struct amb_cbor_text text) {
    size_t size = text.len + JSON_QUOTES;
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

/* Reads a value and returns its size; of a list or map only the head, with *within nested values to
 * follow. */
static size_t json_shallow_size(struct amb_cbor_reader *reader, size_t *within) {
    int byte = peek_byte(reader);
    *within = 0;
    switch (byte < 0 ? -1 : byte >> CBOR_INFO_BITS) {
    case CBOR_MAJOR_UINT: return json_uint_size(amb_cbor_read_uint(reader));
    case CBOR_MAJOR_TEXT: return json_text_size(amb_cbor_read_text(reader));
    case CBOR_MAJOR_LIST: *within = amb_cbor_read_list(reader); return JSON_BRACKETS;
    case CBOR_MAJOR_MAP: *within = 2 * amb_cbor_read_map(reader); return JSON_BRACKETS;
    default: skip_shallow(reader); return JSON_NUMBER;
    }
}

size_t amb_cbor_json_size(const void *data, size_t len) {
    struct amb_cbor_reader reader = amb_cbor_reader_init(data, len);
    size_t size = 0, within;
    for (size_t values_left = 1; values_left && !reader.failed; values_left += within - 1)
        size += json_shallow_size(&reader, &within) + JSON_SEPARATOR;
    return reader.failed ? len * JSON_ESCAPE : size; /* as if each byte were escaped */
}

bool amb_cbor_text_equals(struct amb_cbor_text text, const char *expected) {
    return strlen(expected) == text.len && !memcmp(text.data, expected, text.len);
}

bool amb_cbor_copy_text(struct amb_cbor_reader *reader, struct amb_cbor_text text, char *out, size_t cap) {
    if (reader->failed || text.len >= cap || memchr(text.data, 0, text.len)) {
        fail(reader);
        return false;
    }
    memcpy(out, text.data, text.len);
    out[text.len] = 0;
    return true;
}
