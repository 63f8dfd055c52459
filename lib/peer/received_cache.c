#include "received_cache.h"

#include "amberpin/node/memory_budget.h"
#include "amberpin/node/node.h"

#include <stdlib.h>
#include <string.h>

static bool is_repeated(const struct amb_peer_cached_message *cached, const char *text, size_t len) {
    return cached->message && cached->len == len && !memcmp(cached->text, text, len);
}

/* Messages above a size limit are not cached. Those of controllers that do not lead are mostly short; a
 * leader's heartbeat names different machines each time, so caching it would not help. */
static void cache_message(const struct amb_node *node, struct amb_peer_cached_message *cached,
                          const char *text, size_t len, struct amb_peer_message *message) {
    if (len > amb_memory_max_peer_message_bytes(&node->settings)) return;
    amb_peer_message_release(cached->message);
    cached->message = amb_peer_message_retain(message);
    cached->text = amb_realloc(cached->text, len);
    memcpy(cached->text, text, len);
    cached->len = len;
}

static void clear_cached_message(struct amb_peer_cached_message *cached) {
    amb_peer_message_release(cached->message);
    free(cached->text);
    memset(cached, 0, sizeof *cached);
}

struct amb_peer *amb_peer_find(struct amb_node *node, const char *member) {
    for (uint32_t i = 0; i < node->peers.count; i++)
        if (!strcmp(node->peers.list[i].member, member)) return &node->peers.list[i];
    return NULL;
}

static const struct amb_peer_message_error NO_ERROR = {.fault = AMB_PEER_MESSAGE_OK};

struct amb_peer_message_error amb_peer_parse_reply(struct amb_peer *peer, const char *text, size_t len,
                                                   struct amb_peer_message **reply) {
    if (is_repeated(&peer->last_reply, text, len)) {
        *reply = amb_peer_message_retain(peer->last_reply.message);
        return NO_ERROR;
    }
    struct amb_peer_message_error error =
        amb_peer_message_parse(text, len, amb_memory_max_peer_values_bytes(&peer->node->settings), reply);
    if (!error.fault) cache_message(peer->node, &peer->last_reply, text, len, *reply);
    return error;
}

static struct amb_peer *find_repeated_heartbeat(struct amb_node *node, const char *text, size_t len) {
    for (uint32_t i = 0; i < node->peers.count; i++)
        if (is_repeated(&node->peers.list[i].last_heartbeat, text, len)) return &node->peers.list[i];
    return NULL;
}

static struct amb_peer_message_error cache_heartbeat(struct amb_node *node, const char *text, size_t len,
                                                     struct amb_peer_message *heartbeat) {
    const char *sender;
    struct amb_peer_message_error error = amb_peer_message_sender(heartbeat, &sender);
    struct amb_peer *peer = error.fault ? NULL : amb_peer_find(node, sender);
    if (peer) cache_message(node, &peer->last_heartbeat, text, len, heartbeat);
    return error;
}

struct amb_peer_message_error amb_peer_parse_heartbeat(struct amb_node *node, const char *text, size_t len,
                                                       struct amb_peer_message **heartbeat) {
    struct amb_peer *peer = find_repeated_heartbeat(node, text, len);
    if (peer) {
        *heartbeat = amb_peer_message_retain(peer->last_heartbeat.message);
        return NO_ERROR;
    }
    struct amb_peer_message_error error =
        amb_peer_message_parse(text, len, amb_memory_max_peer_values_bytes(&node->settings), heartbeat);
    if (!error.fault) error = cache_heartbeat(node, text, len, *heartbeat);
    if (error.fault) {
        amb_peer_message_release(*heartbeat);
        *heartbeat = NULL;
    }
    return error;
}

void amb_peer_clear_received_messages(struct amb_node *node) {
    for (uint32_t i = 0; i < AMB_PEERS_MAX; i++) {
        clear_cached_message(&node->peers.list[i].last_heartbeat);
        clear_cached_message(&node->peers.list[i].last_reply);
    }
}
