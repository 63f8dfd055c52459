#include "amberpin/cloud/machine_list.h"

#include "amberpin/cloud/cloud_calls.h"
#include "amberpin/cloud/machine_release.h"
#include "amberpin/node/node.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    LIST_PAGE_MACHINES = 500, /* machines (the protocol) */
    MAX_PAGE_FAILURES = 5,    /* in a row; then the listing begins anew */
};

/* Of all calls to the cloud, what a listing of many pages may take: the rest rents and returns. */
static const double LIST_CALL_SHARE = 0.25;

static void apply_entry(struct amb_node *node, const cbor_item_t *entry, amb_ms requested_at) {
    char name[AMB_NAME_SIZE];
    double held = 0;
    if (!amb_cbor_copy_string(amb_cbor_map_get(entry, "ref"), name, sizeof name)) return;
    snprintf(node->cloud.list_cursor, sizeof node->cloud.list_cursor, "%s", name);
    bool known = amb_machine_get(node, name, false) != NULL;
    struct amb_machine *machine = amb_machine_get(node, name, true);
    if (!machine) return;
    const cbor_item_t *stance = amb_cbor_map_get(entry, "stance");
    machine->last_listing = node->cloud.list_generation;
    machine->last_listed_at = requested_at;
    char type[AMB_NAME_SIZE] = "", zone[AMB_NAME_SIZE] = "";
    amb_cbor_copy_string(amb_cbor_map_get(entry, "hull"), type, sizeof type);
    amb_cbor_copy_string(amb_cbor_map_get(entry, "yard"), zone, sizeof zone);
    amb_machine_set_location(node, machine, type, zone);
    if (!machine->address[0])
        amb_cbor_copy_string(amb_cbor_map_get(entry, "address"), machine->address, sizeof machine->address);
    bool age_known = amb_cbor_get_number(amb_cbor_map_get(entry, "held_s"), &held);
    /* (A new leader once counted boots that would never end from its own beginning: six machines that had
     * been paid for since 250 s were returned at 604 s.) */
    amb_ms rented_at = requested_at - amb_seconds_to_ms(held);
    if (age_known && rented_at < machine->created_at) machine->created_at = rented_at;
    if (!known) {
        amb_cbor_get_bool(amb_cbor_map_get(entry, "driftwood"), &machine->spot);
        if (age_known) machine->exists_since = rented_at;
        if (amb_cbor_equals(stance, "booting")) amb_machine_set_state(machine, AMB_MACHINE_BOOTING, "listed");
    }
    /* A list may be old, but a machine that failed once never works again. */
    if (amb_cbor_equals(stance, "failed") && machine->state != AMB_MACHINE_RELEASING) {
        machine->failed_by_cloud = true;
        amb_cloud_release(node, machine, "the cloud says it failed");
    }
}

static void finish_list(struct amb_node *node, amb_ms started_at) {
    node->cloud.list_completed = true;
    amb_ms span = amb_absence_list_span(node->settings.list_lag_s, node->settings.heartbeat_s);
    struct amb_machine *machine, *next;
    HASH_ITER(hh, node->fleet.machines, machine, next) {
        if (machine->last_listing == node->cloud.list_generation) continue;
        const struct amb_list_evidence evidence = {.list_span = span,
                                                   .list_sent_at = started_at,
                                                   .first_known_at = machine->first_known_at,
                                                   .last_heartbeat_at = machine->last_heartbeat_at,
                                                   .last_listed_at = machine->last_listed_at};
        enum amb_absence proof = amb_absence_by_list(&evidence);
        if (amb_absence_is_proven(proof)) amb_cloud_post_machine_gone(node, machine, proof);
    }
}

/* A page was refused, or its answer lost. The first: another listing begins when its turn comes. A later one
 * is asked for again, since a listing of 4,000 machines has eight. */
