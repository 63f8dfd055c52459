/* The exchange between the nodes: heartbeats to all others, and what they send to us. */
#include "amberpin/base/log.h"
#include "amberpin/job/cancellation_notice.h"
#include "amberpin/node/node.h"
#include "amberpin/peer/messages.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static void heartbeat_answered(void *arg, int status, const char *body, size_t len) {
    struct amb_peer *peer = arg;
    peer->busy = false;
    if (status != 200) return;
    json_t *message = amb_peer_read_answer(peer, body, len);
    if (message) amb_peer_heard(peer->node, peer, message, peer->sent_at);
    json_decref(message);
}

static void heartbeat(void *arg) {
    struct amb_node *node = arg;
    amb_ms now = amb_now();
    amb_timer_in(&node->peers.timer, (amb_ms)(node->settings.report_s * 500), heartbeat, node);
    char *text = amb_peer_say(node);
    size_t len = strlen(text);
    bool all = true;
    amb_debug("heartbeat: %zu bytes", len);
    for (uint32_t i = 0; i < node->peers.count; i++) {
        struct amb_peer *peer = &node->peers.list[i];
        if (peer->busy) {
            all = false;
            continue;
        }
        peer->busy = true;
        peer->sent_at = now;
        amb_http_call(peer->addr, "POST", "/peer/heartbeat", "application/json", text, len,
                      (amb_ms)(node->settings.report_s * 1000), heartbeat_answered, peer);
    }
    if (all) amb_peer_said(node);
    free(text);
}

static void receive_cancel_notice(struct amb_node *node, struct amb_http_req *request) {
    json_t *notice =
        strcmp(request->method, "POST") ? NULL : json_loadb(request->body, request->body_len, 0, NULL);
    bool understood = amb_cancellation_notice_receive(node, notice);
    json_decref(notice);
    amb_http_reply(request, understood ? 200 : 400, NULL, NULL, 0, 0);
}

static void answer_heartbeat(struct amb_node *node, struct amb_http_req *request, const json_t *question) {
    char *made;
    const char *text = amb_peer_answer_text(node, question, &made);
    amb_http_reply(request, 200, "application/json", text, strlen(text), 0);
    free(made);
}

static void receive_heartbeat(struct amb_node *node, struct amb_http_req *request) {
    json_t *heartbeat = strcmp(request->method, "POST")
                            ? NULL
                            : amb_peer_read_heartbeat(node, request->body, request->body_len);
    const char *from = json_string_value(json_object_get(heartbeat, "from"));
    if (!from) {
        json_decref(heartbeat);
        amb_http_reply(request, 400, NULL, NULL, 0, 0);
        return;
    }
    amb_peer_learn(node, amb_peer_find(node, from), heartbeat);
    answer_heartbeat(node, request, heartbeat);
    json_decref(heartbeat);
}

static void request(void *arg, struct amb_http_req *request) {
    struct amb_node *node = arg;
    if (!strcmp(request->path, "/peer/heartbeat"))
        receive_heartbeat(node, request);
    else if (!strcmp(request->path, "/peer/cancellation"))
        receive_cancel_notice(node, request);
    else if (!amb_duties_request(node, request))
        amb_http_reply(request, 404, NULL, NULL, 0, 0);
}

void amb_peer_forget(struct amb_node *node) {
    amb_peer_forget_read(node);
    amb_peer_forget_said(node);
    amb_peer_images_forget(node);
}

void amb_peer_init(struct amb_node *node) {
    node->peers.count = node->settings.npeers;
    for (uint32_t i = 0; i < node->peers.count; i++) {
        struct amb_peer *peer = &node->peers.list[i];
        strcpy(peer->member, node->settings.peers[i].member);
        strcpy(peer->addr, node->settings.peers[i].addr);
        peer->node = node;
    }
    node->peer_server =
        amb_server_open(node->settings.peer_listen, 4 * (int)node->peers.count + 8, AMB_HEARTBEAT_MAX,
                        (amb_ms)(node->settings.lease_s * 1000), request, node);
    if (!node->peer_server) {
        amb_error("cluster_listen %s can't be opened", node->settings.peer_listen);
        return;
    }
    heartbeat(node);
}
