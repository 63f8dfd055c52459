/* Cache of encoded replies to peers' heartbeats. */
#ifndef AMBERPIN_LIB_PEER_REPLY_CACHE_H
#define AMBERPIN_LIB_PEER_REPLY_CACHE_H

#include <stdint.h>

struct amb_node;

/* Returns the reply to a peer that knows all changes up to this revision (0: it has not said), as JSON text.
 * The text is borrowed from the cache, and *owned_text is NULL; or it was encoded for this peer alone and is
 * also stored in *owned_text, which the caller frees. */
const char *amb_peer_get_reply_text(struct amb_node *node, uint64_t known_revision, char **owned_text);
void amb_peer_clear_cached_replies(struct amb_node *node);

#endif
