/* The cloud's list of our machines: what it shows of each, and which are proven gone by it. */
#ifndef AMBERPIN_MACHINE_LIST_H
#define AMBERPIN_MACHINE_LIST_H

#include "amberpin/base/util.h"

struct amb_node;

void amb_cloud_list_tick(struct amb_node *node, amb_ms now);

#endif
