/* A node without settings, network or event loop, for tests and benchmarks that run a single node. */
#ifndef AMBERPIN_TESTS_BARE_NODE_H
#define AMBERPIN_TESTS_BARE_NODE_H

#include "amberpin/node/node.h"

/* Its events are handled by the controller; its options have their defaults. */
struct amb_node *bare_node_new(void);
/* Frees the node and everything it owns. A leader must have called amb_controller_stop_leading before. */
void bare_node_free(struct amb_node *node);

#endif
