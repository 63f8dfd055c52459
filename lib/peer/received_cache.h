/* Cache of parsed messages from peers. A controller that does not lead sends the same message for seconds,
 * and every peer receives it twice in a heartbeat period. Only the parsed form is cached: the content of a
 * message is applied each time that the message arrives. */
#ifndef AMBERPIN_LIB_PEER_RECEIVED_CACHE_H
#define AMBERPIN_LIB_PEER_RECEIVED_CACHE_H

#include "amberpin/peer/peers.h"

/* Returns the peer of this name; NULL: there is none. */
struct amb_peer *amb_peer_find(struct amb_node *node, const char *member);
/* Parses the peer's reply to our heartbeat. The caller receives a reference; on an error *reply is NULL. */
struct amb_peer_message_error amb_peer_parse_reply(struct amb_peer *peer, const char *text, size_t len,
                                                   struct amb_peer_message **reply);
/* Parses a heartbeat, which must name its sender. The caller receives a reference; on an error *heartbeat is
 * NULL. */
struct amb_peer_message_error amb_peer_parse_heartbeat(struct amb_node *node, const char *text, size_t len,
                                                       struct amb_peer_message **heartbeat);
void amb_peer_clear_received_messages(struct amb_node *node);

#endif
