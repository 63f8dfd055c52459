/* The words of the field: jobs, tasks, teams, machines, and what is known of each. */
#ifndef AMBERPIN_MODEL_H
#define AMBERPIN_MODEL_H

#include "amberpin/base/util.h"
#include "amberpin/model/failure_evidence.h"

#include <uthash.h>

enum {
    AMB_NAME = 64,
    AMB_TYPES = 32,
    AMB_ZONES = 16,
    AMB_IMAGES = 24,
    AMB_TYPES_ALLOWED = 16,
    AMB_TASKS_MAX = 100000,
};

struct amb_res {
    double cpus, gpus, memory;
};

enum amb_kind { AMB_ARRAY, AMB_GANG, AMB_SERVICE };
enum amb_priority { AMB_BEST_EFFORT, AMB_NORMAL, AMB_HIGH, AMB_PROD };

struct amb_spec { /* a job as its user described it */
    char ref[AMB_NAME], class_name[AMB_NAME], team[AMB_NAME], image[AMB_NAME], zone[AMB_NAME];
    enum amb_kind kind;
    enum amb_priority priority;
    uint32_t tasks;
    struct amb_res each;
    double image_gb, estimate_s, checkpoint_s, save_s, deadline_s; /* deadline 0: none */
    bool one_zone, spread, spot;
    uint32_t ntypes; /* 0: any */
    char types[AMB_TYPES_ALLOWED][AMB_NAME];
};

struct amb_type {
    char name[AMB_NAME];
    struct amb_res size;
    double cache_gb, fetch_gb_s, price, spot_price, boot_s;
    uint32_t nzones;
    char zones[AMB_ZONES][AMB_NAME];
};

struct amb_awaits { /* the jobs that a job awaits, each once */
    uint32_t count;
    char names[][AMB_NAME];
};

