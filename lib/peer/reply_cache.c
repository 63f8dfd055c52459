/* Most replies go to peers that know all cancellations, or that have not said what they know. These two
 * replies are encoded once and sent again until their content would change. */
#include "reply_cache.h"

#include "amberpin/node/node.h"
#include "cancellation_lists.h"
#include "own_status.h"

#include <stdlib.h>

static char *encode_reply_text(struct amb_node *node, uint64_t known_revision) {
    struct amb_peer_message *reply = amb_peer_encode_reply(node, known_revision);
    char *text = amb_peer_message_to_text(reply);
    amb_peer_message_release(reply);
    return text;
}

static bool is_still_valid(const struct amb_node *node, const struct amb_peer_cached_reply *cached) {
    struct amb_peer_status status = amb_peer_own_status(node);
    int64_t now_wall_ms = amb_wall_ms();
    return cached->text && cached->cancellation_changes == node->jobs.cancellations.change_count &&
           now_wall_ms >= cached->encoded_wall_ms && now_wall_ms < cached->expires_wall_ms &&
           amb_peer_status_is_same(&cached->status, &status);
}

static void refresh(struct amb_node *node, struct amb_peer_cached_reply *cached, uint64_t known_revision,
                    int64_t expires_wall_ms) {
    free(cached->text);
    cached->text = encode_reply_text(node, known_revision);
    cached->status = amb_peer_own_status(node);
    cached->cancellation_changes = node->jobs.cancellations.change_count;
    cached->encoded_wall_ms = amb_wall_ms();
    cached->expires_wall_ms = expires_wall_ms;
}

static const char *get_recent_cancellations_text(struct amb_node *node) {
    struct amb_peer_cached_reply *cached = &node->peers.reply_with_recent_cancellations;
    if (!is_still_valid(node, cached)) refresh(node, cached, 0, amb_peer_recent_cancellations_expiry(node));
    return cached->text;
}

static const char *get_no_cancellations_text(struct amb_node *node, uint64_t known_revision) {
    struct amb_peer_cached_reply *cached = &node->peers.reply_without_cancellations;
    if (!is_still_valid(node, cached)) refresh(node, cached, known_revision, INT64_MAX);
    return cached->text;
}

const char *amb_peer_get_reply_text(struct amb_node *node, uint64_t known_revision, char **owned_text) {
    *owned_text = NULL;
    if (!known_revision) return get_recent_cancellations_text(node);
    if (amb_peer_newest_cancellation_revision(node) <= known_revision)
        return get_no_cancellations_text(node, known_revision);
    *owned_text = encode_reply_text(node, known_revision);
    return *owned_text;
}

static void clear_cached_reply(struct amb_peer_cached_reply *cached) {
    free(cached->text);
    cached->text = NULL;
}

void amb_peer_clear_cached_replies(struct amb_node *node) {
    clear_cached_reply(&node->peers.reply_with_recent_cancellations);
    clear_cached_reply(&node->peers.reply_without_cancellations);
}
