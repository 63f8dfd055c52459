/* Which blocks a job has, how many tasks go into one, and which of them are to be written. Nothing is sent
 * from here. */
#ifndef AMBERPIN_RECORD_BLOCKS_H
#define AMBERPIN_RECORD_BLOCKS_H

#include "amberpin/codec/placement_block.h"
#include "amberpin/model/model.h"

struct amb_node;
struct amb_settings;

uint32_t
amb_placement_blocks_first_format_size(const struct amb_settings *settings); /* of the first format */
/* The size of values, in KiB, that the state service takes also when it has lowered its limits. */
double amb_placement_blocks_lowered_value_kb(const struct amb_node *node);

/* A job comes into the leader's care: its blocks, none of them written yet. */
void amb_placement_blocks_create(struct amb_node *node, struct amb_job *job);
void amb_placement_blocks_free(struct amb_job *job);

/* The task's block is to be written; urgent: at once. */
void amb_placement_block_mark_dirty(struct amb_node *node, struct amb_task *task, bool urgent);
/* The write under way counts no longer as one; what was sent may be carried out still. */
void amb_placement_block_abandon_write(struct amb_placement_block *block);

void amb_placement_block_get_key(char out[AMB_BLOCK_KEY_SIZE], const struct amb_placement_block *block);
/* NULL: the job has none of this id. */
struct amb_placement_block *amb_placement_blocks_find(struct amb_job *job, struct amb_placement_block_id id);
/* Room for one more block of another size than the present one. */
struct amb_placement_block *amb_placement_blocks_add_superseded(struct amb_job *job);
/* From now on the job's tasks are recorded in blocks of this layout and size. */
void amb_placement_blocks_replace(struct amb_job *job, enum amb_block_layout layout,
                                  uint32_t tasks_per_block);
/* Replaces the blocks where others are to be written by now. */
void amb_placement_blocks_adapt_size(struct amb_node *node, struct amb_job *job);

#endif
