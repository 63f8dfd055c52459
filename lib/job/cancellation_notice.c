#include "amberpin/job/cancellation_notice.h"

#include "amberpin/base/log.h"
#include "amberpin/node/node.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static const char NOTICE_PATH[] = "/peer/cancellation";

/* Whoever writes a cancellation gives its call up after one call timeout; it may have been queued as
 * long before it was sent. */
enum { PENDING_CALL_TIMEOUTS = 2 };

/* Notices are sent at most once: nothing waits for the response. */
static void ignore_response(void *arg, int status, const char *body, size_t len) {
    (void)arg, (void)status, (void)body, (void)len;
}

static void send_to(struct amb_node *node, const struct amb_peer *peer, const char *text) {
    amb_http_call(peer->addr, "POST", NOTICE_PATH, "application/json", text, strlen(text),
                  (amb_ms)(node->settings.heartbeat_s * 1000), ignore_response, NULL);
}

static bool is_leader_known(const struct amb_peers *peers) {
    for (uint32_t i = 0; i < peers->count; i++)
        if (peers->list[i].is_leader) return true;
    return false;
}

/* To the leader; to all peers when none is known to lead. Revision 0: the cancellation is not written yet. */
static void send_notice(struct amb_node *node, const struct amb_job *job, uint64_t revision) {
    if (amb_election_has_leader_role(node)) return;
    json_t *notice = json_pack("{s:s, s:I, s:I}", "ref", job->ref, "wall", (json_int_t)job->cancelled_wall_ms,
                               "stamp", (json_int_t)revision);
    char *text = json_dumps(notice, JSON_COMPACT);
    json_decref(notice);
    const struct amb_peers *peers = &node->peers;
    bool leader_known = is_leader_known(peers);
    for (uint32_t i = 0; i < peers->count; i++)
        if (peers->list[i].is_leader || !leader_known) send_to(node, &peers->list[i], text);
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

bool amb_cancellation_notice_receive(struct amb_node *node, const json_t *notice) {
    const char *ref = json_string_value(json_object_get(notice, "ref"));
    const json_t *wall_ms = json_object_get(notice, "wall"), *revision = json_object_get(notice, "stamp");
    if (!ref || !json_is_integer(wall_ms) || !json_is_integer(revision) || json_integer_value(revision) < 0)
        return false;
    struct amb_job *job = amb_job_find(node, ref);
    if (json_integer_value(revision))
        amb_job_apply_cancel_hint(node, ref, json_integer_value(wall_ms),
                                  (uint64_t)json_integer_value(revision));
    else if (job)
        job->cancel_pending_at = amb_now();
    return true;
}

bool amb_cancellation_is_pending(const struct amb_node *node, const struct amb_job *job) {
    if (!job->cancel_pending_at) return false;
    amb_ms decided_at = job->cancel_pending_at + PENDING_CALL_TIMEOUTS * node->store.call_timeout;
    return node->jobs.last_read_sent_at <= decided_at;
}
