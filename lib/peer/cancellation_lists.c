#include "cancellation_lists.h"

#include "amberpin/node/node.h"

/* Returns how long a cancellation counts as recent, in ms. */
static int64_t recent_cancellation_span(const struct amb_node *node) {
    return (int64_t)(node->settings.cancel_s * 2000);
}

static void add_cancellation(struct amb_peer_message *message, const struct amb_job *job) {
    if (job->state != AMB_JOB_CANCELLED) return;
    amb_peer_message_add_cancellation(message, &(struct amb_peer_cancellation){
                                                   .ref = job->ref,
                                                   .cancelled_wall_ms = job->cancelled_wall_ms,
                                                   .revision = job->cancel_revision,
                                               });
}

void amb_peer_add_cancellations_after(const struct amb_node *node, struct amb_peer_message *message,
                                      uint64_t known_revision) {
    const struct amb_cancellation_list *by_revision = &node->jobs.cancellations.by_revision;
    size_t first = amb_cancellations_find_after(by_revision, (int64_t)known_revision);
    for (size_t i = first; i < by_revision->count; i++)
        add_cancellation(message, by_revision->entries[i].job);
}

void amb_peer_add_recent_cancellations(const struct amb_node *node, struct amb_peer_message *message,
                                       uint64_t known_revision, size_t max_rows) {
    const struct amb_cancellation_list *by_wall_ms = &node->jobs.cancellations.by_wall_ms;
    size_t first = amb_cancellations_find_after(by_wall_ms, amb_wall_ms() - recent_cancellation_span(node));
    if (by_wall_ms->count - first > max_rows) first = by_wall_ms->count - max_rows;
    for (size_t i = first; i < by_wall_ms->count; i++)
        if (by_wall_ms->entries[i].job->cancel_revision > known_revision)
            add_cancellation(message, by_wall_ms->entries[i].job);
}

int64_t amb_peer_recent_cancellations_expiry(const struct amb_node *node) {
    const struct amb_cancellation_list *by_wall_ms = &node->jobs.cancellations.by_wall_ms;
    size_t first = amb_cancellations_find_after(by_wall_ms, amb_wall_ms() - recent_cancellation_span(node));
    return first < by_wall_ms->count ? by_wall_ms->entries[first].key + recent_cancellation_span(node)
                                     : INT64_MAX;
}

uint64_t amb_peer_newest_cancellation_revision(const struct amb_node *node) {
    const struct amb_cancellation_list *by_revision = &node->jobs.cancellations.by_revision;
    return by_revision->count ? (uint64_t)by_revision->entries[by_revision->count - 1].key : 0;
}
