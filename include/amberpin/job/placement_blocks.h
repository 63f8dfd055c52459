/* Which blocks a job has, how many tasks go into one, and which of them are to be written. Nothing is sent
 * from here. */
#ifndef AMBERPIN_RECORD_BLOCKS_H
#define AMBERPIN_RECORD_BLOCKS_H

#include "amberpin/codec/placement_block.h"
#include "amberpin/model/model.h"

struct amb_node;
struct amb_settings;

uint32_t amb_record_tasks_per_block(const struct amb_settings *settings); /* of the first format */
/* The size of values, in KiB, that the state service takes also when it has lowered its limits. */
double amb_record_lowered_value_kb(const struct amb_node *node);

/* A job comes into the leader's care: its blocks, none of them written yet. */
void amb_record_job_taken(struct amb_node *node, struct amb_job *job);
void amb_record_job_left(struct amb_job *job);

/* The task's block is to be written; urgent: at once. */
void amb_record_dirty(struct amb_node *node, struct amb_task *task, bool urgent);
/* The write under way counts no longer as one; what was sent may be carried out still. */
void amb_record_give_up_write(struct amb_block *block);

void amb_record_block_key(char out[AMB_BLOCK_KEY], const struct amb_block *block);
/* NULL: the job has none of this id. */
struct amb_block *amb_record_find_block(struct amb_job *job, struct amb_block_id id);
/* Room for one more block of another size than the present one. */
struct amb_block *amb_record_add_replaced(struct amb_job *job);
/* From now on the job's tasks are recorded in blocks of this layout and size. */
void amb_record_replace_blocks(struct amb_job *job, enum amb_layout layout, uint32_t tasks_per_block);
/* Replaces the blocks where others are to be written by now. */
void amb_record_adapt_blocks(struct amb_node *node, struct amb_job *job);

#endif
