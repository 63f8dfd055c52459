/* Which blocks a job's placements are kept in, how many tasks go into one, and which of them are to be
 * written. Nothing is sent from here. */
#ifndef AMBERPIN_PLACEMENT_BLOCKS_H
#define AMBERPIN_PLACEMENT_BLOCKS_H

#include "amberpin/codec/placement_block.h"
#include "amberpin/model/model.h"

struct amb_node;
struct amb_settings;

/* How many tasks a block of the first format holds. */
uint32_t amb_placement_blocks_first_format_size(const struct amb_settings *settings);
/* The size of values, in KiB, that the state service takes also when it has lowered its limits. */
double amb_placement_blocks_lowered_value_kb(const struct amb_node *node);

/* Creates the blocks of a job that becomes active, none of them written yet. */
void amb_placement_blocks_create(struct amb_node *node, struct amb_job *job);
void amb_placement_blocks_free(struct amb_job *job);

/* The task's block is to be written; urgent: at once. */
void amb_placement_block_mark_dirty(struct amb_node *node, struct amb_task *task, bool urgent);
/* The write in flight is not waited for any more. It may still take effect, so the block's revision is
 * uncertain, and what it said of its tasks is written again. */
void amb_placement_block_abandon_write(struct amb_placement_block *block);

void amb_placement_block_get_key(char out[AMB_BLOCK_KEY_SIZE], const struct amb_placement_block *block);
/* Borrowed until blocks are added or replaced. NULL: the job has none of this id. */
struct amb_placement_block *amb_placement_blocks_find(struct amb_job *job, struct amb_placement_block_id id);
/* Adds a superseded block, its id and revision to be set by the caller. Borrowed, as above. */
struct amb_placement_block *amb_placement_blocks_add_superseded(struct amb_job *job);
/* From now on the job's tasks are kept in blocks of this layout and size. */
void amb_placement_blocks_replace(struct amb_job *job, enum amb_block_layout layout,
                                  uint32_t tasks_per_block);
/* Replaces the blocks if others have to be written by now. */
void amb_placement_blocks_adapt_size(struct amb_node *node, struct amb_job *job);

#endif
