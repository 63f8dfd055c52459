/* The placement log: placements and results of tasks in the key-value store, written by the leader and
 * restored by its successor. A job's tasks are written in blocks, because the store limits the size of
 * values; codec/placement_block.h has the form of a block. No command to start a task may be sent before the
 * block that names its machine is known to be in the store. */
#ifndef AMBERPIN_PLACEMENT_LOG_PLACEMENT_LOG_H
#define AMBERPIN_PLACEMENT_LOG_PLACEMENT_LOG_H

#include "amberpin/codec/messages.h"
#include "amberpin/job/placement_blocks.h"

/* Writes and removes what is due, of all the leader's active jobs. Called in each of the leader's ticks. */
void amb_placement_log_flush(struct amb_node *node);
/* Restores what an earlier leader has written under this key, if it is a block's. Blocks are restored in the
 * order of their keys. */
void amb_placement_log_restore(struct amb_node *node, const char *key, const cbor_item_t *item,
                               uint64_t revision);
/* Appends the block's value as its tasks are now. */
void amb_placement_log_encode_block(struct amb_node *node, const struct amb_placement_block *block,
                                    struct amb_buf *out);

#endif
