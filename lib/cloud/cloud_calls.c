#include "amberpin/cloud/cloud_calls.h"

#include "amberpin/node/node.h"

/* Timeouts of calls, in heartbeat periods. */
static const double GET_TIMEOUT_HEARTBEATS = 3, POST_TIMEOUT_HEARTBEATS = 2;

struct amb_cloud_call *amb_cloud_call_new(struct amb_node *node) {
    struct amb_cloud_call *call = amb_alloc(sizeof *call);
    call->node = node;
    call->term = node->election.term;
    return call;
}

bool amb_cloud_call_is_current(const struct amb_cloud_call *call) {
    return amb_election_has_leader_role(call->node) && call->node->election.term == call->term;
}

struct amb_node *amb_cloud_call_take(struct amb_cloud_call *call) {
    struct amb_node *node = amb_cloud_call_is_current(call) ? call->node : NULL;
    free(call);
    return node;
}

static void send_call(struct amb_node *node, const char *method, const char *path, const struct amb_buf *body,
                      double timeout_heartbeats, amb_http_done done, void *arg) {
    amb_ms timeout = amb_seconds_to_ms(node->settings.heartbeat_s * timeout_heartbeats);
    const char *content_type = body->len ? "application/cbor" : NULL;
    amb_http_call(node->settings.cloud_addr, method, path, content_type, body->data, body->len, timeout, done,
                  arg);
}

void amb_cloud_get(struct amb_node *node, const char *path, amb_http_done done, void *arg) {
    const struct amb_buf no_body = {0};
    send_call(node, "GET", path, &no_body, GET_TIMEOUT_HEARTBEATS, done, arg);
}

void amb_cloud_post(struct amb_node *node, const char *path, struct amb_buf *body, amb_http_done done,
                    void *arg) {
    send_call(node, "POST", path, body, POST_TIMEOUT_HEARTBEATS, done, arg);
    amb_buf_free(body);
}

/* This node's share of the call budget while the leader scales out and in itself: the leader makes nearly all
 * calls, and the other controllers read the catalogue once. */
static double call_share_without_duties(const struct amb_node *node) {
    if (!node->settings.peer_count) return 1.0;
    return amb_election_is_leader(node) ? 0.8 : 0.2 / node->settings.peer_count;
}

/* This node's share of the call budget while duties are in use: the leader lists machines, and the holders of
 * the duties, on any node, request and release them. */
static double call_share_with_duties(const struct amb_node *node) {
    const struct amb_duty_service *service = &node->duties.service;
    double share = 0.1 / (node->settings.peer_count + 1);
    if (amb_election_is_leader(node)) share += 0.3;
    if (amb_duty_service_is_holder(service, AMB_DUTY_RENT)) share += AMB_CLOUD_RENT_SHARE;
    if (amb_duty_service_is_holder(service, AMB_DUTY_RETURN)) share += 0.1;
    if (amb_duty_service_is_holder(service, AMB_DUTY_RECLAIM)) share += 0.1;
    return share;
}

void amb_cloud_refill_budget(struct amb_node *node, amb_ms now) {
    struct amb_cloud *cloud = &node->cloud;
    double share = node->duties.mode == AMB_DUTY_MODE_DUTIES ? call_share_with_duties(node)
                                                             : call_share_without_duties(node);
    cloud->call_budget.burst_seconds = 2; /* the protocol permits bursts of two seconds' worth of calls */
    amb_token_bucket_set_rate(&cloud->call_budget, node->settings.cloud_rps * share);
    amb_token_bucket_refill(&cloud->call_budget, now);
}

bool amb_cloud_take_token(struct amb_node *node, amb_ms now) {
    struct amb_cloud *cloud = &node->cloud;
    amb_cloud_refill_budget(node, now);
    if (now < cloud->throttled_until || amb_token_bucket_delay(&cloud->call_budget, 1) > 0) return false;
    cloud->call_budget.tokens -= 1;
    return true;
}

void amb_cloud_handle_status(struct amb_node *node, int status) {
    if (status == 429)
        node->cloud.throttled_until = amb_now() + amb_seconds_to_ms(1.0 / node->settings.cloud_rps);
}
