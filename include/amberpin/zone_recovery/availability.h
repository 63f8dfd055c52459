/* What the health of zones means to the rest of the leader. Reads only. */
#ifndef AMBERPIN_ZONE_RECOVERY_AVAILABILITY_H
#define AMBERPIN_ZONE_RECOVERY_AVAILABILITY_H

#include <stdbool.h>
#include <stdint.h>

struct amb_node;

/* Is the zone returning: reachable again after a loss, but not stable for long enough yet? Always false while
 * zone recovery is off, and for zone -1 (unknown). */
bool amb_zone_is_returning(const struct amb_node *node, int zone);

/* The zones whose health is lost or returning, as a bit mask by their indexes in the catalogue. */
uint32_t amb_zones_unavailable(const struct amb_node *node);

/* The zones in which no batch task may start, as a bit mask: the unavailable ones, and those that are so by
 * what may be on record. */
uint32_t amb_zones_without_batch(const struct amb_node *node);

#endif
