/* Pages of keys, as the key-value store answers a watch (changes) or a listing.
 *
 * A page of changes is read change by change from its bytes: no tree of the whole page is built, so its
 * memory and time do not grow with what its reader leaves out. Only the plain encodings of cbor_reader.h are
 * known; a page in any other has to be parsed in full (amb_change_page_parse). */
#ifndef AMBERPIN_CODEC_CHANGE_PAGE_H
#define AMBERPIN_CODEC_CHANGE_PAGE_H

#include "amberpin/codec/cbor_item.h"

/* Bytes of a key of the store, its terminator included. */
enum { AMB_STORE_KEY_SIZE = 256 };

/* ---- changes ---- */

/* A change of a key, its value not parsed. */
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

/* A key and its value. */
struct amb_parsed_change {
    char key[AMB_STORE_KEY_SIZE];
    uint64_t revision;
    const cbor_item_t *value; /* borrowed from the page; NULL: the key is removed */
};

typedef void (*amb_parsed_change_visitor)(void *context, const struct amb_parsed_change *change);

/* The same for a page in any encoding. Changes that are malformed are skipped. False, and nothing visited,
 * when it is not a page. */
bool amb_change_page_parse(const void *page, size_t len, uint64_t *store_revision,
                           amb_parsed_change_visitor visit, void *context);

/* ---- listings ---- */

/* Borrows from the body that it was decoded from. */
struct amb_list_page {
    uint64_t store_revision;
    bool has_more; /* keys after the last one of the page */
    const cbor_item_t *pairs;
};

/* False: the body is not a page of a listing. */
bool amb_list_page_decode(const cbor_item_t *body, struct amb_list_page *page);
/* The next key of the page, from *position 0 on; malformed ones are skipped. False: there is none. */
bool amb_list_page_next(const struct amb_list_page *page, size_t *position, struct amb_parsed_change *pair);

#endif
