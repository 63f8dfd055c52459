/* Probes of machines that send this node no heartbeats. An agent that still reports to an earlier leader
 * learns this node's fencing token from the probe, refuses the earlier leader from then on, and switches to
 * this node. */
#ifndef AMBERPIN_FLEET_MACHINE_PROBE_H
#define AMBERPIN_FLEET_MACHINE_PROBE_H

#include "amberpin/base/loop.h"
#include "amberpin/model/model.h"

struct amb_node;

/* Asks the machine's agent for its incarnation, then sends it this node's fencing token. Does nothing if the
 * last probe of the machine was less than two heartbeat periods ago, or if its address is unknown. */
void amb_machine_probe(struct amb_node *node, struct amb_machine *machine, amb_ms now);

#endif
