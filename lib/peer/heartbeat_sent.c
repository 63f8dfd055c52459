/* What a node says to the others: heartbeats, and the answers to theirs. */
#include "amberpin/peer/messages.h"

#include "amberpin/node/node.h"

#include <jansson.h>
#include <stdlib.h>

/* Bytes of a heartbeat that the images may take, and the progress of jobs. The rest is for cancellations.
 * (With all images changed, as when 4,000 machines come up together, a heartbeat outgrew what the others
 * accept, and they heard nothing of their leader.) */
enum {
    IMAGE_LOCATIONS_MAX_BYTES = AMB_HEARTBEAT_MAX_BYTES / 4,
    PROGRESS_MAX_BYTES = AMB_HEARTBEAT_MAX_BYTES / 4,
    PROGRESS_ROW_MAX_BYTES = AMB_NAME_SIZE + 24, /* of one job, at most */
    PROGRESS_MAX_ROWS = PROGRESS_MAX_BYTES / PROGRESS_ROW_MAX_BYTES,
    CANCELLATION_ROW_MAX_BYTES = AMB_NAME_SIZE + 48, /* of one, at most */
    CANCELLATIONS_MAX_ROWS = AMB_HEARTBEAT_MAX_BYTES / 4 / CANCELLATION_ROW_MAX_BYTES,
};

static bool is_own_store_reachable(const struct amb_node *node, amb_ms now) {
    return node->store.last_success_at > node->store.last_failure_at ||
           now - node->store.last_failure_at > (amb_ms)(node->settings.heartbeat_s * 3000);
}

static amb_ms agent_heartbeat_timeout(const struct amb_node *node) {
    return (amb_ms)(node->settings.heartbeat_s * 3000);
}

static void append_cancellation(json_t *list, const struct amb_job *job) {
    if (job->state != AMB_JOB_CANCELLED) return;
    json_array_append_new(list, json_pack("[s,I,I]", job->ref, (json_int_t)job->cancelled_wall_ms,
                                          (json_int_t)job->cancel_revision));
}

static int64_t recent_cancellation_span(const struct amb_node *node) {
    return (int64_t)(node->settings.cancel_s * 2000);
}

/* Cancellations that are newer than `epoch`, up to which the asker knows all. */
static json_t *encode_cancellations_after(const struct amb_node *node, uint64_t store_revision) {
    const struct amb_cancellation_list *by_stamp = &node->jobs.cancellations.by_revision;
    json_t *list = json_array();
    for (size_t i = amb_cancellations_find_after(by_stamp, (int64_t)store_revision); i < by_stamp->count; i++)
        append_cancellation(list, by_stamp->entries[i].job);
    return list;
}

/* For nodes that did not ask, so that they hear of it sooner than by news: the recent ones, without those up
 * to the epoch that they all know; of more than `most` the latest. */
static json_t *encode_recent_cancellations(const struct amb_node *node, uint64_t known_revision,
                                           size_t max_rows) {
    const struct amb_cancellation_list *by_wall = &node->jobs.cancellations.by_wall_ms;
    json_t *list = json_array();
    size_t first = amb_cancellations_find_after(by_wall, amb_wall_ms() - recent_cancellation_span(node));
    if (by_wall->count - first > max_rows) first = by_wall->count - max_rows;
    for (size_t i = first; i < by_wall->count; i++)
        if (by_wall->entries[i].job->cancel_revision > known_revision)
            append_cancellation(list, by_wall->entries[i].job);
    return list;
}

/* All changes up to here are known to every other node, by its own word; 0: one has not said. */
static uint64_t revision_known_to_all_peers(const struct amb_node *node) {
    uint64_t least = node->peers.count ? UINT64_MAX : 0;
    for (uint32_t i = 0; i < node->peers.count; i++)
        if (node->peers.list[i].store_revision < least) least = node->peers.list[i].store_revision;
    return least;
}

