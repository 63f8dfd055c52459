/* A job. Every controller keeps all jobs; the leader also keeps the tasks of active jobs and their placement
 * blocks. */
#ifndef AMBERPIN_MODEL_JOB_H
#define AMBERPIN_MODEL_JOB_H

#include "amberpin/base/util.h"
#include "amberpin/model/failure_evidence.h"
#include "amberpin/model/job_spec.h"
#include "amberpin/model/placement_block.h"

#include <uthash.h>

struct amb_task;
struct amb_team;

/* DONE and CANCELLED are final. */
enum amb_job_state { AMB_JOB_QUEUED, AMB_JOB_DONE, AMB_JOB_CANCELLED };

/* State of a gang's current attempt. */
enum amb_gang_state {
    AMB_GANG_IDLE,     /* no attempt: no task is on a machine */
    AMB_GANG_STARTING, /* placed; not all tasks run yet */
    AMB_GANG_RUNNING,
    AMB_GANG_STOPPING, /* stops in order, saving a checkpoint */
    AMB_GANG_TEARING   /* failed or cancelled: nothing starts until all its tasks are gone */
};

/* Evidence from a job's failed attempts (task_failures.h). */
struct amb_job_failures {
    struct amb_failure_set machines; /* machines it failed on since its last success */
    uint32_t retries;                /* retries since it was found to be broken */
    bool has_succeeded;              /* a task of it has succeeded, or has run for a long time */
    bool broken;                     /* it fails on every machine it runs on */
};

struct amb_job {
    char ref[AMB_NAME_SIZE];
    enum amb_job_state state;
    uint64_t revision;         /* revision of its record in the state service */
    struct amb_job_spec *spec; /* owned; NULL if the job is done, or if unreadable or never read */
    struct amb_job_dependencies *dependencies; /* owned; NULL: none, or the job is done */
    struct amb_team *team;                     /* borrowed from the settings */
    int64_t accepted_wall_ms, cancelled_wall_ms;

    bool cancellation_listed; /* it is in struct amb_cancellations */
    bool tasks_gone; /* it was cancelled so long ago that no task can be left; its description is freed */
    uint64_t cancel_revision; /* of its cancellation, as read, written or received from a peer; 0: none */
    amb_ms cancel_pending_at; /* when a node last announced that it would write the cancellation; 0: never */
    bool leader_notified_of_cancel; /* this node has sent the leader a notice of the cancellation */

    uint32_t progress_done, progress_running; /* task counts that the leader last reported */
    bool progress_changed;                    /* not sent to the peers yet */
    uint64_t progress_sent_in;                /* number of the leader's heartbeat that last carried it */
    bool demand_recorded;                     /* it is counted in the demand of its class */

    /* Kept by pipelines.h: */
    bool dependencies_pending; /* a job that it depends on is not done, so it must not start */
    bool inherits_priority;    /* `inherited_priority` is valid */
    bool pipeline_late;        /* its pipeline misses its due time if it starts later than now */
    struct amb_effective_priority inherited_priority; /* combined from all jobs that depend on it */
    int64_t ready_wall_ms; /* when the last job that it depends on was done; 0: unknown, or none */
    UT_hash_handle hh;     /* in struct amb_jobs, by ref */

    /* Kept by the leader while the job is active: */
    struct amb_job *next_active, *prev_active;
    bool active;                        /* in the list of jobs whose tasks are scheduled */
    struct amb_task *tasks;             /* owned, spec->task_count of them */
    struct amb_placement_block *blocks; /* owned; all of one size, written when their tasks change */
    struct amb_placement_block *superseded_blocks; /* owned; of other sizes, still in the state service */
    uint32_t superseded_count, tasks_per_block;
    enum amb_block_layout block_layout;
    uint32_t max_tasks_per_block; /* larger blocks were too large to write; 0: no block was */
    uint32_t block_count, done_count, bound_count, running_count;
    uint32_t first_waiting_task; /* no task with a lower index waits */
    uint32_t zone_task_counts[AMB_ZONES_MAX];
    uint64_t next_attempt;
    enum amb_gang_state gang_state;
    amb_ms backoff_until; /* after errors, no task starts before this */
    struct amb_job_failures failures;
    bool completion_in_flight; /* the record that it is done is being written */
    amb_ms completion_retry_at;
    uint32_t allowed_type_mask; /* one bit per machine type of the catalogue */
    bool allowed_type_mask_known;
    amb_ms image_wait_since; /* since when it waits for room on a machine with its image; 0: not waiting */
    uint8_t recovery_step; /* step of the recovery order at which this cycle schedules it (zone_recovery.h) */
};

#endif
