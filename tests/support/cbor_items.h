/* Items that outlive the body that they were read from, and trees of libcbor for tests that go through all of
 * an item. */
#ifndef AMBERPIN_TESTS_CBOR_ITEMS_H
#define AMBERPIN_TESTS_CBOR_ITEMS_H

#include "amberpin/base/util.h"
#include "amberpin/codec/cbor_item.h"

#include <cbor.h>
#include <stdlib.h>
#include <string.h>

/* Returns a copy, to be released by cbor_item_free; NULL of NULL. */
static inline const struct amb_cbor_item *cbor_item_copy(const struct amb_cbor_item *item) {
    if (!item) return NULL;
    size_t len = amb_cbor_encoded_len(item);
    void *copy = amb_alloc(len);
    memcpy(copy, item, len);
    return copy;
}

static inline void cbor_item_free(const struct amb_cbor_item *item) {
    free((void *)item);
}

/* Returns the item as a tree, to be released by cbor_decref. */
static inline cbor_item_t *cbor_tree_of(const struct amb_cbor_item *item) {
    struct cbor_load_result result;
    return cbor_load(&item->head, amb_cbor_encoded_len(item), &result);
}

/* Appends the item's encoding. */
static inline void cbor_item_append(struct amb_buf *buffer, const struct amb_cbor_item *item) {
    amb_buf_append(buffer, item, amb_cbor_encoded_len(item));
}

#endif
