/* Writes a block, and repeats the write until it is known whether the store has its content. */
#ifndef AMBERPIN_LIB_PLACEMENT_LOG_BLOCK_WRITE_H
#define AMBERPIN_LIB_PLACEMENT_LOG_BLOCK_WRITE_H

#include "amberpin/model/model.h"

struct amb_node;

/* Starts a write of the block with the present state of its tasks. */
void amb_placement_log_write_block(struct amb_node *node, struct amb_placement_block *block);
/* Sends the write that is in flight, with the same content and comparisons on every call. */
void amb_placement_log_send_block(struct amb_node *node, struct amb_placement_block *block);
/* Handles a write in flight that cannot be applied any more: marks the block as having to be written again,
 * and undoes placements of a job that is over. */
void amb_placement_log_abandon_write(struct amb_node *node, struct amb_placement_block *block);

#endif
