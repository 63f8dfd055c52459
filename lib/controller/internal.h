/* Declarations shared by the files of the controller module only. */
#ifndef AMBERPIN_CONTROLLER_INTERNAL_H
#define AMBERPIN_CONTROLLER_INTERNAL_H

#include "amberpin/node/node.h"

/* Requests a scheduling cycle, which runs shortly afterwards or as soon as this node is ready
 * (leader_cycle.c). */
void amb_controller_request_cycle(struct amb_node *node);

/* Performs the next step of restoring the records of earlier leaders (failover.c). */
void amb_controller_continue_restore(struct amb_node *node, amb_ms now);

/* Performs the periodic work of a node and restarts its own timer (tick.c). */
void amb_controller_tick(struct amb_node *node);

#endif
