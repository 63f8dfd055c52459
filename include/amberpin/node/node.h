/* One controller node: every module's state, each touched by its own module only (others read). */
#ifndef AMBERPIN_NODE_H
#define AMBERPIN_NODE_H

#include "amberpin/agent/agent_api.h"
#include "amberpin/agent/heartbeats.h"
#include "amberpin/agent/liveness.h"
#include "amberpin/cloud/cloud.h"
#include "amberpin/config/options.h"
#include "amberpin/config/settings.h"
#include "amberpin/duty/node_duties.h"
#include "amberpin/election/election.h"
#include "amberpin/election/format_version.h"
#include "amberpin/election/lease_proxy.h"
#include "amberpin/fleet/deferred_responses.h"
#include "amberpin/http/http.h"
#include "amberpin/job/jobs.h"
#include "amberpin/job/pipelines.h"
#include "amberpin/job/tasks.h"
#include "amberpin/kvstore/client.h"
#include "amberpin/node/events.h"
#include "amberpin/peer/peers.h"
#include "amberpin/placement_log/placement_log.h"
#include "amberpin/watch/watch.h"
#include "amberpin/zone_recovery/zone_recovery.h"

/* ---- controller: wires them; the leader's round ---- */

enum { AMB_DEMAND_IMAGES_MAX = 6 };

struct amb_demand { /* what a class of jobs has asked for lately */
    char class_name[AMB_NAME_SIZE];
    struct amb_job_spec last_spec;
    double tasks_per_s;       /* tasks a second, decayed */
    double mean_square_tasks; /* mean square of a job's tasks */
    uint32_t image_count;
    char images[AMB_DEMAND_IMAGES_MAX][AMB_NAME_SIZE]; /* those asked for, latest first */
    amb_ms updated_at;
};

enum { AMB_DEMANDS_MAX = 32 };

struct amb_controller {
    bool restoring, ready, restore_synced, restore_in_flight;
    amb_ms restore_sent_at, cycle_at;
    amb_ms leader_since, restored_at;
    char restore_cursor[256];
    uint64_t restore_term;
    bool cycle_requested;
    uint32_t team_cursor;   /* whose turn comes first */
    double tick_interval_s; /* what the leader's turns are measured in (amb_settings_cycle_s) */
    struct amb_timer timer, cycle_timer;
    amb_ms ticked_at; /* this node's last turn, leader or not */
    uint32_t demand_count;
    struct amb_demand demands[AMB_DEMANDS_MAX];
    amb_ms plan_at;
    struct amb_resources peak_usage; /* what jobs took and waited for lately, fading */
    amb_ms peak_at;
};

/* The events of the node's modules come to the controller: once, before anything else is done with it. */
void amb_controller_attach(struct amb_node *node);
void amb_controller_start_leading(struct amb_node *node);
void amb_controller_stop_leading(struct amb_node *node, const char *cause);

struct amb_node {
    struct amb_settings settings;
    struct amb_options options;
    struct amb_catalog catalog;
    struct amb_store store;
    struct amb_election election;
    struct amb_timer election_timer;
    struct amb_lease_proxy lease_proxy;
    struct amb_watch watch;
    struct amb_jobs jobs;
    struct amb_pipelines pipelines;
    struct amb_fleet fleet;
    struct amb_cloud cloud;
    struct amb_peers peers;
    struct amb_format_negotiation formats;
    struct amb_duties duties;
    struct amb_zone_recovery zone_recovery;
    struct amb_controller controller;
    struct amb_http_server *public_server, *peer_server;
    amb_event_handler on_event;
};

int amb_node_start(struct amb_node *node, char *err, size_t err_size);

#endif
