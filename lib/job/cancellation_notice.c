#include "amberpin/job/cancellation_notice.h"

#include "amberpin/base/log.h"
#include "amberpin/node/node.h"

#include <stdlib.h>
#include <string.h>

static const char NOTICE_PATH[] = "/peer/cancellation";

/* A cancellation is written or given up within two call timeouts: its request may be queued for one call
 * timeout before it is sent, and is given up after another one. */
enum { PENDING_CALL_TIMEOUTS = 2 };

/* Notices are sent at most once, so the response does not matter. */
static void ignore_response(void *arg, int status, const char *body, size_t len) {
    (void)arg, (void)status, (void)body, (void)len;
}

static void send_to_peer(struct amb_node *node, const struct amb_peer *peer, const char *text) {
    amb_http_call(peer->addr, "POST", NOTICE_PATH, "application/json", text, strlen(text),
                  (amb_ms)(node->settings.heartbeat_s * 1000), ignore_response, NULL);
}

static bool is_leader_known(const struct amb_peers *peers) {
    for (uint32_t i = 0; i < peers->count; i++)
        if (peers->list[i].is_leader) return true;
    return false;
}

/* Sends a notice to the leader, or to all peers if none is known to lead. Revision 0 means that the
 * cancellation is not written yet. */
static void send_notice(struct amb_node *node, const struct amb_job *job, uint64_t revision) {
    if (amb_election_has_leader_role(node)) return;
    const struct amb_peer_cancellation cancellation = {job->ref, job->cancelled_wall_ms, revision};
    char *text = amb_peer_notice_to_text(&cancellation);
    const struct amb_peers *peers = &node->peers;
    bool leader_known = is_leader_known(peers);
    for (uint32_t i = 0; i < peers->count; i++)
        if (peers->list[i].is_leader || !leader_known) send_to_peer(node, &peers->list[i], text);
    free(text);
}

void amb_cancellation_notice_send_pending(struct amb_node *node, struct amb_job *job) {
    job->cancel_pending_at = amb_now();
    send_notice(node, job, 0);
}

void amb_cancellation_notice_send_cancelled(struct amb_node *node, struct amb_job *job) {
    if (job->leader_notified_of_cancel) return;
    job->leader_notified_of_cancel = true;
    send_notice(node, job, job->cancel_revision);
}

void amb_cancellation_notice_receive(struct amb_node *node,
                                     const struct amb_peer_cancellation *cancellation) {
    struct amb_job *job = amb_job_find(node, cancellation->ref);
    if (cancellation->revision)
        amb_job_apply_cancel_hint(node, cancellation->ref, cancellation->cancelled_wall_ms,
                                  cancellation->revision);
    else if (job)
        job->cancel_pending_at = amb_now();
}

bool amb_cancellation_is_pending(const struct amb_node *node, const struct amb_job *job) {
    if (!job->cancel_pending_at) return false;
    amb_ms decided_by = job->cancel_pending_at + PENDING_CALL_TIMEOUTS * node->store.call_timeout;
    return node->watch.last_read_sent_at <= decided_by;
}
