/* Release of machines that this leader can't use, because they do not respond or never acknowledge its
 * fencing token. */
#ifndef AMBERPIN_AGENT_UNUSABLE_MACHINES_H
#define AMBERPIN_AGENT_UNUSABLE_MACHINES_H

#include "amberpin/base/util.h"

struct amb_machine;
struct amb_node;

/* Probes the machine if it is unverified and sends this node no heartbeats, and releases it once it has been
 * unusable for too long. */
void amb_machine_check_usable(struct amb_node *node, struct amb_machine *machine, amb_ms now);

#endif
