#include "own_status.h"

#include "amberpin/node/node.h"

/* Returns how long, in ms, the last agent's heartbeat or a failed request to the store counts as evidence. */
static amb_ms evidence_timeout(const struct amb_node *node) {
    return (amb_ms)(node->settings.heartbeat_s * 3000);
}

static bool is_own_store_reachable(const struct amb_node *node, amb_ms now) {
    return node->store.last_success_at > node->store.last_failure_at ||
           now - node->store.last_failure_at > evidence_timeout(node);
}

/* The first version of the software sends no format number. */
static int64_t format_to_send(const struct amb_node *node) {
    enum amb_format format = amb_format_supported(node);
    return format > AMB_FORMAT_1 ? format : 0;
}

/* `has_read_store`: this process has read the whole key-value store, so it knows every cancellation that it
 * can have confirmed to a user before a restart. */
struct amb_peer_status amb_peer_own_status(const struct amb_node *node) {
    amb_ms now = amb_now();
    bool is_leader = amb_election_is_leader(node);
    return (struct amb_peer_status){
        .term = is_leader ? node->election.term : node->election.highest_term,
        .is_leader = is_leader,
        .has_read_store = node->watch.loaded,
        .store_reachable = is_own_store_reachable(node, now),
        .receives_agent_heartbeats = now - node->fleet.last_heartbeat_at < evidence_timeout(node),
        .limits_lowered = node->store.limits_lowered,
        .format = format_to_send(node),
        .duties_record_version = amb_duties_is_enabled(node) ? AMB_DUTY_RECORD_VERSION : 0,
    };
}

bool amb_peer_status_is_same(const struct amb_peer_status *status, const struct amb_peer_status *other) {
    return status->term == other->term && status->is_leader == other->is_leader &&
           status->has_read_store == other->has_read_store &&
           status->store_reachable == other->store_reachable &&
           status->receives_agent_heartbeats == other->receives_agent_heartbeats &&
           status->limits_lowered == other->limits_lowered && status->format == other->format &&
           status->duties_record_version == other->duties_record_version;
}
