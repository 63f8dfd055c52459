/* Lists all keys, then watches their changes. */
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/node.h"
#include "internal.h"

#include <stdio.h>
#include <string.h>

static void send_watch(void *arg);
static void send_list(void *arg);

/* ---- listing ---- */

bool amb_watch_must_relist(int status) {
    return status == 410 || status == AMB_HTTP_RESPONSE_TOO_LARGE;
}

/* Only one listing runs at a time: a second one would overwrite the cursor and the revision of the first, and
 * changes between the starts of the two would be missed. */
void amb_watch_relist(struct amb_node *node) {
    struct amb_watch *watch = &node->watch;
    if (watch->list_in_flight) return;
    watch->list_in_flight = true;
    watch->list_cursor[0] = 0;
    watch->list_revision = 0;
    watch->leader_key_listed = false;
    amb_lease_proxy_mark_listing(node, false);
    send_list(node);
}

static void apply_list_page(struct amb_node *node, const struct amb_list_page *page) {
    struct amb_watch *watch = &node->watch;
    struct amb_parsed_change pair;
    struct amb_cbor_cursor position = page->pairs;
    while (amb_list_page_next(&position, &pair)) {
        amb_watch_apply_key(node, pair.key, pair.value, pair.revision);
        if (!strcmp(pair.key, AMB_LEADER_KEY)) watch->leader_key_listed = true;
        snprintf(watch->list_cursor, sizeof watch->list_cursor, "%s", pair.key);
    }
}

/* The leader key may be on any page, so its absence is known only after the last page. */
static void finish_listing(struct amb_node *node, uint64_t store_revision) {
    struct amb_watch *watch = &node->watch;
    if (!watch->leader_key_listed) amb_election_apply_key(node, NULL, store_revision);
    amb_lease_proxy_mark_listing(node, true);
    amb_event_post(node, &(struct amb_event){.type = AMB_EVENT_STORE_LISTED});
    watch->list_in_flight = false;
    watch->known_revision = watch->list_revision;
    watch->loaded = true;
    amb_election_start(node);
    send_watch(node);
}

static void handle_list_page(void *arg, int status, const struct amb_cbor_item *body) {
    struct amb_node *node = arg;
    struct amb_watch *watch = &node->watch;
    struct amb_list_page page;
    if (status != 200 || !amb_list_page_decode(body, &page)) {
        amb_timer_set_after(&watch->watch_timer, node->store.call_timeout / 5, send_list, node);
        return;
    }
    /* The watch starts at the first page's revision, because keys may change while further pages are read. */
    if (!watch->list_revision) watch->list_revision = page.store_revision;
    apply_list_page(node, &page);
    if (page.has_more)
        send_list(node);
    else
        finish_listing(node, page.store_revision);
}

static void send_list(void *arg) {
    struct amb_node *node = arg;
    amb_store_list(&node->store, AMB_WATCHED_PREFIX, node->watch.list_cursor, handle_list_page, node);
}

/* ---- watching ---- */

static void handle_watch_page(void *arg, int status, const void *page, size_t len) {
    struct amb_node *node = arg;
    struct amb_watch *watch = &node->watch;
    watch->watch_in_flight = false;
    if (status == 200 && amb_watch_apply_page(node, page, len, watch->watch_sent_at))
        send_watch(node);
    else if (amb_watch_must_relist(status))
        amb_watch_relist(node);
    else
        amb_timer_set_after(&watch->watch_timer, node->store.call_timeout / 4, send_watch, node);
}

static void send_watch(void *arg) {
    struct amb_node *node = arg;
    struct amb_watch *watch = &node->watch;
    if (watch->watch_in_flight) return;
    watch->watch_in_flight = true;
    watch->watch_sent_at = amb_now();
    /* The store answers within two thirds of the leadership lease, before this node's state would count as
     * stale (amb_lease_proxy_tick). */
    amb_store_watch(&node->store, AMB_WATCHED_PREFIX, watch->known_revision, node->store.call_timeout * 2,
                    handle_watch_page, node);
}

void amb_watch_start(struct amb_node *node) {
    amb_watch_relist(node);
}
