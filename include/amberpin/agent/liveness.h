/* The leader's periodic check of its machines: expired leases, unusable machines, and tasks that must stop.
 */
#ifndef AMBERPIN_AGENT_LIVENESS_H
#define AMBERPIN_AGENT_LIVENESS_H

#include "amberpin/base/util.h"

struct amb_node;

/* Checks all machines. Does nothing until the records of earlier leaders have been restored. */
void amb_fleet_tick(struct amb_node *node, amb_ms now);

/* Returns whether nearly all machines that should be working have acknowledged this leader's fencing token.
 * Their heartbeats then show nearly every task that earlier leaders started. */
bool amb_fleet_has_acknowledged_token(const struct amb_node *node);

/* Frees all machines and the state of the zones when this node has stopped leading. Agents that wait for a
 * deferred response are redirected to the new leader. */
void amb_fleet_clear(struct amb_node *node);

#endif
