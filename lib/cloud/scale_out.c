#include "amberpin/cloud/scale_out.h"

#include "amberpin/base/log.h"
#include "amberpin/cloud/cloud_calls.h"
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/events.h"
#include "amberpin/node/node.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char PREFIX[] = "b/r/";
enum { RENT_MAX = 50 };

/* ---- the list of requests ---- */

static void request_state(struct amb_rental_request *request, int to, const char *cause) {
    static const char *const names[] = {"recording", "asking", "done", "removing"};
    amb_debug("rental request %s: %s -> %s: %s", request->id, names[request->state], names[to], cause);
    request->state = to;
}

struct amb_rental_request *amb_rental_request_find(struct amb_node *node, const char *id) {
    struct amb_rental_request *request = node->cloud.requests;
    while (request && strcmp(request->id, id)) request = request->next;
    return request;
}

void amb_rental_request_drop(struct amb_node *node, struct amb_rental_request *request) {
    struct amb_rental_request **at = &node->cloud.requests;
    while (*at != request) at = &(*at)->next;
    *at = request->next;
    free(request);
}

/* The request that an answer is for; NULL: it is none of this term. Frees the call. */
static struct amb_rental_request *request_of(void *arg, struct amb_node **node) {
    struct amb_cloud_call *call = arg;
    *node = call->node;
    struct amb_rental_request *request =
        amb_cloud_call_current(call) ? amb_rental_request_find(*node, call->request) : NULL;
    free(call);
    if (request) request->busy = false;
    return request;
}

static struct amb_cloud_call *request_call(struct amb_node *node, struct amb_rental_request *request) {
    struct amb_cloud_call *call = amb_cloud_call_new(node);
    strcpy(call->request, request->id);
    request->busy = true;
    return call;
}

/* The longest waiting is asked for first. */
static void request_append(struct amb_rental *rental, struct amb_rental_request *request) {
    struct amb_rental_request **at = &rental->requests;
    while (*at) at = &(*at)->next;
    request->next = NULL;
    *at = request;
}

/* What the holder of the rent duty may call at a time, as far as is known here. */
static double holders_calls(const struct amb_node *node) {
    enum { BURST_SECONDS = 2 }; /* the protocol */
    return node->settings.cloud_rps * AMB_CLOUD_RENT_SHARE * BURST_SECONDS;
}

/* Calls are few: what is wanted beyond those that can be made now stays in the plan, where what is wanted of
 * the same kind adds up until its turn comes. (At the start of a day it all stood in a queue, 25 calls for a
 * machine or two each before the 9 that had been wanted first, 18 s late.) */
uint32_t amb_rental_calls(struct amb_node *node, amb_ms now) {
    enum amb_rental_path path = amb_duties_path(node);
    if (path == AMB_RENTAL_PAUSED) return 0;
    amb_cloud_refill(node, now);
    double tokens = path == AMB_RENTAL_BY_HOLDER ? holders_calls(node) : node->cloud.calls.tokens;
    double left = fmax(tokens, 1);
    for (struct amb_rental_request *request = node->cloud.requests; request; request = request->next)
        if (request->state == AMB_REQUEST_RECORDING ||
            (request->state == AMB_REQUEST_ASKING && !request->busy))
            left -= 1;
    return left > 0 ? (uint32_t)left : 0;
}

void amb_rental_want(struct amb_node *node, int type, int zone, bool spot, uint32_t count) {
    struct amb_rental *rental = &node->cloud;
    struct amb_rental_request *request = amb_alloc(sizeof *request);
    /* The term is never used twice, nor is the counter within it. */
    snprintf(request->id, sizeof request->id, "r-%llu-%llu", (unsigned long long)node->election.term,
             (unsigned long long)++rental->counter);
    request->type = type;
    request->zone = zone;
    request->spot = spot;
    request->count = count > RENT_MAX ? RENT_MAX : count;
    request->node = node;
    request->by_order = amb_duties_path(node) == AMB_RENTAL_BY_HOLDER;
    uint32_t recordable = amb_duty_machines_most(amb_settings_lowered_limits(&node->settings).value_kb);
    if (request->by_order && request->count > recordable) request->count = recordable;
    request_append(rental, request);
    amb_info("rental request %s: wants %u %s in %s%s", request->id, request->count,
             node->catalog.types[type].name, node->catalog.zones[zone], spot ? ", spot" : "");
}

static void recorded(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node;
    struct amb_rental_request *request = request_of(arg, &node);
    (void)body;
    if (!request) return;
    /* No answer: asking is safe all the same, since a successor that finds no record loses nothing but the
     * names, which the list shows. */
    if (status == 200 || status == 0)
        request_state(request, AMB_REQUEST_ASKING, "recorded");
    else if (status == 409)
        amb_rental_request_drop(node, request);
    else
        request->retry_at = amb_now() + node->store.call_timeout / 4;
}

