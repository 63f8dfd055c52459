/* Reads CBOR bodies as trees of libcbor's items. Getters take any item, NULL too; they return false, and
 * leave *out as it is, when it is missing, null or of another type (a number that is not finite is written to
 * *out all the same). */
#ifndef AMBERPIN_CBOR_ITEM_H
#define AMBERPIN_CBOR_ITEM_H

#include <cbor.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The item that the bytes are, to be released by cbor_decref. NULL: they are not CBOR, claim lengths that
 * they can't have, or go on after it. */
cbor_item_t *amb_cbor_parse(const void *data, size_t len);

/* The value of a map's first pair with this key, borrowed; NULL: there is none, or it is no map. */
const cbor_item_t *amb_cbor_map_get(const cbor_item_t *map, const char *key);
/* How many items a list has; 0: it is no list. */
size_t amb_cbor_list_length(const cbor_item_t *list);
/* The item at an index below the list's length, borrowed. */
const cbor_item_t *amb_cbor_list_item(const cbor_item_t *list, size_t index);

/* Missing, null or undefined. */
bool amb_cbor_is_absent(const cbor_item_t *item);
/* Whether it is this text. */
bool amb_cbor_equals(const cbor_item_t *item, const char *text);
/* A terminated copy in `out`, of cap bytes. False also when it does not fit or holds a zero byte. */
bool amb_cbor_copy_string(const cbor_item_t *item, char *out, size_t cap);
/* A terminated copy of a text of any length, to be freed. NULL: it is no text, or holds a zero byte. */
char *amb_cbor_dup_string(const cbor_item_t *item);
bool amb_cbor_get_uint(const cbor_item_t *item, uint64_t *out);
/* An integer or a float; false also when it is not finite. */
bool amb_cbor_get_number(const cbor_item_t *item, double *out);
bool amb_cbor_get_bool(const cbor_item_t *item, bool *out);

#endif
