/* One version of the controller, as the stand-in starts it. The versions that serve together during an
 * upgrade are linked into one process, the production version with all its symbols but sim_production_side
 * hidden, so nothing here may name a type of the library whose layout can differ between them. */
#ifndef AMBERPIN_TESTS_NODE_SIDE_H
#define AMBERPIN_TESTS_NODE_SIDE_H

#include <stdbool.h>
#include <stddef.h>

struct sim_node_settings {
    int index, nodes;
    const int *zones; /* of each node: its place among the names */
    int zone_count;
    const char *const *zone_names;
    int teams, team_limit;
    bool guest; /* the last team is guaranteed nothing */
    double report_s, lease_s, cancel_s, gang_wait_s, list_lag_s;
    double state_rps, cloud_rps;
    double write_rps, value_kb, txn_ops; /* of the state service, now */
    double memory_mb;
    bool duties;                /* the operators have switched single-holder duties on */
    bool keep_idle;             /* idle machines are not returned */
    bool zone_recovery;         /* and zone recovery */
    const char *recovery_order; /* their list of classes; NULL: none */
    double next_write_rps, next_value_kb, next_txn_ops; /* and once it has lowered its limits */
};

struct sim_node_side {
    void *(*start)(const struct sim_node_settings *settings); /* a node, which lives until the process ends */
    bool (*leads)(const void *node);
    /* Of its table of all jobs: bytes in use, those that it may take, and whether a small job more has room.
     */
    size_t (*job_table_used)(const void *node);
    size_t (*job_table_most)(const void *node);
    bool (*job_table_has_room)(const void *node);
};

const struct sim_node_side *sim_present_side(void);
const struct sim_node_side *sim_production_side(void); /* NULL: its sources were not at hand */

#endif
