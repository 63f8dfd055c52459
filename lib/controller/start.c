/* Start-up of a node: initializes its modules in order and opens the server that users and agents call. */
#include "internal.h"

#include "amberpin/api/user_api.h"
#include "amberpin/node/fleet_capacity.h"
#include "amberpin/node/memory_budget.h"

#include <stdio.h>
#include <string.h>

enum { REQUEST_BODY_MAX_BYTES = 64 * 1024 }; /* the protocol's limit for users and agents */

/* How long an idle connection stays open, in agent leases. */
static const double CONNECTION_LEASES = 6;
/* Heartbeat periods without a successful call after which the state service counts as failing. */
static const double STORE_FAILURE_HEARTBEAT_PERIODS = 3;

static bool is_store_failing(const struct amb_node *node, amb_ms now) {
    const struct amb_store *store = &node->store;
    amb_ms limit = amb_seconds_to_ms(node->settings.heartbeat_s * STORE_FAILURE_HEARTBEAT_PERIODS);
    return store->last_failure_at > store->last_success_at && now - store->last_success_at > limit;
}

/* If the state service refuses only this node, the node reports itself unhealthy, because the other nodes
 * serve users better. If the state service refuses all nodes, this one stays healthy, so that users get an
 * immediate answer. */
static bool is_healthy(struct amb_node *node) {
    amb_ms now = amb_now();
    if (!node->watch.loaded) return false;
    return !is_store_failing(node, now) || !amb_election_peer_reaches_store(node, now);
}

static int health_status(struct amb_node *node, const struct amb_http_req *request) {
    if (strcmp(request->path, "/healthz")) return AMB_HTTP_NOT_FOUND;
    if (strcmp(request->method, "GET")) return AMB_HTTP_METHOD_NOT_ALLOWED;
    return is_healthy(node) ? AMB_HTTP_OK : AMB_HTTP_SERVICE_UNAVAILABLE;
}

static void handle_request(void *context, struct amb_http_req *request) {
    struct amb_node *node = context;
    if (amb_agent_handle_request(node, request) || amb_api_handle_request(node, request)) return;
    amb_http_reply_cbor(request, health_status(node, request), NULL, 0);
}

static bool open_public_server(struct amb_node *node) {
    const struct amb_settings *settings = &node->settings;
    amb_ms idle_timeout = amb_seconds_to_ms(settings->agent_lease_s * CONNECTION_LEASES);
    node->public_server =
        amb_server_open(settings->api_listen, amb_capacity_max_incoming_connections(settings),
                        REQUEST_BODY_MAX_BYTES, idle_timeout, handle_request, node);
    if (!node->public_server) return false;
    amb_server_set_max_input_bytes(node->public_server, amb_memory_max_request_input_bytes(settings));
    return true;
}

int amb_node_start(struct amb_node *node, char *err, size_t err_size) {
    const struct amb_settings *settings = &node->settings;
    amb_controller_attach(node);
    node->controller.tick_interval_s = amb_settings_cycle_s(settings);
    amb_election_init(node);
    amb_store_init(&node->store, settings, amb_election_call_timeout(node));
    amb_cloud_init(node);
    amb_zone_recovery_init(node);
    for (uint32_t i = 0; i < settings->zone_count; i++)
        amb_catalog_find_or_add_zone(&node->catalog, settings->zones[i]);
    amb_http_client_set_max_connections(amb_capacity_max_outgoing_connections(settings));
    amb_http_client_set_max_response_bytes(amb_memory_max_response_bytes(settings));
    if (!open_public_server(node)) {
        snprintf(err, err_size, "front %s: cannot open the listening socket", settings->api_listen);
        return -1;
    }
    amb_peer_start(node);
    amb_watch_start(node);
    amb_controller_tick(node);
    return 0;
}
