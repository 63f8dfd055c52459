/* The placement log: placements and results of tasks in the key-value store, written by the leader and
 * restored by its successor. A job's tasks are written in blocks, because the store limits the size of
 * values; codec/placement_block.h defines the encoding of a block. No command to start a task may be sent
 * before the block that names the task's machine is known to be in the store. */
#ifndef AMBERPIN_PLACEMENT_LOG_PLACEMENT_LOG_H
#define AMBERPIN_PLACEMENT_LOG_PLACEMENT_LOG_H

#include "amberpin/codec/messages.h"
#include "amberpin/job/placement_blocks.h"

/* Writes and removes all blocks of the leader's active jobs that are due, and writes the final state of jobs
 * that are complete. Called in each of the leader's ticks. */
void amb_placement_log_flush(struct amb_node *node);
/* Restores the block that an earlier leader has written under this key. A key that is not that of a block is
 * ignored. Blocks have to be restored in the order of their keys. */
void amb_placement_log_restore(struct amb_node *node, const char *key, const struct amb_cbor_item *item,
                               uint64_t revision);
/* Appends the block's value, encoded from the present state of its tasks. */
void amb_placement_log_encode_block(struct amb_node *node, const struct amb_placement_block *block,
                                    struct amb_buf *out);

#endif
