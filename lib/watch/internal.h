/* What the files of the watch share. */
#ifndef AMBERPIN_LIB_WATCH_INTERNAL_H
#define AMBERPIN_LIB_WATCH_INTERNAL_H

#include "amberpin/codec/cbor_item.h"
#include "amberpin/watch/watch.h"

extern const char AMB_WATCHED_PREFIX[];

/* Hands a key as it now is to the module that reads it; value NULL: the key is removed. */
void amb_watch_apply_key(struct amb_node *node, const char *key, const cbor_item_t *value, uint64_t revision);
/* Applies a page of changes that was asked for then. False: it can't be read, and nothing of it is applied.
 */
bool amb_watch_apply_page(struct amb_node *node, const void *page, size_t len, amb_ms sent_at);
/* More has changed than the store keeps, or than this node may read at a time: all has to be listed anew. */
bool amb_watch_must_relist(int status);
/* Lists all keys anew, unless that is being done. */
void amb_watch_relist(struct amb_node *node);

#endif
