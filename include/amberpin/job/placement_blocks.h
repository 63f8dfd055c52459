/* Maintains the blocks that hold a job's placements: how many tasks a block holds, and which blocks have to
 * be written. This module sends nothing. */
#ifndef AMBERPIN_PLACEMENT_BLOCKS_H
#define AMBERPIN_PLACEMENT_BLOCKS_H

#include "amberpin/codec/placement_block.h"
#include "amberpin/model/model.h"

struct amb_node;
struct amb_settings;

/* Returns how many tasks a block of the first format holds. */
uint32_t amb_placement_blocks_first_format_size(const struct amb_settings *settings);
/* Returns the largest value, in KiB, that the store accepts even after it has lowered its limits. */
double amb_placement_blocks_lowered_value_kb(const struct amb_node *node);

/* Creates the blocks of a job that becomes active. None of them is written yet. */
void amb_placement_blocks_create(struct amb_node *node, struct amb_job *job);
void amb_placement_blocks_free(struct amb_job *job);

/* Marks the task's block as having to be written. An urgent block is written at the next flush. */
void amb_placement_block_mark_dirty(struct amb_node *node, struct amb_task *task, bool urgent);
/* Stops waiting for the write in flight. The write may still take effect, so the block's revision becomes
 * uncertain, and the placements and results in it have to be written again. */
void amb_placement_block_abandon_write(struct amb_placement_block *block);

void amb_placement_block_get_key(char out[AMB_BLOCK_KEY_SIZE], const struct amb_placement_block *block);
/* Returns the job's block with this id, or NULL. The pointer is valid until blocks are added or replaced. */
struct amb_placement_block *amb_placement_blocks_find(struct amb_job *job, struct amb_placement_block_id id);
/* Adds a superseded block, whose id and revision the caller sets. The pointer is valid until blocks are added
 * or replaced. */
struct amb_placement_block *amb_placement_blocks_add_superseded(struct amb_job *job);
/* Replaces the job's blocks by blocks of this layout and size. */
void amb_placement_blocks_replace(struct amb_job *job, enum amb_block_layout layout,
                                  uint32_t tasks_per_block);
/* Replaces the job's blocks if another layout or a smaller size has to be written by now. */
void amb_placement_blocks_adapt_size(struct amb_node *node, struct amb_job *job);

#endif
