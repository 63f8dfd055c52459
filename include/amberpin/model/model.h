/* The words of the field: jobs, tasks, teams, machines, and what is known of each. */
#ifndef AMBERPIN_MODEL_H
#define AMBERPIN_MODEL_H

#include "amberpin/base/util.h"
#include "amberpin/model/failure_evidence.h"

#include <uthash.h>

enum {
    AMB_NAME_SIZE = 64,
    AMB_MACHINE_TYPES_MAX = 32,
    AMB_ZONES_MAX = 16,
    AMB_IMAGES_MAX = 24,
    AMB_ALLOWED_TYPES_MAX = 16,
    AMB_TASKS_MAX = 100000,
};

struct amb_resources {
    double cpus, gpus, memory_gb;
};

enum amb_job_kind { AMB_JOB_KIND_ARRAY, AMB_JOB_KIND_GANG, AMB_JOB_KIND_SERVICE };
enum amb_priority {
    AMB_PRIORITY_BEST_EFFORT,
    AMB_PRIORITY_NORMAL,
    AMB_PRIORITY_HIGH,
    AMB_PRIORITY_PRODUCTION
};

struct amb_job_spec { /* a job as its user described it */
    char ref[AMB_NAME_SIZE], class_name[AMB_NAME_SIZE], team[AMB_NAME_SIZE], image[AMB_NAME_SIZE],
        zone[AMB_NAME_SIZE];
    enum amb_job_kind kind;
    enum amb_priority priority;
    uint32_t task_count;
    struct amb_resources task_resources;
    double image_gb, estimated_runtime_s, checkpoint_interval_s, checkpoint_save_s,
        deadline_s; /* deadline 0: none */
    bool one_zone, spread_zones, spot_allowed;
    uint32_t allowed_type_count; /* 0: any */
    char allowed_types[AMB_ALLOWED_TYPES_MAX][AMB_NAME_SIZE];
};

struct amb_machine_type {
    char name[AMB_NAME_SIZE];
    struct amb_resources resources;
    double image_cache_gb, image_fetch_gb_per_s, hourly_price, hourly_spot_price, boot_s;
    uint32_t zone_count;
    char zones[AMB_ZONES_MAX][AMB_NAME_SIZE];
};

struct amb_job_dependencies { /* the jobs that a job awaits, each once */
    uint32_t count;
    char names[][AMB_NAME_SIZE];
};

/* How urgent a job is and by when it is to be done. */
struct amb_effective_priority {
    enum amb_priority priority;
    int64_t due_wall_ms; /* time of day in ms; AMB_NO_DUE: none */
};

#define AMB_NO_DUE INT64_MAX

enum amb_job_state { AMB_JOB_QUEUED, AMB_JOB_DONE, AMB_JOB_CANCELLED };

enum amb_task_state {
    AMB_TASK_WAITING, /* on no machine */
    AMB_TASK_PLACED,  /* machine chosen, record not yet durable: no order may go out */
    AMB_TASK_BOUND,   /* record durable; may be on its machine, not seen there yet */
    AMB_TASK_SEEN,    /* reported by its machine */
    AMB_TASK_DONE,    /* completed */
};

enum amb_agent_task_state {
    AMB_AGENT_TASK_FETCHING,
    AMB_AGENT_TASK_WAITING,
    AMB_AGENT_TASK_RUNNING,
    AMB_AGENT_TASK_SAVING,
    AMB_AGENT_TASK_EXITED
};
enum amb_exit_reason {
    AMB_EXIT_NONE,
    AMB_EXIT_DONE,
    AMB_EXIT_STOPPED,
    AMB_EXIT_GANG_PEER_GONE,
    AMB_EXIT_GANG_INCOMPLETE,
    AMB_EXIT_ERROR,
    AMB_EXIT_MACHINE_FULL,
    AMB_EXIT_ATTEMPT_CONFLICT,
    AMB_EXIT_UNKNOWN_JOB,
};

struct amb_agent_task { /* a task in a machine's report */
    char job_ref[AMB_NAME_SIZE];
    uint32_t index;
    uint64_t attempt;
    enum amb_agent_task_state state;
    enum amb_exit_reason exit_reason;
    bool checkpoint_saved;
};

struct amb_agent_heartbeat {
    char machine[AMB_NAME_SIZE], address[AMB_NAME_SIZE], type[AMB_NAME_SIZE], zone[AMB_NAME_SIZE];
    bool spot;
    uint64_t incarnation, sequence, fencing_token;
    double reclaim_notice_s; /* negative: none */
    size_t task_count;
    struct amb_agent_task *tasks;
};

enum amb_agent_command_kind { AMB_COMMAND_RUN, AMB_COMMAND_STOP, AMB_COMMAND_CLEAR };

