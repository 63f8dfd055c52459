/* Probes machines that send this node no heartbeats: an agent that still reports to an earlier leader is told
 * this node's fencing token, refuses the earlier leader from then on, and finds its way here. */
#ifndef AMBERPIN_FLEET_MACHINE_PROBE_H
#define AMBERPIN_FLEET_MACHINE_PROBE_H

#include "amberpin/base/loop.h"
#include "amberpin/model/model.h"

struct amb_node;

/* Asks the machine's agent for its incarnation and sends it this node's fencing token. Does nothing when the
 * last probe of the machine was less than two heartbeat periods ago, or its address is unknown. */
void amb_machine_probe(struct amb_node *node, struct amb_machine *machine, amb_ms now);

#endif
