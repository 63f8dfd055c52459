/* A version of the controller that the simulation can start. The versions that run together during an upgrade
 * are linked into one process. All symbols of the production version except sim_production_version are
 * hidden, so this header must not use a type of the library, whose layout can differ between the versions. */
#ifndef AMBERPIN_TESTS_NODE_VERSION_H
#define AMBERPIN_TESTS_NODE_VERSION_H

#include <stdbool.h>
#include <stddef.h>

struct sim_node_settings {
    int index, nodes;
    const int *zones; /* of each node: an index in zone_names */
    int zone_count;
    const char *const *zone_names;
    int teams, team_limit;
    bool no_guarantee_for_last_team; /* the last team's guarantee is zero */
    double heartbeat_s, agent_lease_s, cancel_s, gang_wait_s, list_lag_s;
    double store_rps, cloud_rps;
    double store_write_rps, value_kb, txn_ops; /* current limits of the state service */
    double memory_mb;
    bool duties;                /* the option for single-holder duties */
    bool keep_idle;             /* idle machines are not returned */
    bool zone_recovery;         /* the option for zone recovery */
    const char *recovery_order; /* its list of classes; NULL: not set */
    double announced_write_rps, announced_value_kb, announced_txn_ops; /* its announced limits */
};

struct sim_node_version {
    void *(*start)(const struct sim_node_settings *settings); /* returns a node, which is never freed */
    bool (*leads)(const void *node);
    /* Of the job table: bytes in use, maximum bytes, and whether a small job still fits. */
    size_t (*job_table_used)(const void *node);
    size_t (*job_table_max)(const void *node);
    bool (*job_table_has_room)(const void *node);
};

const struct sim_node_version *sim_present_version(void);
const struct sim_node_version *sim_production_version(void); /* NULL: built without its sources */

#endif
