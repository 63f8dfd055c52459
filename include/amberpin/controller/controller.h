/* The controller of a node: it passes the modules' events on, takes over as a leader, and runs the leader's
 * scheduling cycles. */
#ifndef AMBERPIN_CONTROLLER_H
#define AMBERPIN_CONTROLLER_H

#include "amberpin/base/loop.h"
#include "amberpin/scheduler/demand.h"

struct amb_node;

enum { AMB_RESTORE_CURSOR_SIZE = 256 }; /* bytes of a key of the state service, with its terminating zero */

struct amb_controller {
    /* A new leader restores placements from the state service before it schedules: */
    bool restoring;         /* it does so now */
    bool ready;             /* restored, and heard from the fleet: scheduling cycles run */
    bool restore_synced;    /* the jobs were read freshly, and the pages of placements follow */
    bool restore_in_flight; /* a read is under way */
    amb_ms restore_sent_at;
    amb_ms cycle_at; /* the latest scheduling cycle */
    amb_ms leader_since;
    amb_ms restored_at; /* 0: not yet, or no leader */
    char restore_cursor[AMB_RESTORE_CURSOR_SIZE];
    uint64_t restore_term; /* the leader's term that the restore belongs to */
    bool cycle_requested;
    uint32_t team_cursor;   /* the team that comes first in the next cycle */
    double tick_interval_s; /* the unit of the leader's intervals (amb_settings_cycle_s) */
    struct amb_timer timer, cycle_timer;
    amb_ms ticked_at; /* the latest tick, of leaders and standbys */
    uint32_t demand_count;
    struct amb_demand demands[AMB_DEMANDS_MAX]; /* by class of jobs */
    amb_ms plan_at;                             /* the latest capacity plan */
    struct amb_resources peak_usage;            /* what jobs used and waited for lately, decaying */
    amb_ms peak_at;
};

/* Has the node's events handled by the controller. To be called before anything else is done with the node.
 */
void amb_controller_attach(struct amb_node *node);
/* The node has become the leader. */
void amb_controller_start_leading(struct amb_node *node);
/* It is leader no more; `cause` is for the log. */
void amb_controller_stop_leading(struct amb_node *node, const char *cause);

#endif
