/* The table of all jobs, as they are recorded in the key-value store. A job's revision is the revision of its
 * last change in the store; a change that is not newer is not applied. DONE and CANCELLED are final, because
 * every writer compares the revision of the state that it read. */
#ifndef AMBERPIN_JOBS_H
#define AMBERPIN_JOBS_H

#include "amberpin/base/loop.h"
#include "amberpin/codec/messages.h"
#include "amberpin/job/cancellations.h"
#include "amberpin/job/job_names.h"
#include "amberpin/job/job_record.h"
#include "amberpin/job/job_specs.h"

struct amb_node;

struct amb_jobs {
    struct amb_job *all;        /* owned; hash table by ref */
    size_t spec_count;          /* number of these whose description is held in memory */
    struct amb_job *active;     /* the active ones of these, linked by next_active */
    size_t active_task_count;   /* sum over the active jobs */
    bool has_unadmitted;        /* a job was not activated for lack of memory */
    bool memory_freed;          /* a job has been deactivated since then */
    size_t draft_bytes;         /* of submissions that are not accepted yet */
    size_t reserved_bytes;      /* of the job table, for submissions that are being written */
    struct amb_job_names names; /* of jobs with dependencies or dependents */
    struct amb_cancellations cancellations;
};

/* Returns the job, or NULL if it is unknown. Jobs are never removed from the table. */
struct amb_job *amb_job_find(struct amb_node *node, const char *ref);

/* Applies the value of a job's record as of this revision. A NULL value has no effect. */
void amb_jobs_apply_item(struct amb_node *node, const char *ref, const struct amb_cbor_item *value,
                         uint64_t revision);
/* Does the same with an encoded value. The description is parsed only if it is not known yet. */
void amb_jobs_apply_bytes(struct amb_node *node, const char *ref, const void *value, size_t value_len,
                          uint64_t revision);
/* Applies a state that this node has written itself, as if the change had been read. The names of the job's
 * dependencies are those that were written; NULL: none. */
void amb_job_apply_own_write(struct amb_node *node, const struct amb_job *job,
                             const struct amb_name_list *dependencies, enum amb_job_state state,
                             uint64_t revision);
/* Applies a cancellation that this node has written itself. */
void amb_job_apply_own_cancellation(struct amb_node *node, struct amb_job *job, uint64_t revision);
/* Applies a cancellation that a peer has reported as written with this revision. The cancellation is final,
 * though this node may not have read the change yet. */
void amb_job_apply_cancel_hint(struct amb_node *node, const char *ref, int64_t cancelled_wall_ms,
                               uint64_t revision);
/* Cancels the job because a direct or indirect dependency, `cause`, is cancelled. The cancellation has no
 * record of its own; it takes the revision and the time of the dependency's cancellation. */
void amb_job_cancel_with_dependency(struct amb_node *node, struct amb_job *job, const struct amb_job *cause);

/* Handles a new job, or one whose last dependency is done: the leader activates it unless a dependency is
 * pending. */
void amb_job_handle_ready(struct amb_node *node, struct amb_job *job);

#endif
