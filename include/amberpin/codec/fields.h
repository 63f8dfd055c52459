/* Fields that the messages have in common: names, amounts, flags, and words of a fixed list. For the codecs
 * only. */
#ifndef AMBERPIN_CODEC_FIELDS_H
#define AMBERPIN_CODEC_FIELDS_H

#include "amberpin/codec/cbor_item.h"
#include "amberpin/model/model.h"

struct amb_codec_enum_name { /* the wire's word for one of our values; a list of them ends with one without
                                text */
    const char *text;
    int value;
};

/* False: the list has no such word. */
bool amb_codec_read_enum(const struct amb_codec_enum_name *words, const cbor_item_t *item, int *out);
const char *amb_codec_enum_text(const struct amb_codec_enum_name *words, int value);

bool amb_codec_is_plain_name(const char *name); /* may it stand in logs and records? */
bool amb_codec_read_name(const cbor_item_t *map, const char *key, char out[AMB_NAME_SIZE]);
bool amb_codec_read_amount(const cbor_item_t *map, const char *key, double *out);

void amb_codec_put_amount(struct amb_buf *out, const char *key, double amount);
void amb_codec_put_text(struct amb_buf *out, const char *key, const char *text);
void amb_codec_put_bool(struct amb_buf *out, const char *key, bool flag);

#endif
