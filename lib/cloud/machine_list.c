#include "amberpin/cloud/machine_list.h"

#include "amberpin/cloud/cloud_calls.h"
#include "amberpin/cloud/machine_release.h"
#include "amberpin/codec/cloud_messages.h"
#include "amberpin/node/node.h"

#include <math.h>
#include <string.h>

enum {
    MACHINES_PER_PAGE = 500, /* the protocol allows no more */
    MAX_PAGE_FAILURES = 5,   /* consecutive failures of a page after which the listing starts over */
};

/* The share of all calls to the cloud that a listing of several pages may use. The rest is left for scale out
 * and scale in. */
static const double LIST_CALL_SHARE = 0.25;
/* The minimum time between listings, in multiples of the list lag. */
static const double INTERVAL_LAGS = 0.25;
/* The delay before a failed page is requested again, in heartbeat periods. */
static const double PAGE_RETRY_HEARTBEATS = 0.25;

/* ---- contents of a page ---- */

/* Takes over the age that the cloud reports. A new leader that measured boot times from its own start
 * released six machines that never finished booting only at 604 s, although they had been paid for since 250
 * s. */
static void apply_listed_age(struct amb_machine *machine, const struct amb_cloud_machine *listed, bool is_new,
                             amb_ms requested_at) {
    if (!listed->is_age_known) return;
    amb_ms created_at = requested_at - amb_seconds_to_ms(listed->age_s);
    if (created_at < machine->created_at) machine->created_at = created_at;
    if (is_new) machine->exists_since = created_at;
}

static void apply_machine(struct amb_node *node, const struct amb_cloud_machine *listed) {
    struct amb_machine_list *list = &node->cloud.list;
    strcpy(list->cursor, listed->name);
    bool is_new = !amb_machine_get(node, listed->name, false);
    struct amb_machine *machine = amb_machine_get(node, listed->name, true);
    if (!machine) return;
    machine->last_listing = list->generation;
    machine->last_listed_at = list->page_requested_at;
    amb_machine_set_location(node, machine, listed->type, listed->zone);
    if (!machine->address[0]) strcpy(machine->address, listed->address);
    apply_listed_age(machine, listed, is_new, list->page_requested_at);
    if (is_new) machine->spot = listed->spot;
    if (is_new && listed->state == AMB_CLOUD_MACHINE_BOOTING)
        amb_machine_set_state(machine, AMB_MACHINE_BOOTING, "listed");
    /* A listing may be stale, but a failed machine never recovers. */
    if (listed->state == AMB_CLOUD_MACHINE_FAILED && machine->state != AMB_MACHINE_RELEASING) {
        machine->failed_by_cloud = true;
        amb_cloud_release(node, machine, "the cloud says it failed");
    }
}

static void finish_list(struct amb_node *node, amb_ms started_at) {
    node->cloud.list.completed = true;
    amb_ms span = amb_absence_list_span(node->settings.list_lag_s, node->settings.heartbeat_s);
    struct amb_machine *machine, *next;
    HASH_ITER(hh, node->fleet.machines, machine, next) {
        if (machine->last_listing == node->cloud.list.generation) continue;
        const struct amb_list_evidence evidence = {.list_span = span,
                                                   .list_sent_at = started_at,
                                                   .first_known_at = machine->first_known_at,
                                                   .last_heartbeat_at = machine->last_heartbeat_at,
                                                   .last_listed_at = machine->last_listed_at};
        enum amb_absence proof = amb_absence_by_list(&evidence);
        if (amb_absence_is_proven(proof)) amb_cloud_post_machine_gone(node, machine, proof);
    }
}

static void apply_page(struct amb_node *node, const struct amb_cloud_page *page) {
    struct amb_machine_list *list = &node->cloud.list;
    struct amb_cbor_cursor position = page->entries;
    struct amb_cloud_machine machine;
    while (amb_codec_next_machine(&position, &machine)) apply_machine(node, &machine);
    list->page_failures = 0;
    list->page_count++;
    if (page->truncated && page->count) {
        list->state = AMB_MACHINE_LIST_PAGE_DUE;
        return;
    }
    list->state = AMB_MACHINE_LIST_IDLE;
    finish_list(node, list->started_at);
}

/* Handles a page that was refused or not answered. After a failure of the first page, a new listing starts
 * when it is due. A later page is requested again, because a listing of 4,000 machines has eight pages. */
static void handle_page_failure(struct amb_node *node) {
    struct amb_machine_list *list = &node->cloud.list;
    bool is_retried = list->page_count > 0 && ++list->page_failures < MAX_PAGE_FAILURES;
    list->page_retry_at = amb_now() + amb_seconds_to_ms(node->settings.heartbeat_s * PAGE_RETRY_HEARTBEATS);
    list->state = is_retried ? AMB_MACHINE_LIST_PAGE_DUE : AMB_MACHINE_LIST_IDLE;
}

/* ---- requests ---- */

static void request_page_if_due(struct amb_node *node, amb_ms now);

static void handle_page(void *arg, int status, const char *body, size_t body_size) {
    struct amb_node *node = amb_cloud_call_take(arg);
    struct amb_cloud_page page;
    if (!node) return;
    amb_cloud_handle_status(node, status);
    const struct amb_cbor_item *item = status == 200 ? amb_cbor_parse(body, body_size) : NULL;
    if (amb_codec_decode_page(item, &page))
        apply_page(node, &page);
    else
        handle_page_failure(node);
    request_page_if_due(node, amb_now());
}

static void request_page(struct amb_node *node) {
    struct amb_machine_list *list = &node->cloud.list;
    char path[AMB_CLOUD_LIST_PATH_SIZE];
    amb_codec_format_list_path(path, list->cursor, MACHINES_PER_PAGE);
    list->state = AMB_MACHINE_LIST_PAGE_PENDING;
    list->page_requested_at = amb_now();
    amb_cloud_get(node, path, handle_page, amb_cloud_call_new(node));
}

/* Requests the page that is due if a call may be made at `now`. Otherwise the next tick tries again. */
static void request_page_if_due(struct amb_node *node, amb_ms now) {
    const struct amb_machine_list *list = &node->cloud.list;
    if (list->state != AMB_MACHINE_LIST_PAGE_DUE || now < list->page_retry_at) return;
    if (amb_cloud_take_token(node, now)) request_page(node);
}

static amb_ms list_interval(const struct amb_node *node) {
    double seconds = fmax(node->settings.list_lag_s * INTERVAL_LAGS, node->settings.heartbeat_s);
    uint32_t pages = node->cloud.list.page_count;
    if (pages > 1) seconds = fmax(seconds, pages / (node->settings.cloud_rps * LIST_CALL_SHARE));
    return amb_seconds_to_ms(seconds);
}

static void start_list(struct amb_node *node, amb_ms now) {
    struct amb_machine_list *list = &node->cloud.list;
    list->started_at = now;
    list->generation++;
    list->cursor[0] = 0;
    list->page_count = list->page_failures = 0;
    list->page_retry_at = 0;
    request_page(node);
}

void amb_cloud_list_tick(struct amb_node *node, amb_ms now) {
    const struct amb_machine_list *list = &node->cloud.list;
    if (list->state != AMB_MACHINE_LIST_IDLE)
        request_page_if_due(node, now);
    else if (now - list->started_at > list_interval(node) && amb_cloud_take_token(node, now))
        start_list(node, now);
}