static struct amb_peer_status own_status(const struct amb_node *node) {
    amb_ms now = amb_now();
    return (struct amb_peer_status){
        .term = amb_election_is_leader(node) ? node->election.term : node->election.highest_term,
        .limits_lowered = node->store.limits_lowered,
        .has_read_store = node->jobs.loaded,
        .is_leader = amb_election_is_leader(node),
        .store_reachable = is_own_store_reachable(node, now),
        .receives_agent_heartbeats = now - node->fleet.last_heartbeat_at < agent_heartbeat_timeout(node),
    };
}

/* "loaded": this node has read the state service since it began, so it knows of every cancellation that an
 * earlier self of it can have told a user of. */
static json_t *encode_status(struct amb_node *node) {
    struct amb_peer_status status = own_status(node);
    json_t *message =
        json_pack("{s:s, s:b, s:I, s:b, s:b, s:b}", "from", node->settings.member, "loaded",
                  status.has_read_store, "term", (json_int_t)status.term, "leading", status.is_leader,
                  "store", status.store_reachable, "reports_arrive", status.receives_agent_heartbeats);
    /* The first format had no name. */
    if (amb_format_supported(node) > AMB_FORMAT_1)
        json_object_set_new(message, "format", json_integer(amb_format_supported(node)));
    if (status.limits_lowered) json_object_set_new(message, "limits_lowered", json_true());
    if (amb_duties_is_enabled(node))
        json_object_set_new(message, "duties", json_integer(AMB_DUTY_RECORD_VERSION));
    return message;
}

/* What finds no room goes into the next heartbeat, where it comes first: what was told is not changed any
 * more. */
static json_t *encode_progress(struct amb_node *node) {
    json_t *list = json_array();
    for (struct amb_job *job = node->jobs.active; job; job = job->next_active) {
        if (!job->progress_changed || job->state != AMB_JOB_QUEUED) continue;
        if (json_array_size(list) == PROGRESS_MAX_ROWS) break;
        json_array_append_new(list, json_pack("[s,I,I]", job->ref, (json_int_t)job->done_count,
                                              (json_int_t)job->running_count));
        job->progress_sent_in = node->peers.image_locations.heartbeat_number;
    }
    return list;
}

json_t *amb_peer_encode_reply(struct amb_node *node, const json_t *heartbeat) {
    json_t *message = encode_status(node);
    /* A leader that has lost the state service, but not its peers, must keep what users were told. The time
     * of a cancellation is no measure for that: a transaction may be carried out minutes after it was sent,
     * and its user be told only then. */
    json_int_t store_revision = json_integer_value(json_object_get(heartbeat, "epoch"));
    json_object_set_new(message, "cancelled",
                        store_revision > 0 ? encode_cancellations_after(node, (uint64_t)store_revision)
                                           : encode_recent_cancellations(node, 0, SIZE_MAX));
    return message;
}

/* ---- messages of ours, made once as long as they would say the same ---- */

static char *encode_text(json_t *message) {
    char *text = json_dumps(message, JSON_COMPACT);
    json_decref(message);
    return text;
}

static bool is_same_status(const struct amb_peer_status *status, const struct amb_peer_status *other) {
    return status->term == other->term && status->has_read_store == other->has_read_store &&
           status->is_leader == other->is_leader && status->store_reachable == other->store_reachable &&
           status->receives_agent_heartbeats == other->receives_agent_heartbeats &&
           status->limits_lowered == other->limits_lowered;
}

static bool is_still_valid(const struct amb_node *node, const struct amb_peer_sent_message *cached) {
    struct amb_peer_status status = own_status(node);
    int64_t now_wall_ms = amb_wall_ms();
    return cached->text && cached->cancellation_changes == node->jobs.cancellations.change_count &&
           now_wall_ms >= cached->encoded_wall_ms && now_wall_ms < cached->expires_wall_ms &&
           is_same_status(&cached->status, &status);
}

