/* Starts controllers of the version of the library that this file is compiled with: the present version, or
 * the production version if AMB_PRODUCTION_VERSION is defined (tests/standin/CMakeLists.txt). */
#ifdef AMB_PRODUCTION_VERSION
#include "amberpin/log.h"
#include "amberpin/node.h"
#include "production_names.h"
#else
#include "amberpin/base/log.h"
#include "amberpin/node/memory_budget.h"
#include "amberpin/node/node.h"
#endif

/* Included after production_names.h, whose macros apply to this header too. */
#include "node_version.h"

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#ifdef AMB_PRODUCTION_VERSION
#define SIM_VERSION sim_production_version
#else
#define SIM_VERSION sim_present_version
#endif

static void set_names(struct amb_settings *settings, const struct sim_node_settings *from) {
    snprintf(settings->member, sizeof settings->member, "n%d", from->index);
    snprintf(settings->zone, sizeof settings->zone, "%s", from->zone_names[from->zones[from->index]]);
    snprintf(settings->api_listen, sizeof settings->api_listen, "F%d:1", from->index);
    snprintf(settings->peer_listen, sizeof settings->peer_listen, "P%d:1", from->index);
    strcpy(settings->store_addr, "S:1");
    strcpy(settings->cloud_addr, "C:1");
    for (int k = 0; k < from->nodes; k++) {
        if (k == from->index) continue;
        snprintf(settings->peers[settings->peer_count].member, AMB_NAME_SIZE, "n%d", k);
        snprintf(settings->peers[settings->peer_count++].addr, AMB_NAME_SIZE, "P%d:1", k);
    }
    settings->zone_count = (uint32_t)from->zone_count;
    for (int i = 0; i < from->zone_count; i++) strcpy(settings->zones[i], from->zone_names[i]);
}

static void set_teams(struct amb_settings *settings, const struct sim_node_settings *from) {
    int guarantee = from->team_limit / 3;
    settings->team_count = (uint32_t)from->teams;
    for (uint32_t team = 0; team < settings->team_count; team++) {
        snprintf(settings->teams[team].name, AMB_NAME_SIZE, "team-%u", team);
        settings->teams[team].guarantee.gpus = guarantee;
        settings->teams[team].limit.gpus = from->team_limit;
    }
    if (from->no_guarantee_for_last_team) settings->teams[settings->team_count - 1].guarantee.gpus = 0;
}

static void set_limits(struct amb_settings *settings, const struct sim_node_settings *from) {
    settings->heartbeat_s = from->heartbeat_s;
    settings->agent_lease_s = from->agent_lease_s;
    settings->cancel_s = from->cancel_s;
    settings->gang_wait_s = from->gang_wait_s;
    settings->gang_peer_s = 5;
    settings->store_rps = from->store_rps;
    settings->store_write_rps = from->store_write_rps;
    settings->value_kb = from->value_kb;
    settings->txn_ops = from->txn_ops;
#ifndef AMB_PRODUCTION_VERSION /* the production version does not have this setting */
    settings->announced_limits = (struct amb_store_limits){.write_rps = from->announced_write_rps,
                                                           .value_kb = from->announced_value_kb,
                                                           .txn_ops = from->announced_txn_ops};
#endif
    settings->cloud_rps = from->cloud_rps;
    settings->list_lag_s = from->list_lag_s;
    settings->cores = 0.1;
    settings->memory_mb = from->memory_mb;
    settings->fd_limit = 500;
}

static void *start(const struct sim_node_settings *settings) {
    struct amb_node *node = amb_alloc(sizeof *node);
    char error[128];
    amb_log_init(getenv("LOG_LEVEL") ? getenv("LOG_LEVEL") : "error");
    amb_options_set_defaults(&node->options);
#ifndef AMB_PRODUCTION_VERSION
    node->options.duties = settings->duties;
    if (settings->keep_idle) node->options.idle_release_share = 100;
    node->options.zone_recovery = settings->zone_recovery;
    if (settings->recovery_order) strcpy(node->options.zone_recovery_order, settings->recovery_order);
#endif
    set_names(&node->settings, settings);
    set_teams(&node->settings, settings);
    set_limits(&node->settings, settings);
    if (amb_node_start(node, error, sizeof error) < 0) abort();
    return node;
}

static bool leads(const void *node) {
    return amb_election_is_leader(node);
}

#ifdef AMB_PRODUCTION_VERSION /* its job table is unbounded */
static size_t job_table_used(const void *node) {
    (void)node;
    return 0;
}

static size_t job_table_max(const void *node) {
    (void)node;
    return SIZE_MAX;
}

static bool job_table_has_room(const void *node) {
    (void)node;
    return true;
}
#else
static size_t job_table_used(const void *node) {
    return amb_memory_job_table_used_bytes(node);
}

static size_t job_table_max(const void *node) {
    return amb_memory_job_table_bytes(&((const struct amb_node *)node)->settings);
}

static bool job_table_has_room(const void *node) {
    static const struct amb_job_spec small = {.task_count = 1};
    static const struct amb_dependency_usage no_dependencies;
    return amb_memory_has_room_for_job(node, &small, &no_dependencies);
}
#endif

const struct sim_node_version *SIM_VERSION(void) {
    static const struct sim_node_version version = {start, leads, job_table_used, job_table_max,
                                                    job_table_has_room};
    return &version;
}
