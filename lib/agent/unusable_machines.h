/* Machines that are released because this leader can't use them: they don't respond, or never acknowledge its
 * fencing token. */
#ifndef AMBERPIN_AGENT_UNUSABLE_MACHINES_H
#define AMBERPIN_AGENT_UNUSABLE_MACHINES_H

#include "amberpin/base/util.h"

struct amb_machine;
struct amb_node;

/* Probes the machine if it is unverified and does not report here, and releases it once it has been unusable
 * for too long. */
void amb_machine_check_usable(struct amb_node *node, struct amb_machine *machine, amb_ms now);

#endif
