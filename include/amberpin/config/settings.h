/* The settings that the platform provides (TOML). options.h has the operators' options. */
#ifndef AMBERPIN_SETTINGS_H
#define AMBERPIN_SETTINGS_H

#include "amberpin/config/config_error.h"
#include "amberpin/model/model.h"

enum { AMB_PEERS_MAX = 16, AMB_TEAMS_MAX = 256, AMB_OBJECTIVES_MAX = 64 };

struct amb_peer_address {
    char member[AMB_NAME_SIZE], addr[AMB_NAME_SIZE]; /* "A.B.C.D:PORT" */
};

/* A service-level objective: this share of the jobs of a class must start, or be complete, within `within_s`
 * of becoming ready. `kind` names which of the two ("wait" or "finished"). */
struct amb_objective {
    char kind[24], class_name[AMB_NAME_SIZE];
    double within_s, share;
};

/* Limits of the key-value store; 0: the limit is not announced. */
struct amb_store_limits {
    double write_rps, value_kb, txn_ops;
};

struct amb_settings {
    char member[AMB_NAME_SIZE], zone[AMB_NAME_SIZE];
    char api_listen[AMB_NAME_SIZE];  /* for users and agents */
    char peer_listen[AMB_NAME_SIZE]; /* for other controllers */
    char cloud_addr[AMB_NAME_SIZE], store_addr[AMB_NAME_SIZE];
    uint32_t peer_count, team_count, objective_count, zone_count;
    struct amb_peer_address peers[AMB_PEERS_MAX];
    struct amb_team teams[AMB_TEAMS_MAX];
    struct amb_objective objectives[AMB_OBJECTIVES_MAX];
    char zones[AMB_ZONES_MAX][AMB_NAME_SIZE];
    double heartbeat_s;                       /* interval of an agent's heartbeats */
    double agent_lease_s;                     /* an agent without a response for this long stops its tasks */
    double gang_wait_s;                       /* how long a gang's tasks wait for all of them to be ready */
    double gang_peer_s;                       /* how long a gang's tasks go on without one of them */
    double cancel_s;                          /* this long after its cancellation a job must have no tasks */
    double store_rps, store_write_rps;        /* calls and writes per second that this node may make */
    double value_kb, txn_ops;                 /* largest value; most changes in a transaction */
    struct amb_store_limits announced_limits; /* callers use amb_settings_lowered_limits */
    double cloud_rps;                         /* calls per second */
    double list_lag_s;                        /* nominal lag of the cloud's list of machines */
    double cores, memory_mb, fd_limit;        /* quotas of this process */
    double clock_skew_ms;                     /* largest difference of two machines' times of day */
};

/* Returns NULL if there is no such team. */
struct amb_team *amb_settings_find_team(struct amb_settings *settings, const char *name);
/* Seconds. The intervals of the leader's scheduling cycles are shares of it: the heartbeat interval, or less
 * if work must start so soon that waiting for such cycles would take much of the time allowed. */
double amb_settings_cycle_s(const struct amb_settings *settings);
/* Seconds. The durations of leases in the key-value store are shares of it: an agent's lease, or half of the
 * time that a cancellation allows beyond it if that is less. */
double amb_settings_lease_base_s(const struct amb_settings *settings);
/* The announced limits (`state.next`), which the key-value store may apply at any time without notice. They
 * are the present limits where none is announced, and never higher than these. */
struct amb_store_limits amb_settings_lowered_limits(const struct amb_settings *settings);

/* Reads the file at this path. On an error the settings must not be used, and error->text holds one line that
 * names the file and the field. */
enum amb_config_problem amb_settings_load(const char *path, struct amb_settings *settings,
                                          struct amb_config_error *error);

#endif
