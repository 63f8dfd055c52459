/* Fields that the messages have in common: names, amounts, flags, and words of a fixed list. For the codecs
 * only. */
#ifndef AMBERPIN_CODEC_FIELDS_H
#define AMBERPIN_CODEC_FIELDS_H

#include "amberpin/codec/cbor_item.h"
#include "amberpin/model/model.h"

struct amb_word { /* the wire's word for one of our values; a list of them ends with one without text */
    const char *text;
    int value;
};

/* False: the list has no such word. */
bool amb_word_read(const struct amb_word *words, const cbor_item_t *item, int *out);
const char *amb_word_text(const struct amb_word *words, int value);

bool amb_name_plain(const char *name); /* may it stand in logs and records? */
bool amb_field_name(const cbor_item_t *map, const char *key, char out[AMB_NAME_SIZE]);
bool amb_field_amount(const cbor_item_t *map, const char *key, double *out);

void amb_put_amount(struct amb_buf *out, const char *key, double amount);
void amb_put_text(struct amb_buf *out, const char *key, const char *text);
void amb_put_flag(struct amb_buf *out, const char *key, bool flag);

#endif
