/* Pages of changes, as the state service answers a watch, read entry by entry from their bytes: no tree of
 * the whole page is built, so its memory and time do not grow with what its reader leaves out. Only the plain
 * encodings of cbor_reader.h are known; a page in any other has to be parsed in full (amb_cbor_parse). */
#ifndef AMBERPIN_CHANGE_PAGE_H
#define AMBERPIN_CHANGE_PAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { AMB_STORE_KEY_SIZE = 256 };

struct amb_change {
    char key[AMB_STORE_KEY_SIZE];
    uint64_t revision;
    const void *value; /* CBOR, points into the page; NULL: the key is removed */
    size_t value_len;
};

typedef void (*amb_change_visitor)(void *context, const struct amb_change *change);

/* Calls `visit` for each change in order. False, and nothing visited, when any part of the page is not in the
 * plain encodings. */
bool amb_change_page_decode(const void *page, size_t len, uint64_t *store_revision, amb_change_visitor visit,
                            void *context);

#endif
