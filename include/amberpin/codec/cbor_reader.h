/* Reads CBOR straight from the bytes, without a tree of items: for messages that come often. It knows the
 * plain encodings only: definite lengths, text in ASCII, integers, doubles, true, false and null. At anything
 * else, also at what is not CBOR at all, it fails, and its user must parse the message in full instead
 * (amb_cbor_parse). Once it has failed it stays so, and everything read from it is zero. */
#ifndef AMBERPIN_CBOR_READER_H
#define AMBERPIN_CBOR_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct amb_cbor_reader {
    const unsigned char *at, *end; /* what is not read yet of the message, which the caller keeps */
    bool failed;
};

struct amb_cbor_text { /* not terminated, points into the message */
    const char *data;
    size_t len;
};

struct amb_cbor_reader amb_cbor_reader_init(const void *data, size_t len);

/* Each reads the next value, which must be of that type. Of a map and a list they read the head alone, and
 * return how many pairs or items follow, which are at most as many as the bytes left can hold. */
size_t amb_cbor_read_map(struct amb_cbor_reader *reader);
size_t amb_cbor_read_list(struct amb_cbor_reader *reader);
struct amb_cbor_text amb_cbor_read_text(struct amb_cbor_reader *reader);
uint64_t amb_cbor_read_uint(struct amb_cbor_reader *reader);
bool amb_cbor_read_bool(struct amb_cbor_reader *reader);
double amb_cbor_read_number(struct amb_cbor_reader *reader); /* a double or an unsigned integer */
/* Reads the next value if it is null. False: it is not, and is still to be read. */
bool amb_cbor_read_if_null(struct amb_cbor_reader *reader);
/* Passes over a whole value, with all that is within it. */
void amb_cbor_skip_value(struct amb_cbor_reader *reader);

/* At most so many bytes the value takes as JSON, in which the protocol counts sizes. */
size_t amb_cbor_json_size(const void *data, size_t len);

bool amb_cbor_text_equals(struct amb_cbor_text text, const char *expected);
/* Makes a terminated copy. False, and the reader has failed, when it does not fit or holds a zero byte. */
bool amb_cbor_copy_text(struct amb_cbor_reader *reader, struct amb_cbor_text text, char *out, size_t cap);

#endif
