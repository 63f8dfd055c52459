/* Selection of the cancellations that a message contains. */
#ifndef AMBERPIN_LIB_PEER_CANCELLATION_LISTS_H
#define AMBERPIN_LIB_PEER_CANCELLATION_LISTS_H

#include "amberpin/codec/peer_messages.h"

struct amb_node;

/* Adds every cancellation whose revision is higher than `known_revision`, up to which the receiver knows all
 * changes. */
void amb_peer_add_cancellations_after(const struct amb_node *node, struct amb_peer_message *message,
                                      uint64_t known_revision);
/* Adds the recent cancellations whose revision is higher than `known_revision`, and only the latest
 * `max_rows` of them if there are more. For receivers that did not ask: they learn of the cancellations
 * sooner than by the watch on the store. */
void amb_peer_add_recent_cancellations(const struct amb_node *node, struct amb_peer_message *message,
                                       uint64_t known_revision, size_t max_rows);
/* Returns the wall-clock time, in ms, at which the first of the recent cancellations ceases to be recent;
 * INT64_MAX: there is none. */
int64_t amb_peer_recent_cancellations_expiry(const struct amb_node *node);
/* Returns the revision of the newest cancellation; 0: there is none. */
uint64_t amb_peer_newest_cancellation_revision(const struct amb_node *node);

#endif
