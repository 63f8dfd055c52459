/* Notices between nodes that a job is being, or has been, cancelled: the leader should know before the user
 * does. News of the state service tell it as well, but may be seconds behind. Nothing waits for a notice, and
 * none proves anything: a notice that is lost leaves what news and heartbeats give. */
#ifndef AMBERPIN_CANCEL_NOTICE_H
#define AMBERPIN_CANCEL_NOTICE_H

#include "amberpin/codec/peer_messages.h"

struct amb_node;
struct amb_job;

/* This node is about to write the job's cancellation. */
void amb_cancellation_notice_send_pending(struct amb_node *node, struct amb_job *job);
/* This node is about to tell a user that the job is cancelled. */
void amb_cancellation_notice_send_cancelled(struct amb_node *node, struct amb_job *job);
/* Applies the notice of another controller; revision 0: the cancellation is not written yet. */
void amb_cancellation_notice_receive(struct amb_node *node, const struct amb_peer_cancellation *cancellation);
/* May a cancellation of the job be written of which this node's news can't tell yet? Then none of its tasks
 * should be started. */
bool amb_cancellation_is_pending(const struct amb_node *node, const struct amb_job *job);

#endif
