/* The table of all jobs, as the state service has them. A job's stamp is that of its last change there; news
 * that is not newer changes nothing. What is final stays so: every writer guards on the stamp of the state
 * that it read. */
#ifndef AMBERPIN_JOBS_H
#define AMBERPIN_JOBS_H

#include "amberpin/base/loop.h"
#include "amberpin/codec/messages.h"
#include "amberpin/job/cancellations.h"

struct amb_node;

struct amb_jobs {
    struct amb_job *all;      /* by ref */
    size_t spec_count;        /* of these, jobs whose description is held */
    struct amb_job *active;   /* in the leader's care */
    size_t active_task_count; /* of these */
    bool has_unadmitted;      /* some jobs are not among them for want of memory */
    bool memory_freed;        /* a job has left since */
    struct amb_cancellations cancellations;
};

struct amb_job *amb_job_find(struct amb_node *node, const char *ref); /* NULL: never heard of */
void amb_job_format_key(char *out, size_t cap, const char *ref);
/* The job's value in the state service, if it were in this state. */
void amb_job_encode_record(struct amb_buf *buffer, const struct amb_job *job, enum amb_job_state state);
/* News of a job: its value and the stamp of its change. */
void amb_jobs_apply_item(struct amb_node *node, const char *ref, const cbor_item_t *value, uint64_t revision);
/* The same with the value's CBOR (NULL: none), of which only what is news is decoded. */
void amb_jobs_apply_bytes(struct amb_node *node, const char *ref, const void *value, size_t value_len,
                          uint64_t revision);
/* This node has written the job in this state: as if news had come of it. */
void amb_job_apply_own_write(struct amb_node *node, const struct amb_job *job, enum amb_job_state state,
                             uint64_t revision);
/* Nothing keeps the job from starting any more: the leader takes it into its care. */
void amb_job_handle_ready(struct amb_node *node, struct amb_job *job);
/* The job awaits another that is cancelled, directly or through others, and so is cancelled without a record
 * of its own, under the stamp and time of that cancellation. */
void amb_job_cancel_with_dependency(struct amb_node *node, struct amb_job *job, const struct amb_job *cause);
/* This node has written the job's cancellation. */
void amb_job_apply_own_cancellation(struct amb_node *node, struct amb_job *job, uint64_t revision);
/* Another node has told of a cancellation, written under this stamp: final, though news may not reach us. */
void amb_job_apply_cancel_hint(struct amb_node *node, const char *ref, int64_t cancelled_wall_ms,
                               uint64_t revision);

#endif
