/* Reading CBOR bodies as trees of libcbor's items. Each getter answers "not there" for null, a missing field
 * or another type. */
#ifndef AMBERPIN_CBOR_ITEM_H
#define AMBERPIN_CBOR_ITEM_H

#include <cbor.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

cbor_item_t *amb_cbor_parse(const void *data, size_t len); /* NULL: not CBOR, or something after it */
const cbor_item_t *amb_cbor_map_get(const cbor_item_t *map, const char *key);
bool amb_cbor_copy_string(const cbor_item_t *item, char *out, size_t cap);
char *amb_cbor_dup_string(const cbor_item_t *item); /* of any length, to be freed; NULL: not a text */
bool amb_cbor_equals(const cbor_item_t *item, const char *text);
bool amb_cbor_get_uint(const cbor_item_t *item, uint64_t *out);
bool amb_cbor_get_number(const cbor_item_t *item, double *out);
bool amb_cbor_get_bool(const cbor_item_t *item, bool *out);
bool amb_cbor_is_absent(const cbor_item_t *item);     /* missing, null or undefined */
size_t amb_cbor_list_length(const cbor_item_t *list); /* 0 when not a list */
const cbor_item_t *amb_cbor_list_item(const cbor_item_t *list, size_t index);

#endif
