/* Restores the tasks of a job from one of its blocks. */
#ifndef AMBERPIN_LIB_PLACEMENT_LOG_BLOCK_RESTORE_H
#define AMBERPIN_LIB_PLACEMENT_LOG_BLOCK_RESTORE_H

#include "amberpin/codec/placement_block.h"

struct amb_node;

/* Returns the range of tasks that the block with this id may name. */
struct amb_task_range amb_placement_log_possible_range(const struct amb_job *job,
                                                       struct amb_placement_block_id id);
/* Applies the value to those tasks that no preceding block holds. Returns a range that covers all tasks that
 * the value names. */
struct amb_task_range amb_placement_log_restore_block(struct amb_node *node,
                                                      const struct amb_placement_block *block,
                                                      const struct amb_placement_block_value *value);

#endif