struct amb_agent_command {
    enum amb_agent_command_kind kind;
    char job_ref[AMB_NAME_SIZE];
    uint32_t index;
    uint64_t attempt;
    double grace_s;
};

struct amb_machine;
struct amb_job;
struct amb_deferred_response; /* a report whose answer waits for something to say */

struct amb_task {
    enum amb_task_state state;
    enum amb_agent_task_state agent_state; /* when SEEN */
    bool done;                             /* completed */
    bool done_write_pending, done_durable; /* and in a record being written; and surely written */
    bool write_in_flight;                  /* PLACED, and in the record that is being written */
    bool stop_requested;                   /* told, or to be told, to stop */
    bool interrupted;                      /* was running and is gone: to be replaced first */
    bool start_sent;                       /* a run order went out */
    bool inherited;                        /* placed by an earlier leader, which may have sent one */
    uint8_t missed_heartbeats;             /* reports that should have listed it and did not */
    uint32_t index;
    uint64_t attempt;
    struct amb_machine *machine;
    struct amb_task *next_on_machine, *prev_on_machine; /* on the machine */
    struct amb_job *job;
    uint64_t last_listed_in; /* the report that last listed it */
    amb_ms state_since;      /* of the state */
    amb_ms running_at;
    double grace_s;
};

struct amb_task_range {
    uint32_t first, end; /* up to, not including, end */
};

enum amb_block_layout {
    AMB_LAYOUT_BY_SETTINGS, /* of the first format: tasks a block as the settings have it */
    AMB_LAYOUT_BY_KEY,      /* of the second: as the key says */
};

struct amb_placement_block_id { /* within its job */
    enum amb_block_layout layout;
    uint32_t tasks_per_block, index;
};

struct amb_placement_block { /* a stretch of a job's tasks, recorded as one value */
    uint64_t revision;       /* 0: not there */
    bool dirty, urgent, write_in_flight, revision_uncertain;
    bool superseded;       /* never written again: blocks of another size are, for the same tasks */
    uint64_t job_revision; /* guard of what is being written */
    amb_ms dirty_at, retry_at;
    char write_id[40];
    struct amb_buf value; /* being written; kept until it is known whether it was */
    struct amb_job *job;
    struct amb_placement_block_id id;
    struct amb_task_range task_range; /* that it holds, or may hold */
};

enum amb_gang_state {
    AMB_GANG_IDLE,
    AMB_GANG_STARTING,
    AMB_GANG_RUNNING,
    AMB_GANG_STOPPING,
    AMB_GANG_TEARING
};

struct amb_job {
    char ref[AMB_NAME_SIZE];
    enum amb_job_state state;
    uint64_t revision;
    struct amb_job_spec *spec;                 /* NULL once done */
    struct amb_job_dependencies *dependencies; /* NULL: none, or done */
    struct amb_team *team;
    int64_t accepted_wall_ms, cancelled_wall_ms;
    bool cancellation_listed; /* it is listed in struct amb_cancellations */
    bool tasks_gone;          /* cancelled so long ago that none can be left; its description is not kept */
    uint64_t
        cancel_revision; /* of its cancellation, known from news, our own write or another node; 0: none */
    amb_ms cancel_pending_at; /* when a node was last known to be about to write its cancellation; 0: never */
    bool leader_notified_of_cancel; /* the leader was told of its cancellation, as this node told a user of it
                                     */
    uint32_t progress_done, progress_running; /* as the leader last said */
    bool progress_changed;
    uint64_t progress_sent_in; /* the leader's heartbeat that last told it (heartbeat_sent.c) */
    bool demand_recorded;      /* as one of its class that came */
    /* Its pipeline's (pipelines.h): */
    bool dependencies_pending; /* a job that it awaits is not done: it must not start */
    bool inherits_priority;    /* by jobs that await it, as `needed` says */
    bool pipeline_late;        /* started later than now, it would make its pipeline miss its due time */
    struct amb_effective_priority inherited_priority; /* of all of them */
    int64_t ready_wall_ms; /* when the last that it awaited was done; 0: unknown, or none */
    UT_hash_handle hh;
    /* the leader's part */
    struct amb_job *next_active, *prev_active;
    bool active; /* in the list of jobs that have tasks to care for */
    struct amb_task *tasks;
    struct amb_placement_block *blocks;            /* all of one size; written as their tasks change */
    struct amb_placement_block *superseded_blocks; /* of other sizes, that still stand in the state service */
    uint32_t superseded_count, tasks_per_block;
    enum amb_block_layout block_layout;
    uint32_t max_tasks_per_block; /* a block of more came out too large to write; 0: none has yet */
    uint32_t block_count, done_count, bound_count, running_count, first_waiting_task;
    uint32_t zone_task_counts[AMB_ZONES_MAX];
    uint64_t next_attempt;
    enum amb_gang_state gang_state;
    amb_ms backoff_until; /* after errors: no new start before */
    struct {              /* task_failures.h */
        struct amb_failure_set machines;
        uint32_t retries;
        bool works, broken;
    } failures;
    bool completion_in_flight;
    amb_ms completion_retry_at;
    uint32_t allowed_type_mask;
    bool allowed_type_mask_known;
    amb_ms image_wait_since; /* since when it waits for room where its image is; 0: it does not */
    uint8_t recovery_step;   /* at which it has its turn in this round (zone_recovery.h) */
};

