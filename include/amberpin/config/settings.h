/* What the platform hands over (TOML), and what the operators may add (XML, see options.h). */
#ifndef AMBERPIN_SETTINGS_H
#define AMBERPIN_SETTINGS_H

#include "amberpin/model/model.h"

enum { AMB_PEERS_MAX = 16, AMB_TEAMS_MAX = 256, AMB_OBJECTIVES_MAX = 64 };

struct amb_peer_address {
    char member[AMB_NAME_SIZE], addr[AMB_NAME_SIZE];
};

struct amb_objective {
    char kind[24], class_name[AMB_NAME_SIZE];
    double within_s, share;
};

struct amb_settings {
    char member[AMB_NAME_SIZE], zone[AMB_NAME_SIZE], api_listen[AMB_NAME_SIZE], peer_listen[AMB_NAME_SIZE];
    char cloud_addr[AMB_NAME_SIZE], store_addr[AMB_NAME_SIZE];
    uint32_t peer_count, team_count, objective_count, zone_count;
    struct amb_peer_address peers[AMB_PEERS_MAX];
    struct amb_team teams[AMB_TEAMS_MAX];
    struct amb_objective objectives[AMB_OBJECTIVES_MAX];
    char zones[AMB_ZONES_MAX][AMB_NAME_SIZE];
    double heartbeat_s, agent_lease_s, gang_wait_s, gang_peer_s, cancel_s;
    double store_rps, store_write_rps, value_kb, txn_ops;
    struct amb_store_limits {
        double write_rps, value_kb, txn_ops;
    } announced_limits; /* as announced; 0: not announced. Use amb_settings_lowered_limits */
    double cloud_rps, list_lag_s;
    double cores, memory_mb, fd_limit, clock_skew_ms;
};

struct amb_team *amb_settings_find_team(struct amb_settings *settings,
                                        const char *name); /* NULL: no such team */
/* Seconds that the leader's own turns are measured in: the report period, unless work is to start so soon
 * that waiting for turns of that length would use up much of its time. */
double amb_settings_cycle_s(const struct amb_settings *settings);
/* Seconds that leases of the state service are shares of: a worker's lease, or half of what a cancellation
 * allows beyond it where that is less. */
double amb_settings_lease_base_s(const struct amb_settings *settings);
/* The limits that the state service may have from some moment on, without notice (`state.next`). Without an
 * announcement, the present ones; never more than these. */
struct amb_store_limits amb_settings_lowered_limits(const struct amb_settings *settings);
/* False: err holds one line that names file and field. */
bool amb_settings_load(const char *path, struct amb_settings *settings, char *error, size_t error_size);

#endif