static void record(struct amb_node *node, struct amb_rental_request *request) {
    char key[80];
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    snprintf(key, sizeof key, "%s%s", PREFIX, request->id);
    amb_w_map(&value, 4);
    amb_w_str(&value, "type");
    amb_w_str(&value, node->catalog.types[request->type].name);
    amb_w_str(&value, "zone");
    amb_w_str(&value, node->catalog.zones[request->zone]);
    amb_w_str(&value, "spot");
    amb_w_bool(&value, request->spot);
    amb_w_str(&value, "count");
    amb_w_uint(&value, request->count);
    amb_txn_require_leadership(&transaction, node);
    amb_txn_put(&transaction, key, &value, 0);
    amb_buf_free(&value);
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_PLACEMENT, recorded,
                     request_call(node, request));
}

/* ---- what came of a request, whoever asked the cloud ---- */

void amb_rental_learn(struct amb_node *node, const struct amb_rental_kind *kind, const char *name) {
    bool known = amb_machine_get(node, name, false) != NULL;
    struct amb_machine *machine = amb_machine_get(node, name, true);
    if (!machine) return;
    machine->type_index = kind->type;
    amb_machine_learn_zone(machine, kind->zone);
    machine->spot = kind->spot;
    if (!known) amb_machine_state(machine, AMB_MACHINE_BOOTING, "rented");
}

static struct amb_refusal *refusal_of(struct amb_node *node, const struct amb_rental_request *request) {
    return &node->cloud.refused[request->type][request->zone][request->spot];
}

void amb_rental_filled(struct amb_node *node, const struct amb_rental_request *request, size_t got) {
    struct amb_refusal *refusal = refusal_of(node, request);
    amb_info("rental request %s: got %zu of %u", request->id, got, request->count);
    if (got < request->count)
        refusal->until = amb_now() + amb_secs(node->settings.lease_s * 1.5);
    else
        refusal->times = 0;
}

void amb_rental_no_capacity(struct amb_node *node, const struct amb_rental_request *request) {
    struct amb_refusal *refusal = refusal_of(node, request);
    refusal->times++;
    refusal->until = amb_now() + amb_secs(node->settings.lease_s * (refusal->times > 4 ? 4 : refusal->times));
    amb_info("rental request %s: no capacity", request->id);
}

/* ---- the leader's own calls ---- */

static void rented(void *arg, int status, const char *body, size_t len) {
    struct amb_node *node;
    struct amb_rental_request *request = request_of(arg, &node);
    if (!request) return;
    amb_cloud_note_status(node, status);
    amb_ms now = amb_now();
    cbor_item_t *item = len ? amb_cbor_parse(body, len) : NULL;
    if (status == 200 && item) {
        struct amb_rental_kind kind = {request->type, request->zone, request->spot};
        const cbor_item_t *rigs = amb_cbor_get(item, "rigs");
        size_t got = amb_cbor_len(rigs);
        for (size_t i = 0; i < got; i++) {
            char name[AMB_NAME_SIZE];
            if (amb_cbor_str(amb_cbor_at(rigs, i), name, sizeof name)) amb_rental_learn(node, &kind, name);
        }
        amb_rental_filled(node, request, got);
        request->done_at = now;
        request_state(request, AMB_REQUEST_DONE, "answered");
        amb_node_request_cycle(node);
    } else if (status == 503 && amb_cbor_eq(amb_cbor_get(item, "error"), "no capacity")) {
        amb_rental_no_capacity(node, request);
        request_state(request, AMB_REQUEST_REMOVING, "no capacity");
        amb_node_request_cycle(node);
    } else if (status == 400) {
        amb_error("rental request %s: the cloud calls it malformed", request->id);
        request_state(request, AMB_REQUEST_REMOVING, "malformed");
    } else { /* no answer, an outage, too many calls: the same name again rents nothing twice */
        request->retry_at = now + amb_secs(node->settings.report_s / 2);
    }
    if (item) cbor_decref(&item);
}

static void ask(struct amb_node *node, struct amb_rental_request *request) {
    struct amb_buf body = {0};
    amb_w_map(&body, 5);
    amb_w_str(&body, "charter");
    amb_w_str(&body, request->id);
    amb_w_str(&body, "hull");
    amb_w_str(&body, node->catalog.types[request->type].name);
    amb_w_str(&body, "yard");
    amb_w_str(&body, node->catalog.zones[request->zone]);
    amb_w_str(&body, "driftwood");
    amb_w_bool(&body, request->spot);
    amb_w_str(&body, "count");
    amb_w_uint(&body, request->count);
    amb_http_call(node->settings.cloud, "POST", "/machines", "application/cbor", body.data, body.len,
                  amb_secs(node->settings.report_s * 2), rented, request_call(node, request));
    amb_buf_free(&body);
}

