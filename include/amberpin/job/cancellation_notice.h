/* Notices between nodes that a job is being, or has been, cancelled: the leader should know before the user
 * does. News of the state service tell it as well, but may be seconds behind. Nothing waits for a notice, and
 * none proves anything: a notice that is lost leaves what news and heartbeats give. */
#ifndef AMBERPIN_CANCEL_NOTICE_H
#define AMBERPIN_CANCEL_NOTICE_H

#include <stdbool.h>

struct amb_node;
struct amb_job;
struct json_t;

/* This node is about to write the job's cancellation. */
void amb_cancellation_notice_send_pending(struct amb_node *node, struct amb_job *job);
/* This node is about to tell a user that the job is cancelled. */
void amb_cancellation_notice_send_cancelled(struct amb_node *node, struct amb_job *job);
/* A notice of another node; false: it is malformed. */
bool amb_cancellation_notice_receive(struct amb_node *node, const struct json_t *notice);
/* May a cancellation of the job be written of which this node's news can't tell yet? Then none of its tasks
 * should be started. */
bool amb_cancellation_is_pending(const struct amb_node *node, const struct amb_job *job);

#endif
