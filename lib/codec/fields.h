/* Fields that the messages have in common: names, amounts, flags, and values of a fixed list. For the codecs
 * only. */
#ifndef AMBERPIN_CODEC_FIELDS_H
#define AMBERPIN_CODEC_FIELDS_H

#include "amberpin/codec/cbor_item.h"
#include "amberpin/model/model.h"

/* A value's name on the wire. A list of them ends with one without text. */
struct amb_codec_enum_name {
    const char *text;
    int value;
};

/* False: the item is none of these names, and *out stays as it is. */
bool amb_codec_read_enum(const struct amb_codec_enum_name *names, const cbor_item_t *item, int *out);
/* "?" for a value that has no name. */
const char *amb_codec_enum_text(const struct amb_codec_enum_name *names, int value);

/* Whether a name may stand in logs and records: it is not empty, and has no blanks or control characters. */
bool amb_codec_is_plain_name(const char *name);
/* Reads a plain name. False: the field is missing or something else. */
bool amb_codec_read_name(const cbor_item_t *map, const char *key, char out[AMB_NAME_SIZE]);
/* Reads a number of 0 to 1e9. False: the field is missing or something else. */
bool amb_codec_read_amount(const cbor_item_t *map, const char *key, double *out);

/* Each writes a key and its value into the map that has been begun. */
void amb_codec_put_amount(struct amb_buf *out, const char *key, double amount);
void amb_codec_put_uint(struct amb_buf *out, const char *key, uint64_t value);
void amb_codec_put_text(struct amb_buf *out, const char *key, const char *text);
void amb_codec_put_bool(struct amb_buf *out, const char *key, bool flag);

#endif
