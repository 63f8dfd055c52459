/* Which machines should respond, and which do: the evidence for the health and reachability of their zones.
 */
#ifndef AMBERPIN_ZONE_RECOVERY_MACHINE_EVIDENCE_H
#define AMBERPIN_ZONE_RECOVERY_MACHINE_EVIDENCE_H

#include "amberpin/base/util.h"

#include <stdbool.h>

struct amb_machine;
struct amb_node;

/* How long a machine's latest heartbeat shows that it is responsive. */
amb_ms amb_zone_heartbeat_timeout(const struct amb_node *node);

/* Is the leader so new that machines may not have found it yet? */
bool amb_zone_leader_is_warming_up(const struct amb_node *node, amb_ms now);

/* Should the machine send heartbeats by now? Not while its zone or type is unknown, or while it boots. */
bool amb_zone_machine_is_expected(const struct amb_node *node, const struct amb_machine *machine, amb_ms now);

bool amb_zone_machine_is_responsive(const struct amb_node *node, const struct amb_machine *machine,
                                    amb_ms now);

#endif
