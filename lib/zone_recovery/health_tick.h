/* Collects the evidence for zone health from the leader's table of machines, and acts on changes. */
#ifndef AMBERPIN_ZONE_RECOVERY_HEALTH_TICK_H
#define AMBERPIN_ZONE_RECOVERY_HEALTH_TICK_H

#include "amberpin/base/util.h"

struct amb_node;

/* Updates the health of all zones, unless the leader is still warming up, and their reachability. */
void amb_zone_health_tick(struct amb_node *node, amb_ms now);

#endif
