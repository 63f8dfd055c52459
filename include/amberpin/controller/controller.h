/* Controller of a node: dispatches the modules' events, performs failover when the node becomes the leader,
 * and runs the leader's scheduling cycles. */
#ifndef AMBERPIN_CONTROLLER_H
#define AMBERPIN_CONTROLLER_H

#include "amberpin/base/loop.h"
#include "amberpin/scheduler/demand.h"

struct amb_node;

enum { AMB_RESTORE_CURSOR_SIZE = 256 }; /* bytes of a key of the state service, with its terminating zero */

struct amb_controller {
    /* A new leader restores placements from the state service before it schedules. */
    bool restoring; /* the restore is in progress */
    bool ready;     /* the restore is complete and the fleet is known: scheduling cycles run */
    /* The jobs were read after leadership began. The pages of the leader's records are next: placement
     * blocks, scale-out requests, the scale-in intent log and zone health. */
    bool restore_synced;
    bool restore_in_flight; /* a read is in flight */
    amb_ms restore_sent_at;
    amb_ms cycle_at; /* the latest scheduling cycle */
    amb_ms leader_since;
    amb_ms restored_at; /* 0: not restored yet, or this node does not lead */
    char restore_cursor[AMB_RESTORE_CURSOR_SIZE];
    uint64_t restore_term; /* the term that the restore belongs to */
    bool cycle_requested;
    uint32_t team_cursor;   /* the first team of the next cycle */
    double tick_interval_s; /* unit of the leader's intervals (amb_settings_cycle_s) */
    struct amb_timer timer, cycle_timer;
    amb_ms ticked_at; /* the latest tick; followers tick too */
    uint32_t demand_count;
    struct amb_demand demands[AMB_DEMANDS_MAX]; /* by job class */
    amb_ms plan_at;                             /* the latest capacity plan */
    struct amb_resources peak_usage;            /* decaying maximum of what jobs used and waited for */
    amb_ms peak_at;
};

/* Makes the controller handle the node's events. Call this before any other use of the node. */
void amb_controller_attach(struct amb_node *node);
/* Call this when the node has become the leader. */
void amb_controller_start_leading(struct amb_node *node);
/* Call this when the node has stopped being the leader. `cause` is for the log. */
void amb_controller_stop_leading(struct amb_node *node, const char *cause);

#endif
