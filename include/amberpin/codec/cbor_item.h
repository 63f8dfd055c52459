/* Reads CBOR bodies as trees of libcbor items. Getters accept any item, also NULL. They return false, and
 * leave *out unchanged, if the item is missing, null or of another type (but a number that is not finite is
 * written to *out). */
#ifndef AMBERPIN_CBOR_ITEM_H
#define AMBERPIN_CBOR_ITEM_H

#include <cbor.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Parses one item, to be released by cbor_decref. Returns NULL if the bytes are not CBOR, claim impossible
 * lengths or continue after the item. */
cbor_item_t *amb_cbor_parse(const void *data, size_t len);

/* Returns the value of a map's first pair with this key, borrowed. NULL: there is none, or `map` is no
 * map. */
const cbor_item_t *amb_cbor_map_get(const cbor_item_t *map, const char *key);
/* Returns the number of items in a list; 0 if it is no list. */
size_t amb_cbor_list_length(const cbor_item_t *list);
/* Returns the item at an index below the list's length, borrowed. */
const cbor_item_t *amb_cbor_list_item(const cbor_item_t *list, size_t index);

/* Whether the item is missing, null or undefined. */
bool amb_cbor_is_absent(const cbor_item_t *item);
/* Whether the item is this text. */
bool amb_cbor_equals(const cbor_item_t *item, const char *text);
/* Copies a text with a terminating zero to `out`, of cap bytes. False also if it does not fit or contains a
 * zero byte. */
bool amb_cbor_copy_string(const cbor_item_t *item, char *out, size_t cap);
/* Returns a zero-terminated copy of a text of any length, to be freed. NULL: it is no text, or contains a
 * zero byte. */
char *amb_cbor_dup_string(const cbor_item_t *item);
bool amb_cbor_get_uint(const cbor_item_t *item, uint64_t *out);
/* Reads an integer or a float; false also if it is not finite. */
bool amb_cbor_get_number(const cbor_item_t *item, double *out);
bool amb_cbor_get_bool(const cbor_item_t *item, bool *out);

#endif