enum amb_machine_state {
    AMB_MACHINE_BOOTING,   /* rented, has not reported to us */
    AMB_MACHINE_UNPROVEN,  /* known from a record, a list or a report; has not shown our token */
    AMB_MACHINE_UP,        /* reports, and carries our token */
    AMB_MACHINE_SILENT,    /* carried our token, then stopped reporting */
    AMB_MACHINE_RELEASING, /* release asked for: never used again, gone once it is answered */
};

struct amb_machine {
    char name[AMB_NAME_SIZE], address[AMB_NAME_SIZE];
    uint32_t number; /* of this machine only, while this node runs */
    enum amb_machine_state state;
    int type_index, zone_index; /* places in the catalog and the zone table; -1: unknown */
    bool spot, token_acknowledged, listed, release_pending;
    bool scale_in_planned;      /* with release_wanted: it is not needed, nothing is wrong with it */
    bool scale_in_logged;       /* an order to return it is on record */
    const char *release_reason; /* a constant; NULL: none given */
    uint64_t incarnation, sequence;
    amb_ms exists_since, last_heartbeat_at, last_response_at, last_listed_at, idle_since, state_since,
        probe_at, avoid_until;
    amb_ms first_known_at;      /* when this node first knew it */
    amb_ms created_at;          /* when it was rented, at the latest */
    uint64_t last_listing;      /* the cloud's list that last named it */
    int reserved_priority;      /* priority of expected work that it is kept for; -1: none */
    bool claimed_by_gang;       /* by a gang within its team's guarantee, which waits for room here */
    bool stops_due;             /* tasks to be told to stop, without waiting for its next report */
    bool beyond_catalog;        /* of types or zones, and the log has said so */
    bool drain;                 /* being emptied, to be returned */
    bool failed_by_cloud;       /* by the cloud's word: it stopped on its own */
    bool has_unrecorded_result; /* its last report listed a completed task whose end is not on record yet */
    amb_ms reclaim_at;          /* the cloud takes it then; 0: no notice */
    uint32_t failure_count, task_count, success_count;
    uint32_t unattributed_failures;     /* failures on it that may be its own, since the last success */
    struct amb_failure_set failed_jobs; /* by the hash of their names */
    struct amb_resources used;
    struct amb_resources reserved; /* of what is free: for replicas that return (zone_recovery.h) */
    struct amb_task *tasks;
    struct amb_deferred_response *deferred_response;
    bool images_changed;     /* since the other nodes were told */
    uint64_t images_sent_in; /* the leader's heartbeat that last told of them (image_locations.h) */
    uint32_t image_count, image_capacity; /* room: what is allocated (amb_machine_reserve_images) */
    char (*images)[AMB_NAME_SIZE];        /* most recently used first, AMB_IMAGES_MAX at most */
    double *image_sizes_gb;
    UT_hash_handle hh;
};

struct amb_team {
    char name[AMB_NAME_SIZE];
    struct amb_resources guarantee, limit; /* 0: none */
    struct amb_resources used;             /* placed and not proven absent */
    double deficit, bucket_tokens, weight, bucket_capacity;
    bool opportunistic; /* guaranteed nothing while others are: it uses what they leave idle */
};

struct amb_catalog {
    uint32_t type_count, zone_count;
    struct amb_machine_type types[AMB_MACHINE_TYPES_MAX];
    char zones[AMB_ZONES_MAX][AMB_NAME_SIZE];
};

/* Names kept latest first, at most `most` of them, each with a figure unless gb is NULL. Puts this one in
 * front and says whether it is new. */
bool amb_recent_names_add(char (*names)[AMB_NAME_SIZE], double *sizes_gb, uint32_t *count, uint32_t capacity,
                          const char *name, double size_gb);
bool amb_job_spec_allows_type(const struct amb_job_spec *spec, const char *type); /* this machine type */
int amb_catalog_find_type(const struct amb_catalog *catalog, const char *name);   /* -1: unknown */
int amb_catalog_find_or_add_zone(struct amb_catalog *catalog,
                                 const char *name); /* added when new; -1: no room */
bool amb_resources_fit(const struct amb_resources *need, const struct amb_resources *available);
void amb_resources_add(struct amb_resources *sum, const struct amb_resources *part, double factor);

#endif