/* How urgent a job is and by when it is to be done. */
struct amb_urgency_need {
    enum amb_priority priority;
    int64_t due_wall; /* time of day in ms; AMB_NO_DUE: none */
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

enum amb_on { AMB_ON_FETCHING, AMB_ON_WAITING, AMB_ON_RUNNING, AMB_ON_SAVING, AMB_ON_EXITED };
enum amb_why {
    AMB_WHY_NONE,
    AMB_WHY_DONE,
    AMB_WHY_STOPPED,
    AMB_WHY_PEERS,
    AMB_WHY_ALONE,
    AMB_WHY_ERROR,
    AMB_WHY_NO_ROOM,
    AMB_WHY_BUSY,
    AMB_WHY_UNKNOWN,
};

struct amb_seen { /* a task in a machine's report */
    char ref[AMB_NAME];
    uint32_t index;
    uint64_t attempt;
    enum amb_on on;
    enum amb_why why;
    bool saved;
};

struct amb_report {
    char machine[AMB_NAME], addr[AMB_NAME], type[AMB_NAME], zone[AMB_NAME];
    bool spot;
    uint64_t session, seq, token;
    double notice_s; /* negative: none */
    size_t ntasks;
    struct amb_seen *tasks;
};

enum amb_op { AMB_OP_RUN, AMB_OP_HALT, AMB_OP_CLEAR };

struct amb_order {
    enum amb_op op;
    char ref[AMB_NAME];
    uint32_t index;
    uint64_t attempt;
    double grace_s;
};

struct amb_machine;
struct amb_job;
struct amb_held; /* a report whose answer waits for something to say */

struct amb_task {
    enum amb_task_state state;
    enum amb_on on;             /* when SEEN */
    bool done;                  /* completed */
    bool done_sent, done_saved; /* and in a record being written; and surely written */
    bool in_flight;             /* PLACED, and in the record that is being written */
    bool halting;               /* told, or to be told, to stop */
    bool lost;                  /* was running and is gone: to be replaced first */
    bool sent;                  /* a run order went out */
    bool foreign;               /* placed by an earlier leader, which may have sent one */
    uint8_t misses;             /* reports that should have listed it and did not */
    uint32_t index;
    uint64_t attempt;
    struct amb_machine *machine;
    struct amb_task *next, *prev; /* on the machine */
    struct amb_job *job;
    uint64_t mark; /* the report that last listed it */
    amb_ms since;  /* of the state */
    amb_ms running_at;
    double grace_s;
};

struct amb_task_range {
    uint32_t first, end; /* up to, not including, end */
};

enum amb_layout {
    AMB_LAYOUT_BY_SETTINGS, /* of the first format: tasks a block as the settings have it */
    AMB_LAYOUT_BY_KEY,      /* of the second: as the key says */
};

struct amb_block_id { /* within its job */
    enum amb_layout layout;
    uint32_t tasks_per_block, index;
};

struct amb_block {  /* a stretch of a job's tasks, recorded as one value */
    uint64_t stamp; /* 0: not there */
    bool dirty, urgent, in_flight, stamp_unsure;
    bool replaced;      /* never written again: blocks of another size are, for the same tasks */
    uint64_t job_stamp; /* guard of what is being written */
    amb_ms dirty_at, retry_at;
    char write_id[40];
    struct amb_buf value; /* being written; kept until it is known whether it was */
    struct amb_job *job;
    struct amb_block_id id;
    struct amb_task_range tasks; /* that it holds, or may hold */
};

enum amb_gang_state {
    AMB_GANG_IDLE,
    AMB_GANG_STARTING,
    AMB_GANG_RUNNING,
    AMB_GANG_STOPPING,
    AMB_GANG_TEARING
};

struct amb_job {
    char ref[AMB_NAME];
    enum amb_job_state state;
    uint64_t stamp;
    struct amb_spec *spec;     /* NULL once done */
    struct amb_awaits *awaits; /* NULL: none, or done */
    struct amb_team *team;
    int64_t accepted_wall, cancelled_wall;
    bool cancel_noted;     /* it is listed in struct amb_cancellations */
    bool tasks_gone;       /* cancelled so long ago that none can be left; its description is not kept */
    uint64_t cancel_stamp; /* of its cancellation, known from news, our own write or another node; 0: none */
    amb_ms cancel_pending_at; /* when a node was last known to be about to write its cancellation; 0: never */
    bool cancel_noticed;      /* the leader was told of its cancellation, as this node told a user of it */
    uint32_t shown_done, shown_running; /* as the leader last said */
    bool shown_changed;
    uint64_t shown_in; /* the leader's heartbeat that last told it (heartbeat_sent.c) */
    bool demand_noted; /* as one of its class that came */
    /* Its pipeline's (pipelines.h): */
    bool awaiting;                  /* a job that it awaits is not done: it must not start */
    bool is_needed;                 /* by jobs that await it, as `needed` says */
    bool late;                      /* started later than now, it would make its pipeline miss its due time */
    struct amb_urgency_need needed; /* of all of them */
    int64_t ready_wall;             /* when the last that it awaited was done; 0: unknown, or none */
    UT_hash_handle hh;
    /* the leader's part */
    struct amb_job *next_live, *prev_live;
    bool live; /* in the list of jobs that have tasks to care for */
    struct amb_task *tasks;
    struct amb_block *blocks;   /* all of one size; written as their tasks change */
    struct amb_block *replaced; /* of other sizes, that still stand in the state service */
    uint32_t nreplaced, tasks_per_block;
    enum amb_layout layout;
    uint32_t fitting_tasks; /* a block of more came out too large to write; 0: none has yet */
    uint32_t nblocks, ndone, nbound, nrunning, first_waiting;
    uint32_t zone_used[AMB_ZONES];
    uint64_t next_attempt;
    enum amb_gang_state gang;
    amb_ms hold_until; /* after errors: no new start before */
    struct {           /* task_failures.h */
        struct amb_failed_with machines;
        uint32_t retries;
        bool works, broken;
    } failures;
    bool finishing;
    amb_ms finish_retry_at;
    uint32_t type_mask;
    bool type_mask_known;
    amb_ms image_since;    /* since when it waits for room where its image is; 0: it does not */
    uint8_t recovery_step; /* at which it has its turn in this round (zone_recovery.h) */
};

enum amb_machine_state {
    AMB_MACHINE_BOOTING,   /* rented, has not reported to us */
    AMB_MACHINE_UNPROVEN,  /* known from a record, a list or a report; has not shown our token */
    AMB_MACHINE_UP,        /* reports, and carries our token */
    AMB_MACHINE_SILENT,    /* carried our token, then stopped reporting */
    AMB_MACHINE_RELEASING, /* release asked for: never used again, gone once it is answered */
};

struct amb_machine {
    char name[AMB_NAME], addr[AMB_NAME];
    uint32_t number; /* of this machine only, while this node runs */
    enum amb_machine_state state;
    int type, zone; /* places in the catalog and the zone table; -1: unknown */
    bool spot, token_shown, listed, release_wanted;
    bool return_planned;        /* with release_wanted: it is not needed, nothing is wrong with it */
    bool return_ordered;        /* an order to return it is on record */
    const char *release_reason; /* a constant; NULL: none given */
    uint64_t session, seq;
    amb_ms known_at, reported_at, answered_at, listed_at, idle_since, state_at, seek_at, avoid_until;
    amb_ms first_at;     /* when this node first knew it */
    amb_ms rented_at;    /* when it was rented, at the latest */
    uint64_t list_pass;  /* the cloud's list that last named it */
    int kept_for;        /* priority of expected work that it is kept for; -1: none */
    bool claimed;        /* by a gang within its team's guarantee, which waits for room here */
    bool halts_due;      /* tasks to be told to stop, without waiting for its next report */
    bool beyond_bounds;  /* of types or zones, and the log has said so */
    bool drain;          /* being emptied, to be returned */
    bool failed;         /* by the cloud's word: it stopped on its own */
    bool keeps_result;   /* its last report listed a completed task whose end is not on record yet */
    amb_ms notice_until; /* the cloud takes it then; 0: no notice */
    uint32_t faults, ntasks, good;
    uint32_t doubts;                    /* failures on it that may be its own, since the last success */
    struct amb_failed_with failed_jobs; /* by the hash of their names */
    struct amb_res used;
    struct amb_res reserved; /* of what is free: for replicas that return (zone_recovery.h) */
    struct amb_task *tasks;
    struct amb_held *held;
    bool images_changed;           /* since the other nodes were told */
    uint64_t images_told_in;       /* the leader's heartbeat that last told of them (image_locations.h) */
    uint32_t nimages, images_room; /* room: what is allocated (amb_machine_image_room) */
    char (*images)[AMB_NAME];      /* most recently used first, AMB_IMAGES at most */
    double *image_gb;
    UT_hash_handle hh;
};

struct amb_team {
    char name[AMB_NAME];
    struct amb_res guarantee, limit; /* 0: none */
    struct amb_res used;             /* placed and not proven absent */
    double deficit, bucket, weight, bucket_max;
    bool opportunistic; /* guaranteed nothing while others are: it uses what they leave idle */
};

struct amb_catalog {
    uint32_t ntypes, nzones;
    struct amb_type types[AMB_TYPES];
    char zones[AMB_ZONES][AMB_NAME];
};

/* Names kept latest first, at most `most` of them, each with a figure unless gb is NULL. Puts this one in
 * front and says whether it is new. */
bool amb_latest_first(char (*names)[AMB_NAME], double *gb, uint32_t *count, uint32_t most, const char *name,
                      double figure);
bool amb_spec_allows(const struct amb_spec *spec, const char *type);       /* this machine type */
int amb_catalog_type(const struct amb_catalog *catalog, const char *name); /* -1: unknown */
int amb_catalog_zone(struct amb_catalog *catalog, const char *name);       /* added when new; -1: no room */
bool amb_res_fits(const struct amb_res *need, const struct amb_res *room);
void amb_res_add(struct amb_res *sum, const struct amb_res *part, double times);

#endif
