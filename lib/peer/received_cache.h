/* Messages of peers, parsed once as long as they repeat themselves. What a controller that does not lead says
 * is the same for seconds, while every peer reads it twice a heartbeat period. What a message says is applied
 * anew each time: only its parsed form is kept. */
#ifndef AMBERPIN_LIB_PEER_RECEIVED_CACHE_H
#define AMBERPIN_LIB_PEER_RECEIVED_CACHE_H

#include "amberpin/peer/peers.h"

/* NULL: no such peer. */
struct amb_peer *amb_peer_find(struct amb_node *node, const char *member);
/* The reply of this peer to our heartbeat. The caller becomes an owner; on an error *reply is NULL. */
struct amb_peer_message_error amb_peer_parse_reply(struct amb_peer *peer, const char *text, size_t len,
                                                   struct amb_peer_message **reply);
/* A heartbeat, which must name its sender. The caller becomes an owner; on an error *heartbeat is NULL. */
struct amb_peer_message_error amb_peer_parse_heartbeat(struct amb_node *node, const char *text, size_t len,
                                                       struct amb_peer_message **heartbeat);
void amb_peer_clear_received_messages(struct amb_node *node);

#endif
