/* Replies to peers' heartbeats, kept as text as long as they would not change. */
#ifndef AMBERPIN_LIB_PEER_REPLY_CACHE_H
#define AMBERPIN_LIB_PEER_REPLY_CACHE_H

#include <stdint.h>

struct amb_node;

/* The reply to a peer that knows all changes up to this revision (0: it has not said), as JSON. Borrowed
 * from the cache, or, if it was encoded for this peer alone, also in *owned_text, to be freed. */
const char *amb_peer_get_reply_text(struct amb_node *node, uint64_t known_revision, char **owned_text);
void amb_peer_clear_sent_messages(struct amb_node *node);

#endif
