/* What a controller sends to its peers: heartbeats, and the replies to theirs. */
#include "amberpin/node/node.h"
#include "cancellation_lists.h"
#include "own_status.h"

/* Bytes of a heartbeat that the images may take, and the progress of jobs. The rest is for cancellations.
 * (With all images changed, as when 4,000 machines come up together, a heartbeat outgrew what the peers
 * accept, and they took their leader for unreachable.) */
enum {
    IMAGE_LOCATIONS_MAX_BYTES = AMB_HEARTBEAT_MAX_BYTES / 4,
    PROGRESS_MAX_BYTES = AMB_HEARTBEAT_MAX_BYTES / 4,
    PROGRESS_ROW_MAX_BYTES = AMB_NAME_SIZE + 24,
    PROGRESS_MAX_ROWS = PROGRESS_MAX_BYTES / PROGRESS_ROW_MAX_BYTES,
    CANCELLATION_ROW_MAX_BYTES = AMB_NAME_SIZE + 48,
    CANCELLATIONS_MAX_ROWS = AMB_HEARTBEAT_MAX_BYTES / 4 / CANCELLATION_ROW_MAX_BYTES,
};

/* Every peer has said that it knows all changes up to here; 0: one has not said. */
static uint64_t revision_known_to_all_peers(const struct amb_node *node) {
    uint64_t least = node->peers.count ? UINT64_MAX : 0;
    for (uint32_t i = 0; i < node->peers.count; i++)
        if (node->peers.list[i].store_revision < least) least = node->peers.list[i].store_revision;
    return least;
}

static struct amb_peer_message *new_message(const struct amb_node *node) {
    struct amb_peer_status status = amb_peer_own_status(node);
    return amb_peer_message_new(node->settings.member, &status);
}

/* What finds no room goes into the next heartbeat, where it comes first: what was sent has not changed since.
 */
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

/* A leader that has lost the store, but not its peers, must keep what users were told. The time of a
 * cancellation is no measure for that: a transaction may be carried out minutes after it was sent, and its
 * user be told only then. */
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
