/* The table of all jobs, as the state service has them. A job's revision is that of its last change there; a
 * change that is not newer is not applied. DONE and CANCELLED are final: every writer compares the revision
 * of the state that it read. */
#ifndef AMBERPIN_JOBS_H
#define AMBERPIN_JOBS_H

#include "amberpin/base/loop.h"
#include "amberpin/codec/messages.h"
#include "amberpin/job/cancellations.h"
#include "amberpin/job/job_record.h"
#include "amberpin/job/job_specs.h"

struct amb_node;

struct amb_jobs {
    struct amb_job *all;      /* owned, by ref */
    size_t spec_count;        /* of these, jobs whose description is held */
    struct amb_job *active;   /* of these, linked by next_active */
    size_t active_task_count; /* of the active jobs */
    bool has_unadmitted;      /* some jobs are not active for want of memory */
    bool memory_freed;        /* and a job has been deactivated since */
    struct amb_cancellations cancellations;
};

/* NULL: never heard of. Jobs are never removed from the table. */
struct amb_job *amb_job_find(struct amb_node *node, const char *ref);

/* Applies a job's value (NULL: none) as of this revision. */
void amb_jobs_apply_item(struct amb_node *node, const char *ref, const cbor_item_t *value, uint64_t revision);
/* The same with the value's CBOR, of which only what is not known yet is decoded. */
void amb_jobs_apply_bytes(struct amb_node *node, const char *ref, const void *value, size_t value_len,
                          uint64_t revision);
/* This node has written the job in this state: as if the change had been read. */
void amb_job_apply_own_write(struct amb_node *node, const struct amb_job *job, enum amb_job_state state,
                             uint64_t revision);
/* This node has written the job's cancellation. */
void amb_job_apply_own_cancellation(struct amb_node *node, struct amb_job *job, uint64_t revision);
/* A peer has told of a cancellation that was written under this revision: it is final, though the change may
 * not have been read yet. */
void amb_job_apply_cancel_hint(struct amb_node *node, const char *ref, int64_t cancelled_wall_ms,
                               uint64_t revision);
/* A dependency of the job is cancelled, directly or through others, and so is the job: without a record of
 * its own, under the revision and time of that cancellation. */
void amb_job_cancel_with_dependency(struct amb_node *node, struct amb_job *job, const struct amb_job *cause);

/* The job is new, or its last dependency is done: unless one is pending, the leader activates it. */
void amb_job_handle_ready(struct amb_node *node, struct amb_job *job);

#endif
