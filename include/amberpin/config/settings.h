/* The settings that the platform hands over (TOML). What the operators may add is in options.h. */
#ifndef AMBERPIN_SETTINGS_H
#define AMBERPIN_SETTINGS_H

#include "amberpin/config/config_error.h"
#include "amberpin/model/model.h"

enum { AMB_PEERS_MAX = 16, AMB_TEAMS_MAX = 256, AMB_OBJECTIVES_MAX = 64 };

struct amb_peer_address {
    char member[AMB_NAME_SIZE], addr[AMB_NAME_SIZE]; /* "A.B.C.D:PORT" */
};

/* A service-level objective: a share of the jobs of a class reach something within a time. */
struct amb_objective {
    char kind[24], class_name[AMB_NAME_SIZE];
    double within_s, share;
};

/* Limits of the key-value store; 0: not announced. */
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
    double heartbeat_s;                /* between an agent's heartbeats */
    double agent_lease_s;              /* an agent stops its tasks when it was not answered for so long */
    double gang_wait_s;                /* a gang's tasks wait so long for all of them to be ready */
    double gang_peer_s;                /* and go on so long without one of them */
    double cancel_s;                   /* after its cancellation a job has no tasks */
    double store_rps, store_write_rps; /* calls a second that this node may make */
    double value_kb, txn_ops;          /* of a value, and of a transaction's changes, at most */
    struct amb_store_limits announced_limits; /* use amb_settings_lowered_limits */
    double cloud_rps;                         /* calls a second */
    double list_lag_s;                        /* the cloud's list of machines is so late at most */
    double cores, memory_mb, fd_limit;        /* this process's quota */
    double clock_skew_ms;                     /* between two machines' times of day, at most */
};

/* NULL: there is no such team. */
struct amb_team *amb_settings_find_team(struct amb_settings *settings, const char *name);
/* Seconds that the leader's scheduling cycles are shares of: the heartbeat period, unless work is to start so
 * soon that waiting for cycles of that length would use up much of its time. */
double amb_settings_cycle_s(const struct amb_settings *settings);
/* Seconds that leases of the key-value store are shares of: an agent's lease, or half of what a cancellation
 * allows beyond it where that is less. */
double amb_settings_lease_base_s(const struct amb_settings *settings);
/* The limits that the key-value store may have from some moment on, without notice (`state.next`). Without an
 * announcement, the present ones; never more than these. */
struct amb_store_limits amb_settings_lowered_limits(const struct amb_settings *settings);

/* Reads the file at this path. On a problem the settings are not to be used, and error->text has one line
 * that names file and field. */
enum amb_config_problem amb_settings_load(const char *path, struct amb_settings *settings,
                                          struct amb_config_error *error);

#endif
