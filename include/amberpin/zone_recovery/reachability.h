/* How much of each zone the leader can reach. When over a third of the machines of a zone stop responding
 * together, the network is at fault. When at least nine in ten do, machines that boot there cannot be reached
 * either. */
#ifndef AMBERPIN_ZONE_RECOVERY_REACHABILITY_H
#define AMBERPIN_ZONE_RECOVERY_REACHABILITY_H

#include "amberpin/fleet/fleet.h"

#include <stdbool.h>

struct amb_node;

/* Updates the reachability of all zones. While zone recovery is enabled, this also runs zone recovery, and
 * reachability follows from zone health; otherwise it follows from machine counts. */
void amb_zones_tick(struct amb_node *node, amb_ms now);

/* Discards all state about zones. */
void amb_zones_clear(struct amb_node *node);

/* Zone -1 (unknown) counts as reachable. */
enum amb_zone_reachability amb_zone_get_reachability(const struct amb_node *node, int zone);
bool amb_zone_is_unreachable(const struct amb_node *node, int zone);

/* Was the zone degraded or unreachable within the last heartbeat timeout? If so, some of its machines may not
 * have had the time for a heartbeat since. */
bool amb_zone_is_recovering(const struct amb_node *node, int zone, amb_ms now);

#endif
