/* Reads CBOR bodies in place: an item is a view of its encoded bytes, so that reading takes no memory beyond
 * the body, whatever the body consists of. Getters accept any item, also NULL. They return false, and leave
 * *out unchanged, if the item is missing, null or of another type (but a number that is not finite is written
 * to *out). */
#ifndef AMBERPIN_CBOR_ITEM_H
#define AMBERPIN_CBOR_ITEM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A well-formed item, borrowed from the body that was parsed; its encoding begins with this byte. */
struct amb_cbor_item {
    unsigned char head;
};

/* Returns the one item that the bytes consist of, valid as long as they are. Returns NULL if they are not
 * well-formed (cbor_check.h). */
const struct amb_cbor_item *amb_cbor_parse(const void *data, size_t len);
/* Returns the number of bytes that the item's encoding has, including the items within it. */
size_t amb_cbor_encoded_len(const struct amb_cbor_item *item);

bool amb_cbor_is_map(const struct amb_cbor_item *item);
bool amb_cbor_is_list(const struct amb_cbor_item *item);

/* Returns the value of a map's first pair with this key. NULL: there is none, or `map` is no map. Takes time
 * in proportion to the pairs before it. */
const struct amb_cbor_item *amb_cbor_map_get(const struct amb_cbor_item *map, const char *key);

/* A position in a list or map. Private. */
struct amb_cbor_cursor {
    const unsigned char *next;
    uint64_t items_left; /* of a list or map of stated length */
    bool is_open_ended;  /* items follow until a break */
};

/* Returns a position before the first item of a list; a value that is no list has none. */
struct amb_cbor_cursor amb_cbor_list_begin(const struct amb_cbor_item *list);
/* Returns a position before the first pair of a map; a value that is no map has none. */
struct amb_cbor_cursor amb_cbor_map_begin(const struct amb_cbor_item *map);
/* Returns the next item of a list, or the next key or value of a map; NULL at the end. */
const struct amb_cbor_item *amb_cbor_next(struct amb_cbor_cursor *cursor);

/* Returns the number of items in a list; 0 if it is no list. */
size_t amb_cbor_list_length(const struct amb_cbor_item *list);
/* Returns the item at an index below the list's length. Takes time in proportion to the items before it. */
const struct amb_cbor_item *amb_cbor_list_item(const struct amb_cbor_item *list, size_t index);

/* Whether the item is missing, null or undefined. */
bool amb_cbor_is_absent(const struct amb_cbor_item *item);
/* Whether the item is this text. */
bool amb_cbor_equals(const struct amb_cbor_item *item, const char *text);
/* Copies a text with a terminating zero to `out`, of cap bytes. False also if it does not fit or contains a
 * zero byte. A text in chunks is none. */
bool amb_cbor_copy_string(const struct amb_cbor_item *item, char *out, size_t cap);
/* Returns a zero-terminated copy of a text of any length, to be freed. NULL: it is no text, or contains a
 * zero byte. */
char *amb_cbor_dup_string(const struct amb_cbor_item *item);
bool amb_cbor_get_uint(const struct amb_cbor_item *item, uint64_t *out);
/* Reads an integer or a float; false also if it is not finite. */
bool amb_cbor_get_number(const struct amb_cbor_item *item, double *out);
bool amb_cbor_get_bool(const struct amb_cbor_item *item, bool *out);

#endif
