/* A controller: the state of every module. A module changes only its own state and may read that of
 * others. */
#ifndef AMBERPIN_NODE_H
#define AMBERPIN_NODE_H

#include "amberpin/agent/agent_api.h"
#include "amberpin/agent/heartbeats.h"
#include "amberpin/agent/liveness.h"
#include "amberpin/cloud/cloud.h"
#include "amberpin/config/options.h"
#include "amberpin/config/settings.h"
#include "amberpin/controller/controller.h"
#include "amberpin/duty/node_duties.h"
#include "amberpin/duty/scaling_path.h"
#include "amberpin/election/election.h"
#include "amberpin/election/format_version.h"
#include "amberpin/election/lease_proxy.h"
#include "amberpin/fleet/deferred_responses.h"
#include "amberpin/fleet/fleet.h"
#include "amberpin/fleet/machines.h"
#include "amberpin/http/http.h"
#include "amberpin/job/job_activation.h"
#include "amberpin/job/jobs.h"
#include "amberpin/job/pipelines.h"
#include "amberpin/job/tasks.h"
#include "amberpin/kvstore/client.h"
#include "amberpin/kvstore/token_budget.h"
#include "amberpin/node/events.h"
#include "amberpin/peer/peers.h"
#include "amberpin/placement_log/placement_log.h"
#include "amberpin/watch/watch.h"
#include "amberpin/zone_recovery/zone_recovery.h"

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
    struct amb_http_server *public_server; /* for users and agents */
    struct amb_http_server *peer_server;   /* for other controllers */
    amb_event_handler on_event;            /* see events.h */
};

/* Opens the servers and begins to read the state service. Returns 0, or -1 with the reason in err. */
int amb_node_start(struct amb_node *node, char *err, size_t err_size);

#endif
