/* Machines returned to the cloud. */
#ifndef AMBERPIN_MACHINE_RETURNS_H
#define AMBERPIN_MACHINE_RETURNS_H

#include "amberpin/model/absence_proof.h"

struct amb_machine;
struct amb_node;

void amb_cloud_release_tick(struct amb_node *node, amb_ms now);
/* Tells those above that the machine is proven gone. It is freed. */
void amb_cloud_post_machine_gone(struct amb_node *node, struct amb_machine *machine, enum amb_absence proof);

#endif