/* When the first of the cancellations that are recent now will not be so any more. */
static int64_t recent_cancellations_expiry(const struct amb_node *node) {
    const struct amb_cancellation_list *by_wall = &node->jobs.cancellations.by_wall_ms;
    size_t first = amb_cancellations_find_after(by_wall, amb_wall_ms() - recent_cancellation_span(node));
    return first < by_wall->count ? by_wall->entries[first].key + recent_cancellation_span(node) : INT64_MAX;
}

static void cache_message(struct amb_node *node, struct amb_peer_sent_message *cached, char *text,
                          int64_t expires_wall_ms) {
    free(cached->text);
    cached->text = text;
    cached->status = own_status(node);
    cached->cancellation_changes = node->jobs.cancellations.change_count;
    cached->encoded_wall_ms = amb_wall_ms();
    cached->expires_wall_ms = expires_wall_ms;
}

/* What a node says that leads nobody and is asked nothing in particular. */
static const char *get_recent_cancellations_text(struct amb_node *node) {
    struct amb_peer_sent_message *cached = &node->peers.with_recent_cancellations;
    if (!is_still_valid(node, cached))
        cache_message(node, cached, encode_text(amb_peer_encode_reply(node, NULL)),
                      recent_cancellations_expiry(node));
    return cached->text;
}

static const char *get_no_cancellations_text(struct amb_node *node, const json_t *heartbeat) {
    struct amb_peer_sent_message *cached = &node->peers.without_cancellations;
    if (!is_still_valid(node, cached))
        cache_message(node, cached, encode_text(amb_peer_encode_reply(node, heartbeat)), INT64_MAX);
    return cached->text;
}

static uint64_t newest_cancellation_revision(const struct amb_node *node) {
    const struct amb_cancellation_list *by_stamp = &node->jobs.cancellations.by_revision;
    return by_stamp->count ? (uint64_t)by_stamp->entries[by_stamp->count - 1].key : 0;
}

const char *amb_peer_get_reply_text(struct amb_node *node, const json_t *heartbeat, char **owned_text) {
    json_int_t store_revision = json_integer_value(json_object_get(heartbeat, "epoch"));
    *owned_text = NULL;
    if (store_revision <= 0) return get_recent_cancellations_text(node);
    if (newest_cancellation_revision(node) <= (uint64_t)store_revision)
        return get_no_cancellations_text(node, heartbeat);
    *owned_text = encode_text(amb_peer_encode_reply(node, heartbeat));
    return *owned_text;
}

char *amb_peer_encode_heartbeat(struct amb_node *node) {
    json_t *message = encode_status(node);
    json_object_set_new(
        message, "cancelled",
        encode_recent_cancellations(node, revision_known_to_all_peers(node), CANCELLATIONS_MAX_ROWS));
    json_object_set_new(message, "epoch", json_integer((json_int_t)node->jobs.known_revision));
    if (amb_election_is_leader(node)) {
        json_object_set_new(message, "token_grant", json_real(amb_store_lend_tokens(&node->store)));
        json_object_set_new(message, "images", amb_image_locations_encode(node, IMAGE_LOCATIONS_MAX_BYTES));
        json_object_set_new(message, "jobs", encode_progress(node));
    }
    return encode_text(message);
}

void amb_peer_mark_heartbeat_sent(struct amb_node *node) {
    if (!amb_election_is_leader(node)) return;
    for (struct amb_job *job = node->jobs.active; job; job = job->next_active)
        if (job->progress_sent_in == node->peers.image_locations.heartbeat_number)
            job->progress_changed = false;
    amb_image_locations_mark_sent(node);
}

static void clear_cached_message(struct amb_peer_sent_message *cached) {
    free(cached->text);
    cached->text = NULL;
}

void amb_peer_clear_sent_messages(struct amb_node *node) {
    clear_cached_message(&node->peers.with_recent_cancellations);
    clear_cached_message(&node->peers.without_cancellations);
}
