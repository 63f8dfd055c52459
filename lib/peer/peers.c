/* Exchange of messages between controllers: heartbeats to all peers, and requests from peers. */
#include "amberpin/base/log.h"
#include "amberpin/duty/duty_status.h"
#include "amberpin/job/cancellation_notice.h"
#include "amberpin/node/memory_budget.h"
#include "amberpin/node/node.h"
#include "heartbeat_received.h"
#include "received_cache.h"
#include "reply_cache.h"

#include <stdlib.h>
#include <string.h>

/* Connections that the server for peers and operators accepts. */
enum { CONNECTIONS_PER_PEER = 4, OTHER_CONNECTIONS = 8 };

/* ---- heartbeats to peers ---- */

static void handle_reply(void *arg, int status, const char *body, size_t len) {
    struct amb_peer *peer = arg;
    struct amb_peer_message *reply;
    peer->heartbeat_in_flight = false;
    if (status != 200) return;
    if (amb_peer_parse_reply(peer, body, len, &reply).fault) return;
    amb_peer_apply_message(peer->node, peer, reply, peer->heartbeat_sent_at);
    amb_peer_message_release(reply);
}

static void send_heartbeat(struct amb_node *node, struct amb_peer *peer, const char *text, amb_ms now) {
    peer->heartbeat_in_flight = true;
    peer->heartbeat_sent_at = now;
    amb_http_call(peer->addr, "POST", "/peer/heartbeat", "application/json", text, strlen(text),
                  (amb_ms)(node->settings.heartbeat_s * 1000), handle_reply, peer);
}

/* Sends heartbeats to all peers, twice in each heartbeat period of the agents. Skips a peer that has not
 * replied to the last one. */
static void send_heartbeats(void *arg) {
    struct amb_node *node = arg;
    amb_ms now = amb_now();
    amb_timer_set_after(&node->peers.heartbeat_timer, (amb_ms)(node->settings.heartbeat_s * 500),
                        send_heartbeats, node);
    char *text = amb_peer_encode_heartbeat(node);
    bool sent_to_all = true;
    amb_debug("heartbeat: sending %zu bytes to the peers", strlen(text));
    for (uint32_t i = 0; i < node->peers.count; i++) {
        struct amb_peer *peer = &node->peers.list[i];
        if (peer->heartbeat_in_flight)
            sent_to_all = false;
        else
            send_heartbeat(node, peer, text, now);
    }
    if (sent_to_all) amb_peer_mark_heartbeat_sent(node);
    free(text);
}

/* ---- requests from peers ---- */

static bool is_post(const struct amb_http_req *request) {
    return !strcmp(request->method, "POST");
}

static void refuse(struct amb_http_req *request) {
    amb_http_reply(request, 400, NULL, NULL, 0, 0);
}

static bool receive_cancellation(struct amb_node *node, const struct amb_http_req *request) {
    struct amb_peer_message *notice;
    struct amb_peer_cancellation cancellation;
    if (!is_post(request)) return false;
    size_t max_bytes = amb_memory_max_peer_values_bytes(&node->settings);
    if (amb_peer_message_parse(request->body, request->body_len, max_bytes, &notice).fault) return false;
    bool is_valid = !amb_peer_message_notice(notice, &cancellation).fault;
    if (is_valid) amb_cancellation_notice_receive(node, &cancellation);
    amb_peer_message_release(notice);
    return is_valid;
}

static void handle_cancellation(struct amb_node *node, struct amb_http_req *request) {
    if (receive_cancellation(node, request))
        amb_http_reply(request, 200, NULL, NULL, 0, 0);
    else
        refuse(request);
}

static void reply_to_heartbeat(struct amb_node *node, struct amb_http_req *request,
                               const struct amb_peer_message *heartbeat) {
    char *owned_text;
    uint64_t known_revision = amb_peer_message_header(heartbeat).known_revision;
    const char *text = amb_peer_get_reply_text(node, known_revision, &owned_text);
    amb_http_reply(request, 200, "application/json", text, strlen(text), 0);
    free(owned_text);
}

static void handle_heartbeat(struct amb_node *node, struct amb_http_req *request) {
    struct amb_peer_message *heartbeat;
    const char *sender;
    if (!is_post(request) ||
        amb_peer_parse_heartbeat(node, request->body, request->body_len, &heartbeat).fault) {
        refuse(request);
        return;
    }
    amb_peer_message_sender(heartbeat, &sender);
    amb_peer_apply_heartbeat(node, amb_peer_find(node, sender), heartbeat);
    reply_to_heartbeat(node, request, heartbeat);
    amb_peer_message_release(heartbeat);
}

static void handle_request(void *arg, struct amb_http_req *request) {
    struct amb_node *node = arg;
    if (!strcmp(request->path, "/peer/heartbeat"))
        handle_heartbeat(node, request);
    else if (!strcmp(request->path, "/peer/cancellation"))
        handle_cancellation(node, request);
    else if (!amb_duties_handle_request(node, request))
        amb_http_reply(request, 404, NULL, NULL, 0, 0);
}

void amb_peer_clear_cached_messages(struct amb_node *node) {
    amb_peer_clear_received_messages(node);
    amb_peer_clear_cached_replies(node);
    amb_image_locations_clear(node);
}

void amb_peer_start(struct amb_node *node) {
    node->peers.count = node->settings.peer_count;
    for (uint32_t i = 0; i < node->peers.count; i++) {
        struct amb_peer *peer = &node->peers.list[i];
        strcpy(peer->member, node->settings.peers[i].member);
        strcpy(peer->addr, node->settings.peers[i].addr);
        peer->node = node;
    }
    node->peer_server = amb_server_open(
        node->settings.peer_listen, CONNECTIONS_PER_PEER * (int)node->peers.count + OTHER_CONNECTIONS,
        AMB_HEARTBEAT_MAX_BYTES, (amb_ms)(node->settings.agent_lease_s * 1000), handle_request, node);
    if (!node->peer_server) {
        amb_error("cluster_listen %s: cannot open the listening socket", node->settings.peer_listen);
        return;
    }
    amb_server_set_max_input_bytes(node->peer_server,
                                   amb_memory_max_peer_input_bytes(&node->settings, AMB_HEARTBEAT_MAX_BYTES));
    send_heartbeats(node);
}
