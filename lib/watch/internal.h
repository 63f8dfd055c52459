/* Declarations shared by the source files of the watch. */
#ifndef AMBERPIN_LIB_WATCH_INTERNAL_H
#define AMBERPIN_LIB_WATCH_INTERNAL_H

#include "amberpin/codec/cbor_item.h"
#include "amberpin/watch/watch.h"

extern const char AMB_WATCHED_PREFIX[];

/* Passes a key and its value to the module that handles this kind of key. NULL means a removed key. */
void amb_watch_apply_key(struct amb_node *node, const char *key, const struct amb_cbor_item *value,
                         uint64_t revision);
/* Applies a page of changes that was requested at `sent_at`. Returns false if it cannot be decoded; nothing
 * of it is applied then. */
bool amb_watch_apply_page(struct amb_node *node, const void *page, size_t len, amb_ms sent_at);
/* Whether this HTTP status means that more has changed than the store keeps, or than this node may read at a
 * time, so that all keys have to be listed again. */
bool amb_watch_must_relist(int status);
/* Lists all keys again, unless a listing is in progress. */
void amb_watch_relist(struct amb_node *node);

#endif
