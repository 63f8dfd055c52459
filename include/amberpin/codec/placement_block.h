/* The form in which placements and results are kept in the state service: which block of a job holds a task,
 * under which key it stands, what its value says, and which of two blocks counts when both speak of a task.
 * Pure: nothing here reads, writes or knows a node. docs/safety.md, "Formats and records", has the reasoning.
 *
 * Two layouts exist. Of a block `b/p/REF/INDEX` the key says too little: how many tasks it holds follows from
 * `value_kb` in the settings of the process that wrote it. The key of a block `b/n/REF/SIZE/INDEX` says all:
 * it holds the tasks from SIZE * INDEX on, SIZE of them. */
#ifndef AMBERPIN_RECORD_LAYOUT_H
#define AMBERPIN_RECORD_LAYOUT_H

#include "amberpin/model/model.h"

enum { AMB_BLOCK_KEY_SIZE = AMB_NAME_SIZE + 32 };

/* How many tasks a block holds for values of this size. */
uint32_t amb_placement_block_capacity(enum amb_block_layout layout, double value_kb);
/* The tasks that a block holds, of a job with so many. */
struct amb_task_range amb_placement_block_task_range(struct amb_placement_block_id id, uint32_t tasks);

void amb_placement_key_format(char out[AMB_BLOCK_KEY_SIZE], const char *ref,
                              struct amb_placement_block_id id);
/* False: not the key of a block. tasks_per_block is 0 where the key does not say it. */
bool amb_placement_key_parse(const char *key, char ref[AMB_NAME_SIZE], struct amb_placement_block_id *id);

/* Does `a` count, and not `b`, for the tasks that both hold? Keys are ordered so that it also comes first in
 * a listing. */
bool amb_placement_block_precedes(struct amb_placement_block_id id, struct amb_placement_block_id other);

/* ---- values ---- */

struct amb_placement { /* a task on a machine; type and zone as numbers in the value's own lists */
    uint32_t task;
    uint64_t attempt;
    char machine[AMB_NAME_SIZE];
    int type, zone;
    bool spot;
};

struct amb_placement_block_text { /* what a value says of tasks */
    struct amb_buf placed, completed;
};

void amb_placement_block_add_placement(struct amb_placement_block_text *text,
                                       const struct amb_placement *placement);
void amb_placement_block_add_completed(struct amb_placement_block_text *text,
                                       struct amb_task_range completed);
/* Reads the next placement, or range of tasks that are done, and moves `at` behind it. False: there is none,
 * or what follows is damaged. */
bool amb_placement_block_next_placement(const char **at, struct amb_placement *out);
bool amb_placement_block_next_completed(const char **at, struct amb_task_range *out);

struct amb_placement_block_header { /* what a value says beside */
    int64_t written_wall_ms;        /* when it was made: its machines were there then */
    const char *write_id;           /* tells this value from every other */
    uint64_t next_attempt;          /* higher than any attempt of the job that may have been started */
    const struct amb_catalog *catalog;
};

/* Frees the text. */
void amb_placement_block_encode(struct amb_buf *out, const struct amb_placement_block_header *header,
                                struct amb_placement_block_text *text);

#endif
