/* Reading CBOR bodies as trees of libcbor's items. Each getter answers "not there" for null, a missing field
 * or another type. */
#ifndef AMBERPIN_CBOR_ITEM_H
#define AMBERPIN_CBOR_ITEM_H

#include <cbor.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

cbor_item_t *amb_cbor_parse(const void *data, size_t len); /* NULL: not CBOR, or something after it */
const cbor_item_t *amb_cbor_get(const cbor_item_t *map, const char *key);
bool amb_cbor_str(const cbor_item_t *v, char *out, size_t cap);
char *amb_cbor_text(const cbor_item_t *v); /* of any length, to be freed; NULL: not a text */
bool amb_cbor_eq(const cbor_item_t *v, const char *text);
bool amb_cbor_uint(const cbor_item_t *v, uint64_t *out);
bool amb_cbor_num(const cbor_item_t *v, double *out);
bool amb_cbor_bool(const cbor_item_t *v, bool *out);
bool amb_cbor_absent(const cbor_item_t *v);   /* missing, null or undefined */
size_t amb_cbor_len(const cbor_item_t *list); /* 0 when not a list */
const cbor_item_t *amb_cbor_at(const cbor_item_t *list, size_t i);

#endif