static void unrecorded(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node;
    struct amb_rental_request *request = request_of(arg, &node);
    (void)body;
    if (!request) return;
    if (status == 200 || status == 409)
        amb_rental_request_drop(node, request);
    else
        request->retry_at = amb_now() + node->store.call_timeout;
}

static void unrecord(struct amb_node *node, struct amb_rental_request *request) {
    char key[80];
    struct amb_txn transaction = {0};
    snprintf(key, sizeof key, "%s%s", PREFIX, request->id);
    amb_txn_require_leadership(&transaction, node);
    amb_txn_remove(&transaction, key);
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_READ, unrecorded,
                     request_call(node, request));
}

void amb_rental_load(struct amb_node *node, const char *key, const cbor_item_t *value) {
    char name[AMB_NAME_SIZE];
    uint64_t count;
    if (strncmp(key, PREFIX, sizeof PREFIX - 1)) return;
    struct amb_rental_request *request = amb_alloc(sizeof *request);
    snprintf(request->id, sizeof request->id, "%s", key + sizeof PREFIX - 1);
    request->type = amb_cbor_str(amb_cbor_get(value, "type"), name, sizeof name)
                        ? amb_catalog_find_type(&node->catalog, name)
                        : -1;
    request->zone = amb_cbor_str(amb_cbor_get(value, "zone"), name, sizeof name)
                        ? amb_catalog_find_or_add_zone(&node->catalog, name)
                        : -1;
    amb_cbor_bool(amb_cbor_get(value, "spot"), &request->spot);
    if (!amb_cbor_uint(amb_cbor_get(value, "count"), &count) || request->type < 0 || request->zone < 0) {
        free(request);
        return;
    }
    request->count = (uint32_t)count;
    request->node = node;
    request->state = AMB_REQUEST_ASKING; /* repeated: the answer names what an earlier leader rented */
    if (node->duties.mode == AMB_DUTY_MODE_DUTIES) {
        /* It had been answered before duties came into use; the leader calls no more. */
        request->state = AMB_REQUEST_DONE;
        request->done_at = amb_now();
    }
    request_append(&node->cloud, request);
}

struct amb_rental_request *amb_rental_request_ordered(struct amb_node *node, const char *id,
                                                      const struct amb_rental_kind *kind, uint32_t count) {
    struct amb_rental_request *request = amb_alloc(sizeof *request);
    snprintf(request->id, sizeof request->id, "%s", id);
    request->type = kind->type;
    request->zone = kind->zone;
    request->spot = kind->spot;
    request->count = count;
    request->node = node;
    request->by_order = true;
    request->state = AMB_REQUEST_ASKING;
    request_append(&node->cloud, request);
    return request;
}

bool amb_rental_refused(const struct amb_node *node, int type, int zone, bool spot, amb_ms now) {
    return now < node->cloud.refused[type][zone][spot].until;
}

/* ---- the module's turn ---- */

static void tick_request(struct amb_node *node, struct amb_rental_request *request, amb_ms now) {
    if (request->busy || now < request->retry_at) return;
    if (request->by_order) return; /* see amb_duties_order_rentals */
    switch (request->state) {
    case AMB_REQUEST_RECORDING:
        if (amb_election_may_act(node)) record(node, request);
        break;
    case AMB_REQUEST_ASKING:
        if (amb_election_may_act(node) && amb_cloud_take_token(node, now)) ask(node, request);
        break;
    case AMB_REQUEST_DONE:
        /* Kept until the machines must be listed: until then only this record tells a successor of them. */
        if (now - request->done_at > amb_secs(node->settings.list_lag_s * 2.2))
            request_state(request, AMB_REQUEST_REMOVING, "listed by now");
        break;
    case AMB_REQUEST_REMOVING:
        if (amb_election_may_act(node)) unrecord(node, request);
        break;
    }
}

void amb_rental_requests_tick(struct amb_node *node, amb_ms now) {
    struct amb_rental *rental = &node->cloud;
    for (struct amb_rental_request *request = rental->requests, *next; request; request = next) {
        next = request->next;
        tick_request(node, request, now);
    }
}

void amb_rental_requests_clear(struct amb_node *node) {
    while (node->cloud.requests) amb_rental_request_drop(node, node->cloud.requests);
}
