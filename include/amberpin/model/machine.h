/* A machine of the fleet, as the leader knows it from records, the cloud's lists and heartbeats. */
#ifndef AMBERPIN_MODEL_MACHINE_H
#define AMBERPIN_MODEL_MACHINE_H

#include "amberpin/base/util.h"
#include "amberpin/model/failure_evidence.h"
#include "amberpin/model/limits.h"
#include "amberpin/model/resources.h"

#include <uthash.h>

struct amb_deferred_response; /* to a heartbeat, held back until there is a command to carry */
struct amb_task;

enum amb_machine_state {
    AMB_MACHINE_BOOTING,   /* requested from the cloud, no heartbeat yet */
    AMB_MACHINE_UNPROVEN,  /* known from a record, a list or a heartbeat; has not shown our fencing token */
    AMB_MACHINE_UP,        /* sends heartbeats, and carries our fencing token */
    AMB_MACHINE_SILENT,    /* carried our fencing token, then its heartbeats ceased */
    AMB_MACHINE_RELEASING, /* release asked for: never used again, gone once that is answered */
};

enum { AMB_MACHINE_NOT_RESERVED = -1 }; /* for reserved_priority */

struct amb_machine {
    char name[AMB_NAME_SIZE], address[AMB_NAME_SIZE];
    uint32_t number; /* unique while this node runs */
    enum amb_machine_state state;
    int type_index, zone_index; /* in the catalogue; AMB_CATALOG_UNKNOWN: not known */
    bool spot;
    bool token_acknowledged;        /* it has carried our fencing token */
    bool release_pending;           /* it is to be released */
    bool scale_in_planned;          /* release_pending because it is surplus: nothing is wrong with it */
    bool scale_in_logged;           /* an order to release it is in the scale-in log */
    const char *release_reason;     /* static text; NULL: none given */
    uint64_t incarnation, sequence; /* of the newest heartbeat */
    amb_ms exists_since;
    amb_ms last_heartbeat_at; /* 0: never */
    amb_ms last_response_at;  /* to a heartbeat; 0: never */
    amb_ms last_listed_at;    /* when the latest list that names it was asked for; 0: never */
    amb_ms idle_since;        /* without tasks; 0: it has some */
    amb_ms state_since;
    amb_ms probe_at;            /* no probe before */
    amb_ms avoid_until;         /* nothing is placed on it before, after failures */
    amb_ms first_known_at;      /* to this node */
    amb_ms created_at;          /* at the latest */
    uint64_t last_listing;      /* number of the cloud's list that last named it */
    int reserved_priority;      /* of expected work that it is kept for, or AMB_MACHINE_NOT_RESERVED */
    bool claimed_by_gang;       /* within its team's guarantee, which waits for room here */
    bool stop_commands_due;     /* tasks are to be commanded to stop without waiting for its next heartbeat */
    bool missing_from_catalog;  /* its type or zone has no place in the catalogue, which was logged */
    bool draining;              /* being emptied, to be released */
    bool failed_by_cloud;       /* the cloud says that it stopped on its own */
    bool has_unrecorded_result; /* its last heartbeat listed a completion that is not durable yet */
    amb_ms reclaim_at;          /* when the cloud takes it back; 0: no notice */
    uint32_t failure_count, task_count, success_count;
    uint32_t unattributed_failures;     /* that may be its own, since the last success on it */
    struct amb_failure_set failed_jobs; /* by the hash of their names */
    struct amb_resources used;
    struct amb_resources reserved; /* of what is free: for replicas that return (zone_recovery.h) */
    struct amb_task *tasks;        /* borrowed, linked by next_on_machine */
    struct amb_deferred_response *deferred_response; /* NULL: none */
    bool images_changed;                             /* since the peers were told */
    uint64_t images_sent_in; /* number of the leader's heartbeat that last told of them (image_locations.h) */
    uint32_t image_count, image_capacity; /* capacity: what is allocated (amb_machine_reserve_images) */
    char (*images)[AMB_NAME_SIZE];        /* owned; most recently used first, AMB_IMAGES_MAX at most */
    double *image_sizes_gb;               /* owned, beside them */
    UT_hash_handle hh;                    /* of struct amb_fleet, by name */
};

#endif
