/* Notices between controllers that a job is being, or has been, cancelled: the leader should know before the
 * user does. The watch on the state service tells it as well, but may be seconds behind. Nothing waits for a
 * notice, and none proves anything: without it, watch and heartbeats tell the same later. */
#ifndef AMBERPIN_CANCELLATION_NOTICE_H
#define AMBERPIN_CANCELLATION_NOTICE_H

#include "amberpin/codec/peer_messages.h"

struct amb_node;
struct amb_job;

/* To be called when this node is about to write the job's cancellation. */
void amb_cancellation_notice_send_pending(struct amb_node *node, struct amb_job *job);
/* To be called when this node is about to tell a user that the job is cancelled. Only the first call of a job
 * sends anything. */
void amb_cancellation_notice_send_cancelled(struct amb_node *node, struct amb_job *job);
/* Applies the notice of another controller; revision 0: the cancellation is not written yet. */
void amb_cancellation_notice_receive(struct amb_node *node, const struct amb_peer_cancellation *cancellation);
/* Whether a cancellation of the job may have been written that this node's reads can't show yet. None of its
 * tasks should be started then. */
bool amb_cancellation_is_pending(const struct amb_node *node, const struct amb_job *job);

#endif
