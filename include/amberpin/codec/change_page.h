/* Pages of keys in the key-value store's responses to a watch (changes) or a listing.
 *
 * A page of changes is decoded one change at a time from its bytes. No tree of the whole page is built, so
 * memory and time do not grow with the values that the reader ignores. Only the plain encodings of
 * cbor_reader.h are supported; a page in any other encoding has to be parsed in full
 * (amb_change_page_parse). */
#ifndef AMBERPIN_CODEC_CHANGE_PAGE_H
#define AMBERPIN_CODEC_CHANGE_PAGE_H

#include "amberpin/codec/cbor_item.h"

/* Bytes of a key of the store, including the terminating zero. */
enum { AMB_STORE_KEY_SIZE = 256 };

/* ---- changes ---- */

/* A change of a key, with its value unparsed. */
struct amb_change {
    char key[AMB_STORE_KEY_SIZE];
    uint64_t revision;
    const void *value; /* CBOR, points into the page; NULL: the key is removed */
    size_t value_len;
};

typedef void (*amb_change_visitor)(void *context, const struct amb_change *change);

/* Calls `visit` for each change in order. Returns false, without visiting any, if a part of the page is not
 * in the plain encodings. */
bool amb_change_page_decode(const void *page, size_t len, uint64_t *store_revision, amb_change_visitor visit,
                            void *context);

/* A key and its parsed value. */
struct amb_parsed_change {
    char key[AMB_STORE_KEY_SIZE];
    uint64_t revision;
    const struct amb_cbor_item *value; /* borrowed from the page; NULL: the key is removed */
};

typedef void (*amb_parsed_change_visitor)(void *context, const struct amb_parsed_change *change);

/* Like amb_change_page_decode, but for a page in any encoding. Malformed changes are skipped. Returns false,
 * without visiting any, if the bytes are not a page. */
bool amb_change_page_parse(const void *page, size_t len, uint64_t *store_revision,
                           amb_parsed_change_visitor visit, void *context);

/* ---- listings ---- */

/* A page of a listing. Borrows from the body that it was decoded from. */
struct amb_list_page {
    uint64_t store_revision;
    bool has_more;                /* there are keys after the last one of the page */
    struct amb_cbor_cursor pairs; /* before the first key */
};

/* Returns false if the body is not a page of a listing. */
bool amb_list_page_decode(const struct amb_cbor_item *body, struct amb_list_page *page);
/* Reads the next key of the page and advances *position, which starts as a copy of the page's `pairs`.
 * Malformed entries are skipped. Returns false at the end. */
bool amb_list_page_next(struct amb_cbor_cursor *position, struct amb_parsed_change *pair);

#endif
