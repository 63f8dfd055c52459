/* What the platform hands over (TOML), and what the operators may add (XML, see options.h). */
#ifndef AMBERPIN_SETTINGS_H
#define AMBERPIN_SETTINGS_H

#include "amberpin/model/model.h"

enum { AMB_PEERS = 16, AMB_TEAMS = 256, AMB_OBJECTIVES = 64 };

struct amb_peer_addr {
    char member[AMB_NAME_SIZE], addr[AMB_NAME_SIZE];
};

struct amb_objective {
    char kind[24], class_name[AMB_NAME_SIZE];
    double within_s, share;
};

struct amb_settings {
    char member[AMB_NAME_SIZE], zone[AMB_NAME_SIZE], front[AMB_NAME_SIZE], peer_listen[AMB_NAME_SIZE];
    char cloud[AMB_NAME_SIZE], state[AMB_NAME_SIZE];
    uint32_t npeers, nteams, nobjectives, nzones;
    struct amb_peer_addr peers[AMB_PEERS];
    struct amb_team teams[AMB_TEAMS];
    struct amb_objective objectives[AMB_OBJECTIVES];
    char zones[AMB_ZONES_MAX][AMB_NAME_SIZE];
    double report_s, lease_s, gang_wait_s, gang_peer_s, cancel_s;
    double state_rps, state_write_rps, value_kb, txn_ops;
    struct amb_state_limits {
        double write_rps, value_kb, txn_ops;
    } state_next; /* as announced; 0: not announced. Use amb_settings_lowered_limits */
    double cloud_rps, list_lag_s;
    double cores, memory_mb, fd_limit, skew_ms;
};

struct amb_team *amb_settings_team(struct amb_settings *settings, const char *name); /* NULL: no such team */
/* Seconds that the leader's own turns are measured in: the report period, unless work is to start so soon
 * that waiting for turns of that length would use up much of its time. */
double amb_settings_beat(const struct amb_settings *settings);
/* Seconds that leases of the state service are shares of: a worker's lease, or half of what a cancellation
 * allows beyond it where that is less. */
double amb_settings_lease_base(const struct amb_settings *settings);
/* The limits that the state service may have from some moment on, without notice (`state.next`). Without an
 * announcement, the present ones; never more than these. */
struct amb_state_limits amb_settings_lowered_limits(const struct amb_settings *settings);
/* False: err holds one line that names file and field. */
bool amb_settings_load(const char *path, struct amb_settings *settings, char *err, size_t cap);

#endif
