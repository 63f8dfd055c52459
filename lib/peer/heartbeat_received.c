/* Application of peers' messages to this controller's state. */
#include "heartbeat_received.h"

#include "amberpin/node/node.h"

static void apply_cancellations(struct amb_node *node, const struct amb_peer_message *message) {
    struct amb_peer_message_rows rows = amb_peer_message_cancellations(message);
    struct amb_peer_cancellation cancellation;
    while (amb_peer_message_next_cancellation(&rows, &cancellation))
        amb_job_apply_cancel_hint(node, cancellation.ref, cancellation.cancelled_wall_ms,
                                  cancellation.revision);
}

static enum amb_format to_format(int64_t number) {
    if (number < AMB_FORMAT_1) return AMB_FORMAT_UNKNOWN;
    return number < AMB_FORMAT_LATEST ? (enum amb_format)number : AMB_FORMAT_LATEST;
}

static void apply_capabilities(struct amb_node *node, struct amb_peer *peer,
                               const struct amb_peer_status *status) {
    amb_format_update_peer(peer, to_format(status->format));
    amb_duties_update_peer(peer, status->duties_record_version > 0);
    if (status->limits_lowered) amb_store_lower_limits(&node->store, "a peer reports lowered limits");
}

static void apply_role(struct amb_peer *peer, const struct amb_peer_status *status) {
    peer->term = status->term;
    peer->is_leader = status->is_leader;
    peer->store_reachable = status->store_reachable;
    peer->receives_agent_heartbeats = status->receives_agent_heartbeats;
}

/* Records whether the message confirms our leadership. Only a reply to our own heartbeat does, since a
 * message that the peer sent on its own may be arbitrarily old. And only a peer that has read the whole
 * key-value store confirms it: before a restart, the peer may have confirmed cancellations to users that it
 * no longer knows of. */
static void record_confirmation(struct amb_node *node, struct amb_peer *peer,
                                const struct amb_peer_status *status, amb_ms asked_at) {
    bool leads = amb_election_has_leader_role(node);
    if (asked_at && status->has_read_store && leads && !status->is_leader &&
        peer->term <= node->election.term)
        peer->confirmed_at = asked_at;
    if (asked_at && leads && !status->is_leader && peer->term == node->election.term &&
        peer->fenced_term != peer->term) {
        peer->fenced_term = peer->term;
        peer->fenced_at = peer->last_heard_at;
    }
}

struct amb_peer_message_error amb_peer_apply_message(struct amb_node *node, struct amb_peer *peer,
                                                     const struct amb_peer_message *message,
                                                     amb_ms asked_at) {
    struct amb_peer_status status;
    struct amb_peer_message_error error = amb_peer_message_status(message, &status);
    if (error.fault) return error;
    peer->last_heard_at = amb_now();
    apply_capabilities(node, peer, &status);
    apply_cancellations(node, message);
    apply_role(peer, &status);
    record_confirmation(node, peer, &status, asked_at);
    amb_election_observe_term(node, peer->term, peer->member);
    return error;
}

static void apply_progress(struct amb_node *node, const struct amb_peer_message *heartbeat) {
    struct amb_peer_message_rows rows = amb_peer_message_progress(heartbeat);
    struct amb_peer_job_progress progress;
    while (amb_peer_message_next_progress(&rows, &progress)) {
        struct amb_job *job = amb_job_find(node, progress.ref);
        if (!job) continue;
        job->progress_done = progress.done;
        job->progress_running = progress.running;
    }
}

void amb_peer_apply_heartbeat(struct amb_node *node, struct amb_peer *peer,
                              const struct amb_peer_message *heartbeat) {
    struct amb_peer_message_header header = amb_peer_message_header(heartbeat);
    if (peer) {
        amb_peer_apply_message(node, peer, heartbeat, 0);
        peer->store_revision = header.known_revision;
    }
    if (amb_election_is_leader(node)) return;
    if (header.token_loan != 0) amb_store_apply_token_loan(&node->store, header.token_loan);
    apply_progress(node, heartbeat);
    amb_image_locations_apply(node, heartbeat);
}
