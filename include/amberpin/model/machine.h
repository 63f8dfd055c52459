/* The leader's view of a machine, from records, the cloud's lists and heartbeats. */
#ifndef AMBERPIN_MODEL_MACHINE_H
#define AMBERPIN_MODEL_MACHINE_H

#include "amberpin/base/util.h"
#include "amberpin/model/failure_evidence.h"
#include "amberpin/model/limits.h"
#include "amberpin/model/resources.h"

#include <uthash.h>

struct amb_deferred_response; /* response to a heartbeat, held until there is a command to send (long poll) */
struct amb_task;

enum amb_machine_state {
    AMB_MACHINE_BOOTING,   /* requested from the cloud; no heartbeat yet */
    AMB_MACHINE_UNPROVEN,  /* known from a record, list or heartbeat; has not shown our token */
    AMB_MACHINE_UP,        /* sends heartbeats that show our fencing token */
    AMB_MACHINE_SILENT,    /* showed our fencing token, then its heartbeats stopped */
    AMB_MACHINE_RELEASING, /* release requested: never used again, removed once the request is answered */
};

enum { AMB_MACHINE_NOT_RESERVED = -1 }; /* value of reserved_priority */

struct amb_machine {
    char name[AMB_NAME_SIZE], address[AMB_NAME_SIZE];
    uint32_t number; /* unique while this node runs */
    enum amb_machine_state state;
    int type_index, zone_index; /* in the catalogue, or AMB_CATALOG_UNKNOWN */
    bool spot;
    bool token_acknowledged;        /* it has shown our fencing token */
    bool release_pending;           /* it is to be released */
    bool scale_in_planned;          /* it is released as surplus, not because of a fault */
    bool scale_in_logged;           /* the intent to release it is in the scale-in log */
    const char *release_reason;     /* static text; NULL: none given */
    uint64_t incarnation, sequence; /* those of the newest heartbeat */
    uint64_t start_read;            /* number of the fresh read without which nothing is started on it */
    amb_ms exists_since;
    amb_ms last_heartbeat_at; /* 0: never */
    amb_ms last_response_at;  /* to a heartbeat; 0: never */
    amb_ms last_listed_at;    /* when the latest list that names it was requested; 0: never */
    amb_ms idle_since;        /* since when it has no tasks; 0: it has some */
    amb_ms state_since;
    amb_ms probe_at;            /* earliest time of the next probe */
    amb_ms avoid_until;         /* after failures, nothing is placed on it before this */
    amb_ms first_known_at;      /* when this node first knew of it */
    amb_ms created_at;          /* latest possible time of its creation */
    uint64_t last_listing;      /* number of the latest cloud list that names it */
    int reserved_priority;      /* of the expected work that it is kept for, or AMB_MACHINE_NOT_RESERVED */
    bool claimed_by_gang;       /* a gang within its team's guarantee waits for room on it */
    bool stop_commands_due;     /* stop commands are to be sent without waiting for its next heartbeat */
    bool missing_from_catalog;  /* its type or zone is not in the catalogue, and this has been logged */
    bool draining;              /* its tasks are being moved away so that it can be released */
    bool failed_by_cloud;       /* the cloud reports that it has failed */
    bool has_unrecorded_result; /* its last heartbeat listed a completion that is not durable yet */
    amb_ms reclaim_at;          /* when the cloud will reclaim it; 0: no notice */
    uint32_t failure_count, task_count, success_count;
    uint32_t unattributed_failures;     /* failures that it may have caused, since the last success on it */
    struct amb_failure_set failed_jobs; /* by hash of their names */
    struct amb_resources used;
    struct amb_resources reserved; /* free resources kept for returning replicas (zone_recovery.h) */
    struct amb_task *tasks;        /* borrowed, linked by next_on_machine */
    struct amb_deferred_response *deferred_response; /* NULL: none */
    bool images_changed;                             /* since they were last sent to the peers */
    uint64_t images_sent_in; /* number of the leader's heartbeat that last carried them (image_locations.h) */
    uint32_t image_count, image_capacity; /* image_capacity: entries allocated (amb_machine_reserve_images) */
    char (*images)[AMB_NAME_SIZE];        /* owned; most recently used first, at most AMB_IMAGES_MAX */
    double *image_sizes_gb;               /* owned, parallel to `images` */
    UT_hash_handle hh;                    /* in struct amb_fleet, by name */
};

#endif
