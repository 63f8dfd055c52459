/* Availability of zones to the other modules of the leader, derived from zone health. Read-only. */
#ifndef AMBERPIN_ZONE_RECOVERY_AVAILABILITY_H
#define AMBERPIN_ZONE_RECOVERY_AVAILABILITY_H

#include <stdbool.h>
#include <stdint.h>

struct amb_node;

/* Is the zone returning, that is, reachable again after a loss but not yet stable for the stability period?
 * Always false while zone recovery is off, and for zone -1 (unknown). */
bool amb_zone_is_returning(const struct amb_node *node, int zone);

/* The zones whose health is lost or returning, as a bit mask by zone index in the catalogue. */
uint32_t amb_zones_unavailable(const struct amb_node *node);

/* The zones in which no batch task may start, as a bit mask by zone index: the unavailable zones, and those
 * that the stored record may still show as unavailable. */
uint32_t amb_zones_without_batch(const struct amb_node *node);

#endif
