/* Reads CBOR in one pass over the bytes, for frequent messages. It supports only the
 * plain encodings: definite lengths, ASCII text, integers, doubles, true, false and null. On anything else,
 * including invalid CBOR, it fails, and the caller must parse the message in full instead (amb_cbor_parse). A
 * failure is permanent: everything read afterwards is zero. */
#ifndef AMBERPIN_CBOR_READER_H
#define AMBERPIN_CBOR_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct amb_cbor_reader {
    const unsigned char *at, *end; /* unread rest of the message, which the caller owns */
    bool failed;
};

struct amb_cbor_text { /* points into the message, without a terminating zero */
    const char *data;
    size_t len;
};

struct amb_cbor_reader amb_cbor_reader_init(const void *data, size_t len);

/* Each function reads the next value, which must be of that type. For a map or a list only the head is read;
 * the result is the number of pairs or items that follow, which is never more than the bytes left can
 * hold. */
size_t amb_cbor_read_map(struct amb_cbor_reader *reader);
size_t amb_cbor_read_list(struct amb_cbor_reader *reader);
struct amb_cbor_text amb_cbor_read_text(struct amb_cbor_reader *reader);
uint64_t amb_cbor_read_uint(struct amb_cbor_reader *reader);
bool amb_cbor_read_bool(struct amb_cbor_reader *reader);
double amb_cbor_read_number(struct amb_cbor_reader *reader); /* a double or an unsigned integer */
/* Reads the next value if it is null. Returns false, and reads nothing, if it is not. */
bool amb_cbor_read_if_null(struct amb_cbor_reader *reader);
/* Skips a whole value, including nested values. */
void amb_cbor_skip_value(struct amb_cbor_reader *reader);

/* Returns an upper bound of the value's size as JSON, in bytes: the protocol states its limits in JSON
 * bytes. */
size_t amb_cbor_json_size(const void *data, size_t len);

bool amb_cbor_text_equals(struct amb_cbor_text text, const char *expected);
/* Makes a zero-terminated copy. Returns false, and makes the reader fail, if the text does not fit or
 * contains a zero byte. */
bool amb_cbor_copy_text(struct amb_cbor_reader *reader, struct amb_cbor_text text, char *out, size_t cap);

#endif
