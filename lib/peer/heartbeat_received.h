/* Applying what peers' messages say. */
#ifndef AMBERPIN_LIB_PEER_HEARTBEAT_RECEIVED_H
#define AMBERPIN_LIB_PEER_HEARTBEAT_RECEIVED_H

#include "amberpin/peer/peers.h"

/* Applies all that a heartbeat says; peer: its sender, NULL if it is none that we know. A status that is
 * malformed is ignored, and what the heartbeat says beside it is not. */
void amb_peer_apply_heartbeat(struct amb_node *node, struct amb_peer *peer,
                              const struct amb_peer_message *heartbeat);

#endif
