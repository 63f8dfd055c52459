/* A node without settings, network or loop: what every stand-alone node of tests and benchmarks begins with.
 */
#ifndef AMBERPIN_TESTS_BARE_NODE_H
#define AMBERPIN_TESTS_BARE_NODE_H

#include "amberpin/node/node.h"

/* Its events go to the controller, its options are the usual ones. */
struct amb_node *bare_node_new(void);
/* With all that it holds. One that leads must have stopped (amb_controller_stop_leading). */
void bare_node_free(struct amb_node *node);

#endif
