/* Which cancellations go into a message. */
#ifndef AMBERPIN_LIB_PEER_CANCELLATION_LISTS_H
#define AMBERPIN_LIB_PEER_CANCELLATION_LISTS_H

#include "amberpin/codec/peer_messages.h"

struct amb_node;

/* Adds every cancellation that is newer than what the receiver knows. */
void amb_peer_add_cancellations_after(const struct amb_node *node, struct amb_peer_message *message,
                                      uint64_t known_revision);
/* For receivers that did not ask, so that they hear of them sooner than by the watch on the store: adds the
 * recent cancellations newer than `known_revision`; of more than `max_rows` the latest. */
void amb_peer_add_recent_cancellations(const struct amb_node *node, struct amb_peer_message *message,
                                       uint64_t known_revision, size_t max_rows);
/* Time of day, in ms, from which the first of the present recent cancellations is not recent any more. */
int64_t amb_peer_recent_cancellations_expiry(const struct amb_node *node);
/* Revision of the newest cancellation; 0: there is none. */
uint64_t amb_peer_newest_cancellation_revision(const struct amb_node *node);

#endif
