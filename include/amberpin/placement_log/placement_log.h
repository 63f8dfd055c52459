/* The durable form of placements and results in the state service. A job's tasks are recorded in blocks, so
 * that the largest jobs and the smallest values go together; placement_block.h has the form of a block. No
 * run order may go out before the block that names the machine is known to be written. */
#ifndef AMBERPIN_RECORD_H
#define AMBERPIN_RECORD_H

#include "amberpin/codec/messages.h"
#include "amberpin/job/placement_blocks.h"

/* Writes what is due, of all jobs in the leader's care. */
void amb_placement_log_flush(struct amb_node *node);
/* Takes over what an earlier leader has written under this key. */
void amb_placement_log_restore(struct amb_node *node, const char *key, const cbor_item_t *value,
                               uint64_t revision);
/* The block's value as its tasks are now. */
void amb_placement_log_encode_block(struct amb_node *node, const struct amb_placement_block *block,
                                    struct amb_buf *out);

#endif
