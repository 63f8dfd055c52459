/* The leader's state of the whole fleet. */
#ifndef AMBERPIN_FLEET_FLEET_H
#define AMBERPIN_FLEET_FLEET_H

#include "amberpin/base/loop.h"
#include "amberpin/model/model.h"

struct amb_removed_machine;

/* Whether the leader can reach the machines of a zone (zone_recovery/reachability.h). */
enum amb_zone_reachability {
    AMB_ZONE_REACHABLE,
    AMB_ZONE_DEGRADED,    /* a large part of its machines is unresponsive */
    AMB_ZONE_UNREACHABLE, /* nearly all of its machines are unresponsive, but not those of every zone */
};

/* Every node has one; only the leader's contains machines. */
struct amb_fleet {
    struct amb_machine *machines;                 /* hash table by name (machines.h) */
    struct amb_removed_machine *removed_machines; /* hash table of names, which are never reused */
    bool forgot_removed;           /* names were dropped from removed_machines for lack of room */
    uint32_t next_number;          /* amb_machine.number of the next machine */
    uint64_t heartbeats_processed; /* stored in amb_task.last_listed_in of each task that a heartbeat lists */
    struct amb_deferred_response
        *awaiting_read;            /* those that wait for a fresh read, in the order of its number */
    uint64_t requested_start_read; /* number of the latest fresh read that was requested for a start */
    size_t deferred_commands;      /* commands that all deferred responses keep */
    enum amb_zone_reachability zone_reachability[AMB_ZONES_MAX];
    amb_ms zone_last_unreachable_at[AMB_ZONES_MAX]; /* when last not AMB_ZONE_REACHABLE; 0: never */
    amb_ms last_heartbeat_at; /* when this node, leading or not, last received any heartbeat of an agent */
};

#endif
