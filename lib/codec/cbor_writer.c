#include "amberpin/codec/cbor_writer.h"

#include <cbor.h>
#include <string.h>

static void head(struct amb_buf *buffer, size_t (*enc)(uint64_t, unsigned char *, size_t), uint64_t v) {
    unsigned char tmp[16];
    amb_buf_add(buffer, tmp, enc(v, tmp, sizeof tmp));
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

void amb_w_map(struct amb_buf *buffer, size_t pairs) {
    head(buffer, enc_map, pairs);
}
void amb_w_list(struct amb_buf *buffer, size_t items) {
    head(buffer, enc_list, items);
}
void amb_w_strn(struct amb_buf *buffer, const char *s, size_t n) {
    head(buffer, enc_str, n);
    amb_buf_add(buffer, s, n);
}
void amb_w_str(struct amb_buf *buffer, const char *s) {
    amb_w_strn(buffer, s, strlen(s));
}
void amb_w_uint(struct amb_buf *buffer, uint64_t v) {
    head(buffer, enc_uint, v);
}
void amb_w_num(struct amb_buf *buffer, double v) {
    unsigned char tmp[16];
    amb_buf_add(buffer, tmp, cbor_encode_double(v, tmp, sizeof tmp));
}
void amb_w_bool(struct amb_buf *buffer, bool v) {
    unsigned char tmp[4];
    amb_buf_add(buffer, tmp, cbor_encode_bool(v, tmp, sizeof tmp));
}
void amb_w_null(struct amb_buf *buffer) {
    unsigned char tmp[4];
    amb_buf_add(buffer, tmp, cbor_encode_null(tmp, sizeof tmp));
}
