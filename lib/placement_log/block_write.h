/* Writing one block until it is known whether its content is in the store. */
#ifndef AMBERPIN_LIB_PLACEMENT_LOG_BLOCK_WRITE_H
#define AMBERPIN_LIB_PLACEMENT_LOG_BLOCK_WRITE_H

#include "amberpin/model/model.h"

struct amb_node;

/* Begins to write the block as its tasks are now. */
void amb_placement_log_write_block(struct amb_node *node, struct amb_placement_block *block);
/* Sends the write that is in flight, with the same content and comparisons each time. */
void amb_placement_log_send_block(struct amb_node *node, struct amb_placement_block *block);
/* The write in flight is known never to be carried out: the block is written anew, and placements of a job
 * that is over are undone. */
void amb_placement_log_abandon_write(struct amb_node *node, struct amb_placement_block *block);

#endif
