/* Fresh reads: one read of all changes answers all callers that asked before it was sent. */
#include "amberpin/node/node.h"
#include "internal.h"

#include <stdlib.h>

enum {
    READ_OVERDUE_MS = 100, /* a read in flight for this long no longer holds up the next one */
    READS_IN_FLIGHT_MAX = 4,
};

/* Share of this node's requests to the store that fresh reads take at most, when callers never cease. */
static const double FRESH_READ_SHARE = 0.25;

struct amb_fresh_read_call { /* a read in flight */
    struct amb_node *node;
    uint64_t number;
    amb_ms sent_at;
    struct amb_fresh_read *callers;    /* owned */
    struct amb_fresh_read_call *older; /* the next older read in flight */
};

static void send_fresh_read(void *arg);

static void answer_all(struct amb_fresh_read *read, bool ok) {
    while (read) {
        struct amb_fresh_read *next = read->next;
        read->on_done(read->context, ok);
        free(read);
        read = next;
    }
}

static bool is_newest_in_flight(const struct amb_watch *watch) {
    return watch->fresh_read_calls && watch->fresh_read_calls->number == watch->last_fresh_read_sent;
}

/* Spaces fresh reads out, so that several callers share one when they ask faster than the rate limit of the
 * store allows. */
static void schedule_fresh_read(struct amb_node *node) {
    amb_ms gap = (amb_ms)(1000.0 / FRESH_READ_SHARE / node->store.request_bucket.tokens_per_second);
    amb_timer_set_after(&node->watch.fresh_read_timer, gap, send_fresh_read, node);
}

static void remove_call(struct amb_watch *watch, const struct amb_fresh_read_call *call) {
    struct amb_fresh_read_call **link = &watch->fresh_read_calls;
    while (*link && *link != call) link = &(*link)->older;
    *link = call->older;
    watch->fresh_reads_in_flight--;
}

/* Answers the callers of older reads in flight, which asked even earlier. */
static void answer_older(struct amb_fresh_read_call *call) {
    for (; call; call = call->older) {
        struct amb_fresh_read *callers = call->callers;
        call->callers = NULL;
        answer_all(callers, true);
    }
}

static void record_applied(struct amb_watch *watch, uint64_t number) {
    if (number > watch->last_fresh_read_applied) watch->last_fresh_read_applied = number;
}

static void handle_fresh_page(void *arg, int status, const void *page, size_t len) {
    struct amb_fresh_read_call *call = arg;
    struct amb_node *node = call->node;
    struct amb_watch *watch = &node->watch;
    bool was_newest = is_newest_in_flight(watch) && watch->fresh_read_calls == call;
    bool ok = status == 200 && amb_watch_apply_page(node, page, len, call->sent_at);
    if (amb_watch_must_relist(status)) amb_watch_relist(node);
    remove_call(watch, call);
    if (ok) record_applied(watch, call->number);
    answer_all(call->callers, ok);
    if (ok) answer_older(call->older);
    free(call);
    if (watch->queued_fresh_reads && (was_newest || !watch->fresh_read_timer.position))
        schedule_fresh_read(node);
}

static void send_fresh_read(void *arg) {
    struct amb_node *node = arg;
    struct amb_watch *watch = &node->watch;
    if (!watch->queued_fresh_reads || watch->fresh_reads_in_flight == READS_IN_FLIGHT_MAX) return;
    struct amb_fresh_read_call *call = amb_alloc(sizeof *call);
    *call = (struct amb_fresh_read_call){.node = node,
                                         .number = ++watch->last_fresh_read_sent,
                                         .sent_at = amb_now(),
                                         .callers = watch->queued_fresh_reads,
                                         .older = watch->fresh_read_calls};
    watch->queued_fresh_reads = NULL;
    watch->fresh_read_calls = call;
    watch->fresh_reads_in_flight++;
    amb_store_watch(&node->store, AMB_WATCHED_PREFIX, watch->known_revision, 0, handle_fresh_page, call);
}

/* Sends the queued read now, or when the read in flight is overdue. */
static void send_when_allowed(struct amb_node *node) {
    struct amb_watch *watch = &node->watch;
    if (watch->fresh_read_timer.position) return;
    if (is_newest_in_flight(watch))
        amb_timer_set(&watch->fresh_read_timer, watch->fresh_read_calls->sent_at + READ_OVERDUE_MS,
                      send_fresh_read, node);
    else
        send_fresh_read(node);
}

void amb_watch_read_fresh(struct amb_node *node, amb_fresh_read_callback on_done, void *context) {
    struct amb_watch *watch = &node->watch;
    struct amb_fresh_read *read = amb_alloc(sizeof *read);
    read->on_done = on_done;
    read->context = context;
    read->next = watch->queued_fresh_reads;
    watch->queued_fresh_reads = read;
    send_when_allowed(node);
}

uint64_t amb_watch_next_fresh_read(const struct amb_node *node) {
    return node->watch.last_fresh_read_sent + 1;
}

bool amb_watch_has_fresh_read(const struct amb_node *node, uint64_t number) {
    return node->watch.last_fresh_read_applied >= number;
}

bool amb_watch_is_reading_fresh(const struct amb_node *node) {
    return node->watch.queued_fresh_reads || node->watch.fresh_reads_in_flight;
}
