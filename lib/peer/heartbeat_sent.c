/* What a node says to the others: heartbeats, and the answers to theirs. */
#include "amberpin/peer/messages.h"

#include "amberpin/node/node.h"

#include <jansson.h>
#include <stdlib.h>

/* Bytes of a heartbeat that the images may take, and the progress of jobs. The rest is for cancellations.
 * (With all images changed, as when 4,000 machines come up together, a heartbeat outgrew what the others
 * accept, and they heard nothing of their leader.) */
enum {
    IMAGES_MOST = AMB_HEARTBEAT_MAX / 4,
    PROGRESS_MOST = AMB_HEARTBEAT_MAX / 4,
    PROGRESS_BYTES = AMB_NAME_SIZE + 24, /* of one job, at most */
    PROGRESS_ROWS = PROGRESS_MOST / PROGRESS_BYTES,
    CANCELLATION_BYTES = AMB_NAME_SIZE + 48, /* of one, at most */
    CANCELLATIONS_MOST = AMB_HEARTBEAT_MAX / 4 / CANCELLATION_BYTES,
};

static bool own_store_ok(const struct amb_node *node, amb_ms now) {
    return node->store.last_success_at > node->store.last_failure_at ||
           now - node->store.last_failure_at > (amb_ms)(node->settings.report_s * 3000);
}

static amb_ms patience(const struct amb_node *node) {
    return (amb_ms)(node->settings.report_s * 3000);
}

static void append_cancellation(json_t *list, const struct amb_job *job) {
    if (job->state != AMB_JOB_CANCELLED) return;
    json_array_append_new(list, json_pack("[s,I,I]", job->ref, (json_int_t)job->cancelled_wall_ms,
                                          (json_int_t)job->cancel_revision));
}

static int64_t recent_span(const struct amb_node *node) {
    return (int64_t)(node->settings.cancel_s * 2000);
}

/* Cancellations that are newer than `epoch`, up to which the asker knows all. */
static json_t *cancellations_after_epoch(const struct amb_node *node, uint64_t epoch) {
    const struct amb_cancellation_list *by_stamp = &node->jobs.cancellations.by_revision;
    json_t *list = json_array();
    for (size_t i = amb_cancellations_find_after(by_stamp, (int64_t)epoch); i < by_stamp->count; i++)
        append_cancellation(list, by_stamp->entries[i].job);
    return list;
}

/* For nodes that did not ask, so that they hear of it sooner than by news: the recent ones, without those up
 * to the epoch that they all know; of more than `most` the latest. */
static json_t *recent_cancellations(const struct amb_node *node, uint64_t known_epoch, size_t most) {
    const struct amb_cancellation_list *by_wall = &node->jobs.cancellations.by_wall_ms;
    json_t *list = json_array();
    size_t first = amb_cancellations_find_after(by_wall, amb_wall_ms() - recent_span(node));
    if (by_wall->count - first > most) first = by_wall->count - most;
    for (size_t i = first; i < by_wall->count; i++)
        if (by_wall->entries[i].job->cancel_revision > known_epoch)
            append_cancellation(list, by_wall->entries[i].job);
    return list;
}

/* All changes up to here are known to every other node, by its own word; 0: one has not said. */
static uint64_t known_to_all_peers(const struct amb_node *node) {
    uint64_t least = node->peers.count ? UINT64_MAX : 0;
    for (uint32_t i = 0; i < node->peers.count; i++)
        if (node->peers.list[i].epoch < least) least = node->peers.list[i].epoch;
    return least;
}

static struct amb_peer_facts own_facts(const struct amb_node *node) {
    amb_ms now = amb_now();
    return (struct amb_peer_facts){
        .term = amb_election_is_leader(node) ? node->election.term : node->election.highest_term,
        .limits_lowered = node->store.limits_lowered,
        .loaded = node->jobs.loaded,
        .leading = amb_election_is_leader(node),
        .store_ok = own_store_ok(node, now),
        .reports_arrive = now - node->fleet.last_report_at < patience(node),
    };
}

/* "loaded": this node has read the state service since it began, so it knows of every cancellation that an
 * earlier self of it can have told a user of. */
static json_t *describe(struct amb_node *node) {
    struct amb_peer_facts facts = own_facts(node);
    json_t *said = json_pack("{s:s, s:b, s:I, s:b, s:b, s:b}", "from", node->settings.member, "loaded",
                             facts.loaded, "term", (json_int_t)facts.term, "leading", facts.leading, "store",
                             facts.store_ok, "reports_arrive", facts.reports_arrive);
    /* The first format had no name. */
    if (amb_format_supported(node) > AMB_FORMAT_1)
        json_object_set_new(said, "format", json_integer(amb_format_supported(node)));
    if (facts.limits_lowered) json_object_set_new(said, "limits_lowered", json_true());
    if (amb_duties_wanted(node)) json_object_set_new(said, "duties", json_integer(AMB_DUTY_FORM));
    return said;
}

/* What finds no room goes into the next heartbeat, where it comes first: what was told is not changed any
 * more. */
