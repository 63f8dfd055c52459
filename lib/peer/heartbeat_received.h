/* Application of received heartbeats. */
#ifndef AMBERPIN_LIB_PEER_HEARTBEAT_RECEIVED_H
#define AMBERPIN_LIB_PEER_HEARTBEAT_RECEIVED_H

#include "amberpin/peer/peers.h"

/* Applies the content of a heartbeat. peer: its sender, or NULL if the sender is not a configured peer. A
 * malformed status is ignored, but the rest of the heartbeat is applied. */
void amb_peer_apply_heartbeat(struct amb_node *node, struct amb_peer *peer,
                              const struct amb_peer_message *heartbeat);

#endif
