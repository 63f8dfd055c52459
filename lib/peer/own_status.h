/* The status that this controller sends to its peers. */
#ifndef AMBERPIN_LIB_PEER_OWN_STATUS_H
#define AMBERPIN_LIB_PEER_OWN_STATUS_H

#include "amberpin/codec/peer_messages.h"

struct amb_node;

struct amb_peer_status amb_peer_own_status(const struct amb_node *node);
bool amb_peer_status_is_same(const struct amb_peer_status *status, const struct amb_peer_status *other);

#endif
