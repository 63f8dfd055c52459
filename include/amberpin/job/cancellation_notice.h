/* Cancellation notices: messages between controllers that a job is being cancelled or has been cancelled, so
 * that the leader knows before the user does. The watch on the key-value store reports the same, but may be
 * seconds behind. Notices are best effort: nothing waits for one, and none is proof of anything. If one is
 * lost, the watch and the peers' heartbeats report the cancellation later. */
#ifndef AMBERPIN_CANCELLATION_NOTICE_H
#define AMBERPIN_CANCELLATION_NOTICE_H

#include "amberpin/codec/peer_messages.h"

struct amb_node;
struct amb_job;

/* Call this when this node is about to write the job's cancellation. */
void amb_cancellation_notice_send_pending(struct amb_node *node, struct amb_job *job);
/* Call this when this node is about to tell a user that the job is cancelled. Only the first call for a job
 * sends a notice. */
void amb_cancellation_notice_send_cancelled(struct amb_node *node, struct amb_job *job);
/* Applies the notice of another controller. Revision 0 means that the cancellation is not written yet. */
void amb_cancellation_notice_receive(struct amb_node *node, const struct amb_peer_cancellation *cancellation);
/* Whether a cancellation of the job may have been written that this node has not read yet. If so, none of the
 * job's tasks may be started. */
bool amb_cancellation_is_pending(const struct amb_node *node, const struct amb_job *job);

#endif
