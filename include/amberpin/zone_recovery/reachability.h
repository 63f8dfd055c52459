/* How much of each zone the leader can reach. When a good part of a zone's machines stops responding at once
 * it is the network; when nearly all do, machines that boot there can't be reached either. */
#ifndef AMBERPIN_ZONE_RECOVERY_REACHABILITY_H
#define AMBERPIN_ZONE_RECOVERY_REACHABILITY_H

#include "amberpin/fleet/fleet.h"

#include <stdbool.h>

struct amb_node;

/* Brings the reachability of all zones up to date: from their health while zone recovery is enabled, which
 * this then drives too, or else from counts of machines. */
void amb_zones_tick(struct amb_node *node, amb_ms now);

/* Forgets all that is known of zones. */
void amb_zones_clear(struct amb_node *node);

/* zone -1 (unknown) counts as reachable. */
enum amb_zone_reachability amb_zone_get_reachability(const struct amb_node *node, int zone);
bool amb_zone_is_unreachable(const struct amb_node *node, int zone);

/* Is the zone reachable again, but so lately that not all its machines have had the time for a heartbeat? */
bool amb_zone_is_recovering(const struct amb_node *node, int zone, amb_ms now);

#endif
