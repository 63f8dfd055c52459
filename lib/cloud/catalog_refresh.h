/* The cloud's catalogue of machine types: every controller reads it once, the leader periodically. */
#ifndef AMBERPIN_CLOUD_CATALOG_REFRESH_H
#define AMBERPIN_CLOUD_CATALOG_REFRESH_H

#include "amberpin/base/util.h"

struct amb_node;

/* Requests the catalogue if it is unknown or stale and a call may be made at `now`. */
void amb_cloud_catalog_tick(struct amb_node *node, amb_ms now);

#endif
