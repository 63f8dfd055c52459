/* Replaces the production version when its sources are not available. */
#include "node_version.h"

#include <stddef.h>

const struct sim_node_version *sim_production_version(void) {
    return NULL;
}
