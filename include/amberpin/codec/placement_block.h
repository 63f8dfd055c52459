/* The form in which placements and results are stored in the key-value store: which block of a job holds a
 * task, under which key it is stored, what its value says, and which of two blocks counts when both name a
 * task. Pure: no input or output. docs/safety.md, "Formats and records", has the reasoning.
 *
 * Two layouts exist. Of a block `b/p/REF/INDEX` the key says too little: how many tasks it holds follows from
 * `value_kb` in the settings of the process that wrote it. The key of a block `b/n/REF/SIZE/INDEX` says all:
 * it holds the tasks from SIZE * INDEX on, SIZE of them. */
#ifndef AMBERPIN_CODEC_PLACEMENT_BLOCK_H
#define AMBERPIN_CODEC_PLACEMENT_BLOCK_H

#include "amberpin/codec/cbor_item.h"
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

/* Does the block `id` count, and not `other`, for the tasks that both hold? Keys are ordered so that it also
 * comes first in a listing. */
bool amb_placement_block_precedes(struct amb_placement_block_id id, struct amb_placement_block_id other);

/* ---- values ---- */

/* A task on a machine. */
struct amb_placement {
    uint32_t task;
    uint64_t attempt;
    char machine[AMB_NAME_SIZE];
    int type, zone; /* of the machine: positions in the value's own lists of names; -1: unknown */
    bool spot;
};

/* What a value says of tasks, while it is being built. */
struct amb_placement_block_builder {
    struct amb_buf placed, completed;
};

/* What a value says beside. */
struct amb_placement_block_header {
    int64_t written_wall_ms;           /* its machines existed then */
    const char *write_id;              /* unique to this value */
    uint64_t next_attempt;             /* higher than any attempt of the job that may have been started */
    const struct amb_catalog *catalog; /* names of types and zones */
};

/* A value that was read from the store. */
struct amb_placement_block_value {
    bool has_written_wall_ms;
    int64_t written_wall_ms;
    uint64_t next_attempt;            /* 0: not named */
    char *placed, *completed;         /* owned; NULL: not named */
    const cbor_item_t *types, *zones; /* names, borrowed from the CBOR item */
};

/* ---- encoding ---- */

void amb_placement_block_add_placement(struct amb_placement_block_builder *text,
                                       const struct amb_placement *placement);
void amb_placement_block_add_completed(struct amb_placement_block_builder *text,
                                       struct amb_task_range completed);
/* Appends the value to `out`, and frees the text. */
void amb_placement_block_encode(struct amb_buf *out, const struct amb_placement_block_header *header,
                                struct amb_placement_block_builder *text);

/* ---- decoding ---- */

/* Never fails: what is missing or malformed is empty. To be freed; borrows from the item. */
struct amb_placement_block_value amb_placement_block_decode(const cbor_item_t *item);
void amb_placement_block_value_free(struct amb_placement_block_value *value);
/* Is this the value that was written with this id? */
bool amb_placement_block_has_write_id(const cbor_item_t *item, const char *write_id);
/* The name at a position of one of the value's lists of names. False: there is none. */
bool amb_placement_block_get_name(const cbor_item_t *names, int position, char name[AMB_NAME_SIZE]);
/* Reads the next placement, or range of tasks that are done, and moves `at` behind it. False: there is none,
 * or what follows is damaged. */
bool amb_placement_block_next_placement(const char **at, struct amb_placement *out);
bool amb_placement_block_next_completed(const char **at, struct amb_task_range *out);

#endif
