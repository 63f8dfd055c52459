/* Removing the blocks of jobs that are over. */
#ifndef AMBERPIN_LIB_PLACEMENT_LOG_BLOCK_REMOVAL_H
#define AMBERPIN_LIB_PLACEMENT_LOG_BLOCK_REMOVAL_H

#include "amberpin/model/model.h"

struct amb_node;

/* Removes the block, once none of its job's tasks is on a machine. Called again until it returns false: the
 * block is known not to be in the store. */
bool amb_placement_log_remove_block(struct amb_node *node, struct amb_placement_block *block, amb_ms now);

#endif
