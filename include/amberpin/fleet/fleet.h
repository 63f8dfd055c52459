/* What a leader knows of its machines as a whole. */
#ifndef AMBERPIN_FLEET_FLEET_H
#define AMBERPIN_FLEET_FLEET_H

#include "amberpin/base/loop.h"
#include "amberpin/model/model.h"

struct amb_removed_machine;

/* How much of a zone the leader can reach (zone_recovery/reachability.h). */
enum amb_zone_reachability {
    AMB_ZONE_REACHABLE,
    AMB_ZONE_DEGRADED,    /* a good part of its machines is unresponsive */
    AMB_ZONE_UNREACHABLE, /* nearly all are, and not all zones' */
};

/* Kept by every node; only a leader knows machines. */
struct amb_fleet {
    struct amb_machine *machines;                 /* hash table by name (machines.h) */
    struct amb_removed_machine *removed_machines; /* hash table of names that are never used again */
    bool forgot_removed;                          /* more names were removed than are kept */
    uint32_t next_number;                         /* of the next machine that is added */
    uint64_t heartbeats_processed; /* marks the tasks that a heartbeat lists (amb_task.last_listed_in) */
    enum amb_zone_reachability zone_reachability[AMB_ZONES_MAX];
    amb_ms zone_last_unreachable_at[AMB_ZONES_MAX]; /* when the zone was last not reachable; 0: never */
    amb_ms last_heartbeat_at; /* when any agent last sent this node a heartbeat, leader or not */
};

#endif
