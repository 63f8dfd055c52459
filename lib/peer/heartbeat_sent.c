/* Encoding of the heartbeats that a controller sends to its peers, and of the replies to theirs. */
#include "amberpin/node/node.h"
#include "cancellation_lists.h"
#include "own_status.h"

/* Size limits of the parts of a heartbeat: the images, the progress of jobs, and the cancellations. Without
 * them, a heartbeat in which all images had changed, as when 4,000 machines came up together, exceeded the
 * size that peers accept, and they considered the leader unreachable. */
enum {
    IMAGE_LOCATIONS_MAX_BYTES = AMB_HEARTBEAT_MAX_BYTES / 4,
    PROGRESS_MAX_BYTES = AMB_HEARTBEAT_MAX_BYTES / 4,
    PROGRESS_ROW_MAX_BYTES = AMB_NAME_SIZE + 24,
    PROGRESS_MAX_ROWS = PROGRESS_MAX_BYTES / PROGRESS_ROW_MAX_BYTES,
    CANCELLATION_ROW_MAX_BYTES = AMB_NAME_SIZE + 48,
    CANCELLATIONS_MAX_ROWS = AMB_HEARTBEAT_MAX_BYTES / 4 / CANCELLATION_ROW_MAX_BYTES,
};

/* Returns the revision up to which every peer has said that it knows all changes; 0: at least one has not
 * said. */
static uint64_t revision_known_to_all_peers(const struct amb_node *node) {
    uint64_t minimum = node->peers.count ? UINT64_MAX : 0;
    for (uint32_t i = 0; i < node->peers.count; i++)
        if (node->peers.list[i].store_revision < minimum) minimum = node->peers.list[i].store_revision;
    return minimum;
}

static struct amb_peer_message *new_message(const struct amb_node *node) {
    struct amb_peer_status status = amb_peer_own_status(node);
    return amb_peer_message_new(node->settings.member, &status);
}

/* Adds the progress of jobs. Progress that does not fit is sent first in the next heartbeat, because the jobs
 * that were sent have not changed since. */
static void add_progress(struct amb_node *node, struct amb_peer_message *heartbeat) {
    uint32_t rows = 0;
    for (struct amb_job *job = node->jobs.active; job; job = job->next_active) {
        if (!job->progress_changed || job->state != AMB_JOB_QUEUED) continue;
        if (rows++ == PROGRESS_MAX_ROWS) break;
        const struct amb_peer_job_progress progress = {job->ref, job->done_count, job->running_count};
        amb_peer_message_add_progress(heartbeat, &progress);
        job->progress_sent_in = node->peers.image_locations.heartbeat_number;
    }
}

/* A leader that can reach its peers but not the key-value store must honour every cancellation that was
 * confirmed to a user. The reply therefore selects cancellations by revision, not by time: a transaction may
 * be carried out minutes after it was sent, and its user be told only then. */
struct amb_peer_message *amb_peer_encode_reply(struct amb_node *node, uint64_t known_revision) {
    struct amb_peer_message *reply = new_message(node);
    if (known_revision)
        amb_peer_add_cancellations_after(node, reply, known_revision);
    else
        amb_peer_add_recent_cancellations(node, reply, 0, SIZE_MAX);
    return reply;
}

static void add_leader_part(struct amb_node *node, struct amb_peer_message *heartbeat) {
    amb_peer_message_add_leader_part(heartbeat, amb_store_lend_tokens(&node->store));
    amb_image_locations_encode(node, heartbeat, IMAGE_LOCATIONS_MAX_BYTES);
    add_progress(node, heartbeat);
}

char *amb_peer_encode_heartbeat(struct amb_node *node) {
    struct amb_peer_message *heartbeat = new_message(node);
    amb_peer_add_recent_cancellations(node, heartbeat, revision_known_to_all_peers(node),
                                      CANCELLATIONS_MAX_ROWS);
    amb_peer_message_set_known_revision(heartbeat, node->watch.known_revision);
    if (amb_election_is_leader(node)) add_leader_part(node, heartbeat);
    char *text = amb_peer_message_to_text(heartbeat);
    amb_peer_message_release(heartbeat);
    return text;
}

void amb_peer_mark_heartbeat_sent(struct amb_node *node) {
    if (!amb_election_is_leader(node)) return;
    for (struct amb_job *job = node->jobs.active; job; job = job->next_active)
        if (job->progress_sent_in == node->peers.image_locations.heartbeat_number)
            job->progress_changed = false;
    amb_image_locations_mark_sent(node);
}
