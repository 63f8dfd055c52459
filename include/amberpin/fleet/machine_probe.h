/* Seeking machines that do not report to this node: whoever still answers one learns from its next report
 * that a newer leader exists, and sends it here. */
#ifndef AMBERPIN_SEEK_H
#define AMBERPIN_SEEK_H

#include "amberpin/base/loop.h"
#include "amberpin/model/model.h"

struct amb_node;

/* Asks the machine for its session and gives it our token, at most once in two report periods. */
void amb_machine_probe(struct amb_node *node, struct amb_machine *machine, amb_ms now);

#endif
