/* Proof of absence by the expiry of an agent's lease (docs/safety.md): an agent stops its tasks when no node
 * has responded to its heartbeats for the duration of its lease. */
#ifndef AMBERPIN_AGENT_LEASE_EXPIRY_H
#define AMBERPIN_AGENT_LEASE_EXPIRY_H

#include "amberpin/base/util.h"

struct amb_machine;
struct amb_node;

/* Declares the machine unresponsive and unbinds its tasks once its lease has provably expired. */
void amb_machine_check_lease(struct amb_node *node, struct amb_machine *machine, amb_ms now);

#endif
