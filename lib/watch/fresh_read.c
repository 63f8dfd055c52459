/* Fresh reads: one read of all changes answers all callers that asked before it was sent. */
#include "amberpin/node/node.h"
#include "internal.h"

#include <stdlib.h>

static void send_fresh_read(void *arg);

static void answer_all(struct amb_fresh_read *read, bool ok) {
    while (read) {
        struct amb_fresh_read *next = read->next;
        read->on_done(read->context, ok);
        free(read);
        read = next;
    }
}

/* Spaces fresh reads out, so that several callers share one when they ask faster than the rate limit of the
 * store allows. */
static void schedule_fresh_read(struct amb_node *node) {
    amb_ms gap = (amb_ms)(4000.0 / node->store.request_bucket.tokens_per_second);
    amb_timer_set_after(&node->watch.fresh_read_timer, gap, send_fresh_read, node);
}

static void handle_fresh_page(void *arg, int status, const void *page, size_t len) {
    struct amb_node *node = arg;
    struct amb_watch *watch = &node->watch;
    bool ok = status == 200 && amb_watch_apply_page(node, page, len, watch->fresh_read_sent_at);
    if (amb_watch_must_relist(status)) amb_watch_relist(node);
    struct amb_fresh_read *answered = watch->sent_fresh_reads;
    watch->sent_fresh_reads = NULL;
    watch->fresh_read_in_flight = false;
    answer_all(answered, ok);
    if (watch->queued_fresh_reads && !watch->fresh_read_timer.position) schedule_fresh_read(node);
}

static void send_fresh_read(void *arg) {
    struct amb_node *node = arg;
    struct amb_watch *watch = &node->watch;
    if (watch->fresh_read_in_flight || !watch->queued_fresh_reads) return;
    watch->sent_fresh_reads = watch->queued_fresh_reads;
    watch->queued_fresh_reads = NULL;
    watch->fresh_read_in_flight = true;
    watch->fresh_read_sent_at = amb_now();
    amb_store_watch(&node->store, AMB_WATCHED_PREFIX, watch->known_revision, 0, handle_fresh_page, node);
}

void amb_watch_read_fresh(struct amb_node *node, amb_fresh_read_callback on_done, void *context) {
    struct amb_watch *watch = &node->watch;
    struct amb_fresh_read *read = amb_alloc(sizeof *read);
    read->on_done = on_done;
    read->context = context;
    read->next = watch->queued_fresh_reads;
    watch->queued_fresh_reads = read;
    if (!watch->fresh_read_in_flight && !watch->fresh_read_timer.position) send_fresh_read(node);
}
