#include "amberpin/cloud/machine_list.h"

#include "amberpin/cloud/cloud_calls.h"
#include "amberpin/cloud/machine_release.h"
#include "amberpin/node/node.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    LIST_PAGE = 500,       /* machines (the protocol) */
    PAGE_FAILURES_MAX = 5, /* in a row; then the listing begins anew */
};

/* Of all calls to the cloud, what a listing of many pages may take: the rest rents and returns. */
static const double LIST_CALLS_SHARE = 0.25;

static void listed_machine(struct amb_node *node, const cbor_item_t *entry, amb_ms asked_at) {
    char name[AMB_NAME_SIZE];
    double held = 0;
    if (!amb_cbor_str(amb_cbor_get(entry, "ref"), name, sizeof name)) return;
    snprintf(node->cloud.list_after, sizeof node->cloud.list_after, "%s", name);
    bool known = amb_machine_get(node, name, false) != NULL;
    struct amb_machine *machine = amb_machine_get(node, name, true);
    if (!machine) return;
    const cbor_item_t *stance = amb_cbor_get(entry, "stance");
    machine->last_listing = node->cloud.list_pass;
    machine->listed = true;
    machine->last_listed_at = asked_at;
    char type[AMB_NAME_SIZE] = "", zone[AMB_NAME_SIZE] = "";
    amb_cbor_str(amb_cbor_get(entry, "hull"), type, sizeof type);
    amb_cbor_str(amb_cbor_get(entry, "yard"), zone, sizeof zone);
    amb_machine_learn_place(node, machine, type, zone);
    if (!machine->address[0])
        amb_cbor_str(amb_cbor_get(entry, "address"), machine->address, sizeof machine->address);
    bool age_known = amb_cbor_num(amb_cbor_get(entry, "held_s"), &held);
    /* (A new leader once counted boots that would never end from its own beginning: six machines that had
     * been paid for since 250 s were returned at 604 s.) */
    amb_ms rented_at = asked_at - amb_secs(held);
    if (age_known && rented_at < machine->created_at) machine->created_at = rented_at;
    if (!known) {
        amb_cbor_bool(amb_cbor_get(entry, "driftwood"), &machine->spot);
        if (age_known) machine->exists_since = rented_at;
        if (amb_cbor_eq(stance, "booting")) amb_machine_state(machine, AMB_MACHINE_BOOTING, "listed");
    }
    /* A list may be old, but a machine that failed once never works again. */
    if (amb_cbor_eq(stance, "failed") && machine->state != AMB_MACHINE_RELEASING) {
        machine->failed_by_cloud = true;
        amb_rental_release(node, machine, "the cloud says it failed");
    }
}

static void list_over(struct amb_node *node, amb_ms began) {
    node->cloud.listed = true;
    amb_ms span = amb_absence_list_span(node->settings.list_lag_s, node->settings.report_s);
    struct amb_machine *machine, *next;
    HASH_ITER(hh, node->fleet.all, machine, next) {
        if (machine->last_listing == node->cloud.list_pass) continue;
        const struct amb_list_evidence evidence = {.list_span = span,
                                                   .list_sent_at = began,
                                                   .first_known_at = machine->first_known_at,
                                                   .last_heartbeat_at = machine->last_heartbeat_at,
                                                   .last_listed_at = machine->last_listed_at};
        enum amb_absence proof = amb_absence_by_list(&evidence);
        if (amb_absence_is_proven(proof)) amb_machine_post_gone(node, machine, proof);
    }
}

/* A page was refused, or its answer lost. The first: another listing begins when its turn comes. A later one
 * is asked for again, since a listing of 4,000 machines has eight. */
static void page_failed(struct amb_node *node) {
    struct amb_rental *rental = &node->cloud;
    rental->list_page_due = rental->list_pages > 0 && ++rental->list_failures < PAGE_FAILURES_MAX;
    rental->list_retry_at = amb_now() + amb_secs(node->settings.report_s / 4);
    if (!rental->list_page_due) rental->listing = false;
}

static void page_read(struct amb_node *node, const cbor_item_t *page) {
    struct amb_rental *rental = &node->cloud;
    const cbor_item_t *rigs = amb_cbor_get(page, "rigs");
    bool more = false;
    amb_cbor_bool(amb_cbor_get(page, "truncated"), &more);
    for (size_t i = 0; i < amb_cbor_len(rigs); i++)
        listed_machine(node, amb_cbor_at(rigs, i), rental->page_asked_at);
    rental->list_failures = 0;
    rental->list_pages++;
    rental->list_page_due = more && amb_cbor_len(rigs);
    if (rental->list_page_due) return;
    rental->listing = false;
    list_over(node, rental->list_began);
}

static void list_next_page(struct amb_node *node, amb_ms now);

static void list_done(void *arg, int status, const char *body, size_t len) {
    struct amb_node *node = amb_cloud_call_take(arg);
    if (!node) return;
    amb_cloud_note_status(node, status);
    cbor_item_t *page = status == 200 ? amb_cbor_parse(body, len) : NULL;
    if (page && cbor_isa_map(page) && amb_cbor_get(page, "rigs"))
        page_read(node, page);
    else
        page_failed(node);
    if (page) cbor_decref(&page);
    list_next_page(node, amb_now());
}

static void list_page(struct amb_node *node) {
    char path[160];
    struct amb_rental *rental = &node->cloud;
    if (rental->list_after[0])
        snprintf(path, sizeof path, "/machines?after=%s&most=%d", rental->list_after, LIST_PAGE);
    else
        snprintf(path, sizeof path, "/machines?most=%d", LIST_PAGE);
    rental->list_page_due = false;
    rental->page_asked_at = amb_now();
    amb_http_call(node->settings.cloud, "GET", path, NULL, NULL, 0, amb_secs(node->settings.report_s * 3),
                  list_done, amb_cloud_call_new(node));
}

/* The next page, if one is due and a call may be made now; else the module's turn tries again. */
static void list_next_page(struct amb_node *node, amb_ms now) {
    const struct amb_rental *rental = &node->cloud;
    if (!rental->list_page_due || now < rental->list_retry_at || !amb_cloud_take_token(node, now)) return;
    list_page(node);
}

/* ---- the module's turn ---- */

static amb_ms pace(const struct amb_node *node) {
    double seconds = fmax(node->settings.list_lag_s * 0.25, node->settings.report_s);
    uint32_t pages = node->cloud.list_pages;
    if (pages > 1) seconds = fmax(seconds, pages / (node->settings.cloud_rps * LIST_CALLS_SHARE));
    return amb_secs(seconds);
}

static void begin_listing(struct amb_node *node, amb_ms now) {
    struct amb_rental *rental = &node->cloud;
    rental->list_at = rental->list_began = now;
    rental->list_pass++;
    rental->list_after[0] = 0;
    rental->list_pages = rental->list_failures = 0;
    rental->list_retry_at = 0;
    rental->listing = true;
    list_page(node);
}

void amb_machine_list_tick(struct amb_node *node, amb_ms now) {
    struct amb_rental *rental = &node->cloud;
    if (rental->listing)
        list_next_page(node, now);
    else if (now - rental->list_at > pace(node) && amb_cloud_take_token(node, now))
        begin_listing(node, now);
}