static void handle_page_failure(struct amb_node *node) {
    struct amb_cloud *cloud = &node->cloud;
    cloud->list_page_due = cloud->list_pages > 0 && ++cloud->page_failures < MAX_PAGE_FAILURES;
    cloud->page_retry_at = amb_now() + amb_seconds_to_ms(node->settings.heartbeat_s / 4);
    if (!cloud->list_page_due) cloud->list_in_progress = false;
}

static void apply_page(struct amb_node *node, const cbor_item_t *page) {
    struct amb_cloud *cloud = &node->cloud;
    const cbor_item_t *rigs = amb_cbor_map_get(page, "rigs");
    bool more = false;
    amb_cbor_get_bool(amb_cbor_map_get(page, "truncated"), &more);
    for (size_t i = 0; i < amb_cbor_list_length(rigs); i++)
        apply_entry(node, amb_cbor_list_item(rigs, i), cloud->page_requested_at);
    cloud->page_failures = 0;
    cloud->list_pages++;
    cloud->list_page_due = more && amb_cbor_list_length(rigs);
    if (cloud->list_page_due) return;
    cloud->list_in_progress = false;
    finish_list(node, cloud->list_began);
}

static void request_next_page(struct amb_node *node, amb_ms now);

static void handle_page(void *arg, int status, const char *body, size_t body_size) {
    struct amb_node *node = amb_cloud_call_take(arg);
    if (!node) return;
    amb_cloud_note_status(node, status);
    cbor_item_t *page = status == 200 ? amb_cbor_parse(body, body_size) : NULL;
    if (page && cbor_isa_map(page) && amb_cbor_map_get(page, "rigs"))
        apply_page(node, page);
    else
        handle_page_failure(node);
    if (page) cbor_decref(&page);
    request_next_page(node, amb_now());
}

static void request_page(struct amb_node *node) {
    char path[160];
    struct amb_cloud *cloud = &node->cloud;
    if (cloud->list_cursor[0])
        snprintf(path, sizeof path, "/machines?after=%s&most=%d", cloud->list_cursor, LIST_PAGE_MACHINES);
    else
        snprintf(path, sizeof path, "/machines?most=%d", LIST_PAGE_MACHINES);
    cloud->list_page_due = false;
    cloud->page_requested_at = amb_now();
    amb_http_call(node->settings.cloud_addr, "GET", path, NULL, NULL, 0,
                  amb_seconds_to_ms(node->settings.heartbeat_s * 3), handle_page, amb_cloud_call_new(node));
}

/* The next page, if one is due and a call may be made now; else the module's turn tries again. */
static void request_next_page(struct amb_node *node, amb_ms now) {
    const struct amb_cloud *cloud = &node->cloud;
    if (!cloud->list_page_due || now < cloud->page_retry_at || !amb_cloud_take_token(node, now)) return;
    request_page(node);
}

/* ---- the module's turn ---- */

static amb_ms list_interval(const struct amb_node *node) {
    double seconds = fmax(node->settings.list_lag_s * 0.25, node->settings.heartbeat_s);
    uint32_t pages = node->cloud.list_pages;
    if (pages > 1) seconds = fmax(seconds, pages / (node->settings.cloud_rps * LIST_CALL_SHARE));
    return amb_seconds_to_ms(seconds);
}

static void start_list(struct amb_node *node, amb_ms now) {
    struct amb_cloud *cloud = &node->cloud;
    cloud->list_started_at = cloud->list_began = now;
    cloud->list_generation++;
    cloud->list_cursor[0] = 0;
    cloud->list_pages = cloud->page_failures = 0;
    cloud->page_retry_at = 0;
    cloud->list_in_progress = true;
    request_page(node);
}

void amb_cloud_list_tick(struct amb_node *node, amb_ms now) {
    struct amb_cloud *cloud = &node->cloud;
    if (cloud->list_in_progress)
        request_next_page(node, now);
    else if (now - cloud->list_started_at > list_interval(node) && amb_cloud_take_token(node, now))
        start_list(node, now);
}
