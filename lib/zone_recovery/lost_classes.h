/* The classes of services that lost replicas with a zone, and what decides their positions in the recovery
 * order. */
#ifndef AMBERPIN_ZONE_RECOVERY_LOST_CLASSES_H
#define AMBERPIN_ZONE_RECOVERY_LOST_CLASSES_H

#include "amberpin/base/util.h"

struct amb_node;

/* Handles the loss of a zone: extends the recovery order by the classes that had replicas there. */
void amb_zone_recovery_handle_loss(struct amb_node *node, int zone, amb_ms now);

#endif
