/* The cloud's catalogue of machine types: read once by every node, and again now and then by the leader. */
#ifndef AMBERPIN_CLOUD_CATALOG_H
#define AMBERPIN_CLOUD_CATALOG_H

#include "amberpin/base/util.h"

struct amb_node;

void amb_cloud_catalog_tick(struct amb_node *node, amb_ms now);

#endif
