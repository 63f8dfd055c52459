/* Writing one block, or the end of a job. For the modules of the record only. */
#ifndef AMBERPIN_RECORD_WRITE_H
#define AMBERPIN_RECORD_WRITE_H

#include "amberpin/model/model.h"

struct amb_node;

/* Begins to write the block as its tasks are now. */
void amb_placement_log_write_block(struct amb_node *node, struct amb_placement_block *block);
/* Sends what is being written once more, the very same. */
void amb_placement_log_send_block(struct amb_node *node, struct amb_placement_block *block);
/* It is now known that what was sent does not stand there and never will. */
void amb_placement_log_abandon_write(struct amb_node *node, struct amb_placement_block *block);

/* Writes that the job is done. */
void amb_placement_log_finish_job(struct amb_node *node, struct amb_job *job);
/* Removes a block of a job that is over, when nothing of the job is on any machine. True: it still stands
 * there, or may. */
bool amb_placement_log_remove_block(struct amb_node *node, struct amb_placement_block *block, amb_ms now);

#endif
