/* Reading the state service: every key below a/ is listed once, then watched. Questions that need to know all
 * that has happened share fresh reads of the changes. */
#include "amberpin/base/log.h"
#include "amberpin/codec/change_page.h"
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char WATCHED_PREFIX[] = "a/";
static const char JOB_PREFIX[] = "a/job/";
static const char FORMAT_KEY[] = "a/format";
static const char DEPUTY_PREFIX[] = "a/deputy/";
static const char DUTY_PREFIX[] = "a/duty";
static const char ORDER_PREFIX[] = "a/order/";

static void apply_key(struct amb_node *node, const char *key, const cbor_item_t *value, uint64_t revision) {
    if (!strcmp(key, AMB_LEADER_KEY))
        amb_election_apply_key(node, value, revision);
    else if (!strcmp(key, FORMAT_KEY))
        amb_format_apply_key(node, value);
    else if (!strncmp(key, DEPUTY_PREFIX, sizeof DEPUTY_PREFIX - 1))
        amb_lease_proxy_apply_key(node, key + sizeof DEPUTY_PREFIX - 1, value, revision);
    else if (!strncmp(key, JOB_PREFIX, sizeof JOB_PREFIX - 1))
        amb_jobs_apply_item(node, key + sizeof JOB_PREFIX - 1, value, revision);
    else if (!strncmp(key, DUTY_PREFIX, sizeof DUTY_PREFIX - 1) ||
             !strncmp(key, ORDER_PREFIX, sizeof ORDER_PREFIX - 1))
        amb_event_post(node,
                       &(struct amb_event){.type = AMB_EVENT_DUTY_KEY_CHANGED,
                                           .change = {.key = key, .value = value, .revision = revision}});
}

/* One whose value is not parsed yet. */
static void apply_change(void *context, const struct amb_change *change) {
    struct amb_node *node = context;
    if (!strncmp(change->key, JOB_PREFIX, sizeof JOB_PREFIX - 1)) {
        const char *ref = change->key + sizeof JOB_PREFIX - 1;
        amb_jobs_apply_bytes(node, ref, change->value, change->value_len, change->revision);
        return;
    }
    cbor_item_t *value = change->value ? amb_cbor_parse(change->value, change->value_len) : NULL;
    apply_key(node, change->key, value, change->revision);
    if (value) cbor_decref(&value);
}

static void apply_parsed_change(struct amb_node *node, const cbor_item_t *change) {
    char key[AMB_STORE_KEY_SIZE];
    uint64_t revision;
    if (!amb_cbor_get_uint(amb_cbor_map_get(change, "stamp"), &revision)) return;
    if (amb_cbor_copy_string(amb_cbor_map_get(change, "put"), key, sizeof key))
        apply_key(node, key, amb_cbor_map_get(change, "value"), revision);
    else if (amb_cbor_copy_string(amb_cbor_map_get(change, "remove"), key, sizeof key))
        apply_key(node, key, NULL, revision);
}

/* A page in encodings that amb_change_page_decode does not know. */
static bool apply_parsed_page(struct amb_node *node, const void *page, size_t len, uint64_t *store_revision) {
    cbor_item_t *body = amb_cbor_parse(page, len);
    bool understood = amb_cbor_get_uint(amb_cbor_map_get(body, "epoch"), store_revision);
    const cbor_item_t *changes = understood ? amb_cbor_map_get(body, "news") : NULL;
    amb_debug("changes: %zu bytes are parsed in full", len);
    for (size_t i = 0; i < amb_cbor_list_length(changes); i++)
        apply_parsed_change(node, amb_cbor_list_item(changes, i));
    if (body) cbor_decref(&body);
    return understood;
}

static bool apply_page(struct amb_node *node, const void *page, size_t len, amb_ms sent_at) {
    uint64_t store_revision;
    if (!amb_change_page_decode(page, len, &store_revision, apply_change, node) &&
        !apply_parsed_page(node, page, len, &store_revision))
        return false;
    if (store_revision > node->jobs.known_revision) node->jobs.known_revision = store_revision;
    node->jobs.last_read_at = amb_now();
    if (sent_at > node->jobs.last_read_sent_at) node->jobs.last_read_sent_at = sent_at;
    return true;
}

static void send_watch(void *arg);
static void send_list(void *arg);

/* One listing at a time: a second one would move the first one's place and epoch, and what changed between
 * the two beginnings would be missed. */
static void relist(struct amb_node *node) {
    if (node->jobs.list_in_flight) return;
    node->jobs.list_in_flight = true;
    node->jobs.list_cursor[0] = 0;
    node->jobs.list_revision = 0;
    node->jobs.leader_key_listed = false;
    amb_lease_proxy_mark_listing(node, false);
    send_list(node);
}

/* More has changed than the state service keeps, or than this node may read at a time: all is listed anew,
 * page by page. */
static bool must_relist(int status) {
    return status == 410 || status == AMB_HTTP_RESPONSE_TOO_LARGE;
}

