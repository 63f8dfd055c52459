/* The exchange between the nodes: heartbeats to all others, and what they send to us. */
#include "amberpin/base/log.h"
#include "amberpin/duty/duty_status.h"
#include "amberpin/job/cancellation_notice.h"
#include "amberpin/node/node.h"
#include "amberpin/peer/messages.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static void handle_reply(void *arg, int status, const char *body, size_t len) {
    struct amb_peer *peer = arg;
    peer->heartbeat_in_flight = false;
    if (status != 200) return;
    json_t *message = amb_peer_parse_reply(peer, body, len);
    if (message) amb_peer_apply_message(peer->node, peer, message, peer->heartbeat_sent_at);
    json_decref(message);
}

static void send_heartbeats(void *arg) {
    struct amb_node *node = arg;
    amb_ms now = amb_now();
    amb_timer_in(&node->peers.heartbeat_timer, (amb_ms)(node->settings.heartbeat_s * 500), send_heartbeats,
                 node);
    char *text = amb_peer_encode_heartbeat(node);
    size_t len = strlen(text);
    bool sent_to_all = true;
    amb_debug("heartbeat: %zu bytes", len);
    for (uint32_t i = 0; i < node->peers.count; i++) {
        struct amb_peer *peer = &node->peers.list[i];
        if (peer->heartbeat_in_flight) {
            sent_to_all = false;
            continue;
        }
        peer->heartbeat_in_flight = true;
        peer->heartbeat_sent_at = now;
        amb_http_call(peer->addr, "POST", "/peer/heartbeat", "application/json", text, len,
                      (amb_ms)(node->settings.heartbeat_s * 1000), handle_reply, peer);
    }
    if (sent_to_all) amb_peer_mark_heartbeat_sent(node);
    free(text);
}

static void receive_cancel_notice(struct amb_node *node, struct amb_http_req *request) {
    json_t *notice =
        strcmp(request->method, "POST") ? NULL : json_loadb(request->body, request->body_len, 0, NULL);
    bool understood = amb_cancellation_notice_receive(node, notice);
    json_decref(notice);
    amb_http_reply(request, understood ? 200 : 400, NULL, NULL, 0, 0);
}

static void reply_to_heartbeat(struct amb_node *node, struct amb_http_req *request, const json_t *heartbeat) {
    char *owned_text;
    const char *text = amb_peer_get_reply_text(node, heartbeat, &owned_text);
    amb_http_reply(request, 200, "application/json", text, strlen(text), 0);
    free(owned_text);
}

static void receive_heartbeat(struct amb_node *node, struct amb_http_req *request) {
    json_t *heartbeat = strcmp(request->method, "POST")
                            ? NULL
                            : amb_peer_parse_heartbeat(node, request->body, request->body_len);
    const char *from = json_string_value(json_object_get(heartbeat, "from"));
    if (!from) {
        json_decref(heartbeat);
        amb_http_reply(request, 400, NULL, NULL, 0, 0);
        return;
    }
    amb_peer_apply_heartbeat(node, amb_peer_find(node, from), heartbeat);
    reply_to_heartbeat(node, request, heartbeat);
    json_decref(heartbeat);
}

static void handle_request(void *arg, struct amb_http_req *request) {
    struct amb_node *node = arg;
    if (!strcmp(request->path, "/peer/heartbeat"))
        receive_heartbeat(node, request);
    else if (!strcmp(request->path, "/peer/cancellation"))
        receive_cancel_notice(node, request);
    else if (!amb_duties_handle_request(node, request))
        amb_http_reply(request, 404, NULL, NULL, 0, 0);
}

void amb_peer_clear_cached_messages(struct amb_node *node) {
    amb_peer_clear_received_messages(node);
    amb_peer_clear_sent_messages(node);
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
    node->peer_server =
        amb_server_open(node->settings.peer_listen, 4 * (int)node->peers.count + 8, AMB_HEARTBEAT_MAX_BYTES,
                        (amb_ms)(node->settings.agent_lease_s * 1000), handle_request, node);
    if (!node->peer_server) {
        amb_error("cluster_listen %s can't be opened", node->settings.peer_listen);
        return;
    }
    send_heartbeats(node);
}
