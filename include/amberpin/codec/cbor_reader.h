/* Reads CBOR straight from the bytes, without a tree of items: for messages that come often. It knows the
 * plain encodings only: definite lengths, text in ASCII, integers, doubles, true, false and null. At anything
 * else, also at what is not CBOR at all, it becomes `odd`, and whoever reads must parse the message in full
 * instead (amb_cbor_parse). Once odd it stays so, and everything read from it is zero. */
#ifndef AMBERPIN_CBOR_READER_H
#define AMBERPIN_CBOR_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct amb_cbor_reader {
    const unsigned char *at, *end;
    bool failed;
};

struct amb_cbor_dup_string { /* not terminated, points into the message */
    const char *data;
    size_t len;
};

struct amb_cbor_reader amb_cbor_reader(const void *data, size_t len);

size_t amb_cbor_read_map(struct amb_cbor_reader *reader);  /* number of pairs */
size_t amb_cbor_read_list(struct amb_cbor_reader *reader); /* number of items */
struct amb_cbor_dup_string amb_cbor_read_text(struct amb_cbor_reader *reader);
uint64_t amb_cbor_read_uint(struct amb_cbor_reader *reader);
bool amb_cbor_read_bool(struct amb_cbor_reader *reader);
double amb_cbor_read_number(struct amb_cbor_reader *reader);
bool amb_cbor_read_if_null(
    struct amb_cbor_reader *reader); /* whether the next value is null; only then it is passed */
void amb_cbor_skip_value(struct amb_cbor_reader *reader); /* a whole value */

/* No more bytes than this the value takes as JSON, in which the protocol counts sizes. */
size_t amb_cbor_json_size(const void *data, size_t len);

bool amb_cbor_text_equals(struct amb_cbor_dup_string text, const char *expected);
/* A terminated copy. False, and the reader odd, when it does not fit or holds a NUL. */
bool amb_cbor_copy_text(struct amb_cbor_reader *reader, struct amb_cbor_dup_string text, char *out,
                        size_t cap);

#endif
