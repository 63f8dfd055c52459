/* Field types shared by the messages: names, amounts, flags and enumerated values. Internal to lib/codec. */
#ifndef AMBERPIN_CODEC_FIELDS_H
#define AMBERPIN_CODEC_FIELDS_H

#include "amberpin/codec/cbor_item.h"
#include "amberpin/model/model.h"

/* The name of a value on the wire. An entry without text ends a list of names. */
struct amb_codec_enum_name {
    const char *text;
    int value;
};

/* Returns false, and leaves *out unchanged, if the item is none of these names. */
bool amb_codec_read_enum(const struct amb_codec_enum_name *names, const struct amb_cbor_item *item, int *out);
/* Returns "?" for a value without a name. */
const char *amb_codec_enum_text(const struct amb_codec_enum_name *names, int value);

/* Whether a name is safe in logs and records: it is not empty and has no blanks or control characters. */
bool amb_codec_is_plain_name(const char *name);
/* Reads a plain name. Returns false if the field is missing or anything else. */
bool amb_codec_read_name(const struct amb_cbor_item *map, const char *key, char out[AMB_NAME_SIZE]);
/* Reads a number from 0 to 1e9. Returns false if the field is missing or anything else. */
bool amb_codec_read_amount(const struct amb_cbor_item *map, const char *key, double *out);

/* Each function writes a key and its value into a map whose head has been written. */
void amb_codec_put_amount(struct amb_buf *out, const char *key, double amount);
void amb_codec_put_uint(struct amb_buf *out, const char *key, uint64_t value);
void amb_codec_put_text(struct amb_buf *out, const char *key, const char *text);
void amb_codec_put_bool(struct amb_buf *out, const char *key, bool flag);

#endif
