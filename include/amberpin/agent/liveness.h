/* The leader's periodic check of its machines: leases that expire, machines that can't be used, and tasks
 * that are to stop. */
#ifndef AMBERPIN_AGENT_LIVENESS_H
#define AMBERPIN_AGENT_LIVENESS_H

#include "amberpin/base/util.h"

struct amb_node;

/* Checks all machines. Does nothing before the records of an earlier leader have been restored. */
void amb_fleet_tick(struct amb_node *node, amb_ms now);

/* Have nearly all machines that should be working acknowledged this leader's fencing token? Then little is
 * left to learn of what an earlier leader started. */
bool amb_fleet_has_acknowledged_token(const struct amb_node *node);

/* This node leads no more: frees all machines and what is known of zones. Agents that wait for a response are
 * sent to the new leader. */
void amb_fleet_clear(struct amb_node *node);

#endif
