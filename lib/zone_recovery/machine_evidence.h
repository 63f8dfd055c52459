/* The machines that should respond and those that do: evidence for the health and reachability of zones. */
#ifndef AMBERPIN_ZONE_RECOVERY_MACHINE_EVIDENCE_H
#define AMBERPIN_ZONE_RECOVERY_MACHINE_EVIDENCE_H

#include "amberpin/base/util.h"

#include <stdbool.h>

struct amb_machine;
struct amb_node;

/* How long a machine counts as responsive after its latest heartbeat. */
amb_ms amb_zone_heartbeat_timeout(const struct amb_node *node);

/* Is this node a new leader that some machines may not have found yet? */
bool amb_zone_leader_is_warming_up(const struct amb_node *node, amb_ms now);

/* Should the machine send heartbeats at `now`? False while its zone or type is unknown, and while it may
 * still be booting. */
bool amb_zone_machine_is_expected(const struct amb_node *node, const struct amb_machine *machine, amb_ms now);

bool amb_zone_machine_is_responsive(const struct amb_node *node, const struct amb_machine *machine,
                                    amb_ms now);

#endif
