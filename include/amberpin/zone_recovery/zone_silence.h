/* What the leader hears of each zone's machines. When a good part of a zone falls silent together it is the
 * network; when nearly all does, what boots there can't be reached either. */
#ifndef AMBERPIN_ZONES_H
#define AMBERPIN_ZONES_H

#include "amberpin/base/loop.h"

#include <stdbool.h>

struct amb_node;

enum { AMB_ZONE_MISSED_HEARTBEATS_MAX = 3 }; /* report periods after which a machine counts as silent */

enum amb_zone_reachability {
    AMB_ZONE_REACHABLE,
    AMB_ZONE_DEGRADED,    /* a good part of its machines is silent */
    AMB_ZONE_UNREACHABLE, /* nearly all are, and not all zones' */
};

void amb_zones_tick(struct amb_node *node, amb_ms now);
/* Nothing is known of any. */
void amb_zones_clear(struct amb_node *node);
/* zone -1 (unknown): reached. */
enum amb_zone_reachability amb_zone_get_reachability(const struct amb_node *node, int zone);
bool amb_zone_is_unreachable(const struct amb_node *node, int zone);
/* Is it reached again, but since so lately that not all of its machines have had the time to report? */
bool amb_zone_is_recovering(const struct amb_node *node, int zone, amb_ms now);

#endif
