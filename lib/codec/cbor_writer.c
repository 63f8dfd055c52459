#include "amberpin/codec/cbor_writer.h"

#include <cbor.h>
#include <string.h>

enum { HEAD_BYTES_MAX = 9 };

/* libcbor's encoders of heads differ in the type of their argument; these wrappers have a common type. */
typedef size_t (*head_encoder)(uint64_t value, unsigned char *out, size_t size);

static void write_head(struct amb_buf *buffer, head_encoder encode, uint64_t value) {
    unsigned char bytes[HEAD_BYTES_MAX];
    amb_buf_append(buffer, bytes, encode(value, bytes, sizeof bytes));
}

static size_t encode_map(uint64_t pairs, unsigned char *out, size_t size) {
    return cbor_encode_map_start(pairs, out, size);
}

static size_t encode_list(uint64_t items, unsigned char *out, size_t size) {
    return cbor_encode_array_start(items, out, size);
}

static size_t encode_string(uint64_t len, unsigned char *out, size_t size) {
    return cbor_encode_string_start(len, out, size);
}

static size_t encode_uint(uint64_t value, unsigned char *out, size_t size) {
    return cbor_encode_uint(value, out, size);
}

void amb_cbor_write_map(struct amb_buf *buffer, size_t pairs) {
    write_head(buffer, encode_map, pairs);
}

void amb_cbor_write_list(struct amb_buf *buffer, size_t items) {
    write_head(buffer, encode_list, items);
}

void amb_cbor_write_text(struct amb_buf *buffer, const char *text, size_t len) {
    write_head(buffer, encode_string, len);
    amb_buf_append(buffer, text, len);
}

void amb_cbor_write_string(struct amb_buf *buffer, const char *text) {
    amb_cbor_write_text(buffer, text, strlen(text));
}

void amb_cbor_write_uint(struct amb_buf *buffer, uint64_t value) {
    write_head(buffer, encode_uint, value);
}

void amb_cbor_write_number(struct amb_buf *buffer, double value) {
    unsigned char bytes[HEAD_BYTES_MAX];
    amb_buf_append(buffer, bytes, cbor_encode_double(value, bytes, sizeof bytes));
}

void amb_cbor_write_bool(struct amb_buf *buffer, bool value) {
    unsigned char bytes[HEAD_BYTES_MAX];
    amb_buf_append(buffer, bytes, cbor_encode_bool(value, bytes, sizeof bytes));
}

void amb_cbor_write_null(struct amb_buf *buffer) {
    unsigned char bytes[HEAD_BYTES_MAX];
    amb_buf_append(buffer, bytes, cbor_encode_null(bytes, sizeof bytes));
}