static json_t *progress(struct amb_node *node) {
    json_t *list = json_array();
    for (struct amb_job *job = node->jobs.active; job; job = job->next_active) {
        if (!job->progress_changed || job->state != AMB_JOB_QUEUED) continue;
        if (json_array_size(list) == PROGRESS_ROWS) break;
        json_array_append_new(list, json_pack("[s,I,I]", job->ref, (json_int_t)job->done_count,
                                              (json_int_t)job->running_count));
        job->progress_sent_in = node->peers.images.telling;
    }
    return list;
}

json_t *amb_peer_answer(struct amb_node *node, const json_t *question) {
    json_t *message = describe(node);
    /* A leader that has lost the state service, but not its peers, must keep what users were told. The time
     * of a cancellation is no measure for that: a transaction may be carried out minutes after it was sent,
     * and its user be told only then. */
    json_int_t epoch = json_integer_value(json_object_get(question, "epoch"));
    json_object_set_new(message, "cancelled",
                        epoch > 0 ? cancellations_after_epoch(node, (uint64_t)epoch)
                                  : recent_cancellations(node, 0, SIZE_MAX));
    return message;
}

/* ---- messages of ours, made once as long as they would say the same ---- */

static char *as_text(json_t *message) {
    char *text = json_dumps(message, JSON_COMPACT);
    json_decref(message);
    return text;
}

static bool same_facts(const struct amb_peer_facts *a, const struct amb_peer_facts *b) {
    return a->term == b->term && a->loaded == b->loaded && a->leading == b->leading &&
           a->store_ok == b->store_ok && a->reports_arrive == b->reports_arrive &&
           a->limits_lowered == b->limits_lowered;
}

static bool still_says(const struct amb_node *node, const struct amb_peer_saying *saying) {
    struct amb_peer_facts facts = own_facts(node);
    int64_t wall = amb_wall_ms();
    return saying->text && saying->cancellations == node->jobs.cancellations.change_count &&
           wall >= saying->made_at && wall < saying->stale_at && same_facts(&saying->facts, &facts);
}

/* When the first of the cancellations that are recent now will not be so any more. */
static int64_t recent_until(const struct amb_node *node) {
    const struct amb_cancellation_list *by_wall = &node->jobs.cancellations.by_wall_ms;
    size_t first = amb_cancellations_find_after(by_wall, amb_wall_ms() - recent_span(node));
    return first < by_wall->count ? by_wall->entries[first].key + recent_span(node) : INT64_MAX;
}

static void keep_saying(struct amb_node *node, struct amb_peer_saying *saying, char *text, int64_t stale_at) {
    free(saying->text);
    saying->text = text;
    saying->facts = own_facts(node);
    saying->cancellations = node->jobs.cancellations.change_count;
    saying->made_at = amb_wall_ms();
    saying->stale_at = stale_at;
}

/* What a node says that leads nobody and is asked nothing in particular. */
static const char *say_recent(struct amb_node *node) {
    struct amb_peer_saying *saying = &node->peers.recent;
    if (!still_says(node, saying))
        keep_saying(node, saying, as_text(amb_peer_answer(node, NULL)), recent_until(node));
    return saying->text;
}

static const char *say_nothing_newer(struct amb_node *node, const json_t *question) {
    struct amb_peer_saying *saying = &node->peers.nothing_newer;
    if (!still_says(node, saying))
        keep_saying(node, saying, as_text(amb_peer_answer(node, question)), INT64_MAX);
    return saying->text;
}

static uint64_t newest_cancel_stamp(const struct amb_node *node) {
    const struct amb_cancellation_list *by_stamp = &node->jobs.cancellations.by_revision;
    return by_stamp->count ? (uint64_t)by_stamp->entries[by_stamp->count - 1].key : 0;
}

const char *amb_peer_answer_text(struct amb_node *node, const json_t *question, char **made) {
    json_int_t epoch = json_integer_value(json_object_get(question, "epoch"));
    *made = NULL;
    if (epoch <= 0) return say_recent(node);
    if (newest_cancel_stamp(node) <= (uint64_t)epoch) return say_nothing_newer(node, question);
    *made = as_text(amb_peer_answer(node, question));
    return *made;
}

char *amb_peer_say(struct amb_node *node) {
    json_t *message = describe(node);
    json_object_set_new(message, "cancelled",
                        recent_cancellations(node, known_to_all_peers(node), CANCELLATIONS_MOST));
    json_object_set_new(message, "epoch", json_integer((json_int_t)node->jobs.known_revision));
    if (amb_election_is_leader(node)) {
        json_object_set_new(message, "token_grant", json_real(amb_store_lend_tokens(&node->store)));
        json_object_set_new(message, "images", amb_peer_images_tell(node, IMAGES_MOST));
        json_object_set_new(message, "jobs", progress(node));
    }
    return as_text(message);
}

void amb_peer_said(struct amb_node *node) {
    if (!amb_election_is_leader(node)) return;
    for (struct amb_job *job = node->jobs.active; job; job = job->next_active)
        if (job->progress_sent_in == node->peers.images.telling) job->progress_changed = false;
    amb_peer_images_sent(node);
}

static void forget_saying(struct amb_peer_saying *saying) {
    free(saying->text);
    saying->text = NULL;
}

void amb_peer_forget_said(struct amb_node *node) {
    forget_saying(&node->peers.recent);
    forget_saying(&node->peers.nothing_newer);
}