static void handle_watch_page(void *arg, int status, const void *page, size_t len) {
    struct amb_node *node = arg;
    node->jobs.watch_in_flight = false;
    if (status == 200 && apply_page(node, page, len, node->jobs.watch_sent_at)) {
        send_watch(node);
    } else if (must_relist(status)) {
        relist(node);
    } else {
        amb_timer_in(&node->jobs.watch_timer, node->store.call_timeout / 4, send_watch, node);
    }
}

static void send_watch(void *arg) {
    struct amb_node *node = arg;
    if (node->jobs.watch_in_flight) return;
    node->jobs.watch_in_flight = true;
    node->jobs.watch_sent_at = amb_now();
    /* Back within two thirds of the leadership lease, before news would count as old (amb_lease_proxy_tick).
     */
    amb_store_watch(&node->store, WATCHED_PREFIX, node->jobs.known_revision, node->store.call_timeout * 2,
                    handle_watch_page, node);
}

static void handle_list_page(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node = arg;
    struct amb_jobs *jobs = &node->jobs;
    uint64_t store_revision;
    if (status != 200 || !amb_cbor_get_uint(amb_cbor_map_get(body, "epoch"), &store_revision)) {
        amb_timer_in(&jobs->watch_timer, node->store.call_timeout / 5, send_list, node);
        return;
    }
    if (!jobs->list_revision)
        jobs->list_revision = store_revision; /* what changes while pages come is followed from here */
    const cbor_item_t *pairs = amb_cbor_map_get(body, "pairs");
    for (size_t i = 0; i < amb_cbor_list_length(pairs); i++) {
        const cbor_item_t *pair = amb_cbor_list_item(pairs, i);
        char key[AMB_STORE_KEY_SIZE];
        uint64_t revision;
        if (!amb_cbor_copy_string(amb_cbor_map_get(pair, "path"), key, sizeof key) ||
            !amb_cbor_get_uint(amb_cbor_map_get(pair, "stamp"), &revision))
            continue;
        apply_key(node, key, amb_cbor_map_get(pair, "value"), revision);
        if (!strcmp(key, AMB_LEADER_KEY)) jobs->leader_key_listed = true;
        snprintf(jobs->list_cursor, sizeof jobs->list_cursor, "%s", key);
    }
    bool more = false;
    amb_cbor_get_bool(amb_cbor_map_get(body, "truncated"), &more);
    if (more && amb_cbor_list_length(pairs)) {
        send_list(node);
        return;
    }
    /* On whichever page: orders sort after it. */
    if (!jobs->leader_key_listed) amb_election_apply_key(node, NULL, store_revision);
    amb_lease_proxy_mark_listing(node, true);
    amb_event_post(node, &(struct amb_event){.type = AMB_EVENT_STORE_LISTED});
    jobs->list_in_flight = false;
    jobs->known_revision = jobs->list_revision;
    jobs->loaded = true;
    amb_election_start(node);
    send_watch(node);
}

static void send_list(void *arg) {
    struct amb_node *node = arg;
    amb_store_list(&node->store, WATCHED_PREFIX, node->jobs.list_cursor, handle_list_page, node);
}

/* ---- fresh reads: one read of all changes answers every question that came before it was sent ---- */

static void send_fresh_read(void *arg);

static void handle_fresh_page(void *arg, int status, const void *page, size_t len) {
    struct amb_node *node = arg;
    struct amb_jobs *jobs = &node->jobs;
    bool ok = status == 200 && apply_page(node, page, len, jobs->sync_sent_at);
    if (must_relist(status)) relist(node);
    struct amb_fresh_read *read = jobs->sent_syncs;
    jobs->sent_syncs = NULL;
    jobs->sync_in_flight = false;
    while (read) {
        struct amb_fresh_read *next = read->next;
        read->fn(read->arg, ok);
        free(read);
        read = next;
    }
    if (jobs->queued_syncs && !jobs->sync_timer.position) {
        /* Spaced out, so that questions share a read when they come faster than reads may be made. */
        amb_ms gap = (amb_ms)(4000.0 / node->store.request_bucket.tokens_per_second);
        amb_timer_in(&jobs->sync_timer, gap, send_fresh_read, node);
    }
}

static void send_fresh_read(void *arg) {
    struct amb_node *node = arg;
    struct amb_jobs *jobs = &node->jobs;
    if (jobs->sync_in_flight || !jobs->queued_syncs) return;
    jobs->sent_syncs = jobs->queued_syncs;
    jobs->queued_syncs = NULL;
    jobs->sync_in_flight = true;
    jobs->sync_sent_at = amb_now();
    amb_store_watch(&node->store, WATCHED_PREFIX, jobs->known_revision, 0, handle_fresh_page, node);
}

void amb_watch_read_fresh(struct amb_node *node, void (*fn)(void *arg, bool ok), void *arg) {
    struct amb_fresh_read *read = amb_alloc(sizeof *read);
    read->fn = fn;
    read->arg = arg;
    read->next = node->jobs.queued_syncs;
    node->jobs.queued_syncs = read;
    if (!node->jobs.sync_in_flight && !node->jobs.sync_timer.position) send_fresh_read(node);
}

void amb_watch_start(struct amb_node *node) {
    relist(node);
}
