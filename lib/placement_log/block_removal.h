/* Removal of the blocks of jobs that are over. */
#ifndef AMBERPIN_LIB_PLACEMENT_LOG_BLOCK_REMOVAL_H
#define AMBERPIN_LIB_PLACEMENT_LOG_BLOCK_REMOVAL_H

#include "amberpin/model/model.h"

struct amb_node;

/* Removes the block once no task of its job is on a machine. The caller repeats the call until it returns
 * false, which means that the block is known not to be in the store. */
bool amb_placement_log_remove_block(struct amb_node *node, struct amb_placement_block *block, amb_ms now);

#endif
