/* What the files of the controller share with one another alone. */
#ifndef AMBERPIN_CONTROLLER_INTERNAL_H
#define AMBERPIN_CONTROLLER_INTERNAL_H

#include "amberpin/node/node.h"

/* A scheduling cycle follows soon, once this node is ready to place (leader_cycle.c). */
void amb_controller_request_cycle(struct amb_node *node);

/* Takes the next step of reading what earlier leaders have recorded (failover.c). */
void amb_controller_continue_restore(struct amb_node *node, amb_ms now);

/* The periodic work of a node; starts its own timer again (tick.c). */
void amb_controller_tick(struct amb_node *node);

#endif
