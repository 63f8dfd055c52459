/* Restoring what one block says of its job's tasks. */
#ifndef AMBERPIN_LIB_PLACEMENT_LOG_BLOCK_RESTORE_H
#define AMBERPIN_LIB_PLACEMENT_LOG_BLOCK_RESTORE_H

#include "amberpin/codec/placement_block.h"

struct amb_node;

/* The tasks that the block of this id may name. */
struct amb_task_range amb_placement_log_possible_range(const struct amb_job *job,
                                                       struct amb_placement_block_id id);
/* Applies the value to the tasks of which no block that precedes this one says anything. Returns a range in
 * which all the tasks lie that the value names. */
struct amb_task_range amb_placement_log_restore_block(struct amb_node *node,
                                                      const struct amb_placement_block *block,
                                                      const struct amb_placement_block_value *value);

#endif
