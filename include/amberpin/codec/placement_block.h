/* Storage format of placements and results in the key-value store: which block of a job holds a task, the
 * block's key and value, and which of two blocks takes precedence if both contain a task. These functions do
 * no input or output. docs/safety.md, "Formats and records", gives the reasons.
 *
 * There are two layouts. The key `b/p/REF/INDEX` does not state how many tasks the block holds: that follows
 * from `value_kb` in the settings of the process that wrote it. The key `b/n/REF/SIZE/INDEX` does: the block
 * holds SIZE tasks, from task SIZE * INDEX on. */
#ifndef AMBERPIN_CODEC_PLACEMENT_BLOCK_H
#define AMBERPIN_CODEC_PLACEMENT_BLOCK_H

#include "amberpin/codec/cbor_item.h"
#include "amberpin/model/model.h"

enum { AMB_BLOCK_KEY_SIZE = AMB_NAME_SIZE + 32 };

/* Returns the number of tasks per block for values of this size. */
uint32_t amb_placement_block_capacity(enum amb_block_layout layout, double value_kb);
/* Returns the range of tasks in a block of a job that has `tasks` tasks. */
struct amb_task_range amb_placement_block_task_range(struct amb_placement_block_id id, uint32_t tasks);

void amb_placement_key_format(char out[AMB_BLOCK_KEY_SIZE], const char *ref,
                              struct amb_placement_block_id id);
/* Returns false if the key is not that of a block. tasks_per_block is 0 if the key does not state it. */
bool amb_placement_key_parse(const char *key, char ref[AMB_NAME_SIZE], struct amb_placement_block_id *id);

/* Whether block `id` takes precedence over `other` for the tasks that are in both. The key of the block that
 * takes precedence also sorts first, so it comes first in a listing. */
bool amb_placement_block_precedes(struct amb_placement_block_id id, struct amb_placement_block_id other);

/* ---- values ---- */

/* A task on a machine. */
struct amb_placement {
    uint32_t task;
    uint64_t attempt;
    char machine[AMB_NAME_SIZE];
    int type, zone; /* of the machine: index in the value's own list of names; -1: unknown */
    bool spot;
};

/* The task entries of a value under construction. */
struct amb_placement_block_builder {
    struct amb_buf placed, completed;
};

/* The other fields of a value. */
struct amb_placement_block_header {
    int64_t written_wall_ms;           /* the machines in it existed at this time */
    const char *write_id;              /* unique to this value */
    uint64_t next_attempt;             /* higher than every attempt of the job that may have been started */
    const struct amb_catalog *catalog; /* has the names of types and zones */
};

/* A value that was read from the store. */
struct amb_placement_block_value {
    bool has_written_wall_ms;
    int64_t written_wall_ms;
    uint64_t next_attempt;                     /* 0: absent */
    char *placed, *completed;                  /* owned; NULL: absent */
    const struct amb_cbor_item *types, *zones; /* names, borrowed from the CBOR item */
};

/* ---- encoding ---- */

void amb_placement_block_add_placement(struct amb_placement_block_builder *text,
                                       const struct amb_placement *placement);
void amb_placement_block_add_completed(struct amb_placement_block_builder *text,
                                       struct amb_task_range completed);
/* Appends the value to `out` and frees the builder's buffers. */
void amb_placement_block_encode(struct amb_buf *out, const struct amb_placement_block_header *header,
                                struct amb_placement_block_builder *text);

/* ---- decoding ---- */

/* Decodes a value, which must be freed and borrows from the item. Never fails: missing or malformed fields
 * are empty. */
struct amb_placement_block_value amb_placement_block_decode(const struct amb_cbor_item *item);
void amb_placement_block_value_free(struct amb_placement_block_value *value);
/* Whether the value was written with this id. */
bool amb_placement_block_has_write_id(const struct amb_cbor_item *item, const char *write_id);
/* Reads the name at an index in one of the value's lists of names. Returns false if there is none. */
bool amb_placement_block_get_name(const struct amb_cbor_item *names, int position, char name[AMB_NAME_SIZE]);
/* Read the next placement, or the next range of completed tasks, and advance `at`. Return false at the end or
 * if the rest is malformed. */
bool amb_placement_block_next_placement(const char **at, struct amb_placement *out);
bool amb_placement_block_next_completed(const char **at, struct amb_task_range *out);

#endif
