/* A block of the placement log: a range of a job's tasks, stored as one value in the state service. */
#ifndef AMBERPIN_MODEL_PLACEMENT_BLOCK_H
#define AMBERPIN_MODEL_PLACEMENT_BLOCK_H

#include "amberpin/base/util.h"

struct amb_job;

struct amb_task_range {
    uint32_t first, end; /* `end` is not included */
};

enum amb_block_layout {
    AMB_LAYOUT_BY_SETTINGS, /* first format: the settings determine the number of tasks per block */
    AMB_LAYOUT_BY_KEY,      /* second format: the key states it */
};

/* Identifies a block within its job. */
struct amb_placement_block_id {
    enum amb_block_layout layout;
    uint32_t tasks_per_block, index;
};

enum { AMB_WRITE_ID_SIZE = 40 }; /* bytes, with the terminating zero */

struct amb_placement_block {
    uint64_t revision; /* of its value in the state service; 0: it does not exist */
    bool dirty;        /* its tasks have changed since it was last sent */
    bool urgent;       /* dirty and to be written at once */
    bool write_in_flight;
    bool revision_uncertain;          /* the outcome of a write that was sent is unknown */
    bool superseded;                  /* never written again, because blocks of another size hold its tasks */
    uint64_t job_revision;            /* of the job's record, compared by the write in flight */
    amb_ms dirty_at, retry_at;        /* since when it is dirty; earliest time of the next write */
    char write_id[AMB_WRITE_ID_SIZE]; /* identifies a write whose response was lost */
    struct amb_buf value;             /* value of the write, kept until its outcome is known */
    struct amb_job *job;              /* the block's owner */
    struct amb_placement_block_id id;
    struct amb_task_range task_range; /* tasks that the block holds or may hold */
};

#endif
