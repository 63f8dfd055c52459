#include "amberpin/log.h"
#include "amberpin/node.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char PREFIX[] = "b/r/";
static const char LEADER_KEY[] = "a/leader";
enum { LIST_PAGE = 500, RENT_MAX = 50, RELEASE_MAX = 100 };

/* ---- calls ---- */

struct cloud_call {
    struct amb_node *node;
    uint64_t term;
    amb_ms began;
    char request[48];
};

static struct cloud_call *call_new(struct amb_node *node) {
    struct cloud_call *call = amb_alloc(sizeof *call);
    call->node = node;
    call->term = node->election.term;
    call->began = amb_now();
    return call;
}

/* Is the answer still for this node's term? */
static bool current(const struct cloud_call *call) {
    return amb_holds_lead(call->node) && call->node->election.term == call->term;
}

static void refill(struct amb_node *node, amb_ms now) {
    struct amb_rental *rental = &node->rental;
    /* The leader makes nearly all calls; the others read the catalogue once. */
    double share = node->set.npeers ? (amb_leads(node) ? 0.8 : 0.2 / node->set.npeers) : 1.0;
    rental->calls.seconds = 2; /* the protocol: bursts worth two seconds are permitted */
    amb_budget_rate(&rental->calls, node->set.cloud_rps * share);
    amb_budget_refill(&rental->calls, now);
}

static bool take_token(struct amb_node *node, amb_ms now) {
    struct amb_rental *rental = &node->rental;
    refill(node, now);
    if (now < rental->held_until || amb_budget_wait(&rental->calls, 1) > 0) return false;
    rental->calls.tokens -= 1;
    return true;
}

static void note_status(struct amb_node *node, int status) {
    if (status == 429) node->rental.held_until = amb_now() + amb_secs(1.0 / node->set.cloud_rps);
}

/* ---- the catalogue ---- */

static void catalog_done(void *arg, int status, const char *body, size_t len) {
    struct cloud_call *call = arg;
    struct amb_node *node = call->node;
    free(call);
    note_status(node, status);
    cbor_item_t *item = status == 200 ? amb_cbor_parse(body, len) : NULL;
    const cbor_item_t *types = amb_cbor_get(item, "hulls");
    for (size_t i = 0; i < amb_cbor_len(types); i++) {
        struct amb_type type;
        if (!amb_codec_type(amb_cbor_at(types, i), &type)) continue;
        int place = amb_catalog_type(&node->catalog, type.name);
        if (place < 0 && node->catalog.ntypes < AMB_TYPES) place = (int)node->catalog.ntypes++;
        if (place < 0) {
            amb_error("the cloud offers more than %d types: %s is not used", AMB_TYPES, type.name);
            continue;
        }
        node->catalog.types[place] = type;
        for (uint32_t zone = 0; zone < type.nzones; zone++)
            amb_catalog_zone(&node->catalog, type.zones[zone]);
        node->rental.catalog_known = true;
    }
    if (item) cbor_decref(&item);
}

/* ---- rentals: recorded, then asked for, and known by name before anything else is rented for the need ----
 */

static void request_state(struct amb_rental_request *request, int to, const char *cause) {
    static const char *const names[] = {"recording", "asking", "done", "removing"};
    amb_debug("rental request %s: %s -> %s: %s", request->id, names[request->state], names[to], cause);
    request->state = to;
}

static struct amb_rental_request *request_find(struct amb_node *node, const char *id) {
    struct amb_rental_request *request = node->rental.requests;
    while (request && strcmp(request->id, id)) request = request->next;
    return request;
}

static void request_drop(struct amb_node *node, struct amb_rental_request *request) {
    struct amb_rental_request **at = &node->rental.requests;
    while (*at != request) at = &(*at)->next;
    *at = request->next;
    free(request);
}

static struct amb_rental_request *request_of(void *arg, struct amb_node **node) {
    struct cloud_call *call = arg;
    *node = call->node;
    struct amb_rental_request *request = current(call) ? request_find(*node, call->request) : NULL;
    free(call);
    if (request) request->busy = false;
    return request;
}

static struct cloud_call *request_call(struct amb_node *node, struct amb_rental_request *request) {
    struct cloud_call *call = call_new(node);
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

/* Calls are few: what is wanted beyond those that can be made now stays in the plan, where what is wanted of
 * the same kind adds up until its turn comes. (At the start of a day it all stood in a queue, 25 calls for a
 * machine or two each before the 9 that had been wanted first, 18 s late.) */
uint32_t amb_rental_calls(struct amb_node *node, amb_ms now) {
    refill(node, now);
    double left = fmax(node->rental.calls.tokens, 1);
    for (struct amb_rental_request *request = node->rental.requests; request; request = request->next)
        if (request->state == AMB_REQUEST_RECORDING ||
            (request->state == AMB_REQUEST_ASKING && !request->busy))
            left -= 1;
    return left > 0 ? (uint32_t)left : 0;
}

void amb_rental_want(struct amb_node *node, int type, int zone, bool spot, uint32_t count) {
    struct amb_rental *rental = &node->rental;
    struct amb_rental_request *request = amb_alloc(sizeof *request);
    /* The term is never used twice, nor is the counter within it. */
    snprintf(request->id, sizeof request->id, "r-%llu-%llu", (unsigned long long)node->election.term,
             (unsigned long long)++rental->counter);
    request->type = type;
    request->zone = zone;
    request->spot = spot;
    request->count = count > RENT_MAX ? RENT_MAX : count;
    request->node = node;
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
        request_drop(node, request);
    else
        request->retry_at = amb_now() + node->store.call_timeout / 4;
}

static void record(struct amb_node *node, struct amb_rental_request *request) {
    char key[80];
    struct amb_txn txn = {0};
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
    amb_txn_guard(&txn, LEADER_KEY, node->election.term);
    amb_txn_put(&txn, key, &value, 0);
    amb_buf_free(&value);
    amb_store_commit(&node->store, &txn, AMB_URGENT_PLACE, recorded, request_call(node, request));
}

static void rented(void *arg, int status, const char *body, size_t len) {
    struct amb_node *node;
    struct amb_rental_request *request = request_of(arg, &node);
    if (!request) return;
    note_status(node, status);
    amb_ms now = amb_now();
    cbor_item_t *item = len ? amb_cbor_parse(body, len) : NULL;
    if (status == 200 && item) {
        const cbor_item_t *rigs = amb_cbor_get(item, "rigs");
        size_t got = amb_cbor_len(rigs);
        amb_info("rental request %s: got %zu of %u", request->id, got, request->count);
        for (size_t i = 0; i < got; i++) {
            char name[AMB_NAME];
            if (!amb_cbor_str(amb_cbor_at(rigs, i), name, sizeof name)) continue;
            bool known = amb_machine_get(node, name, false) != NULL;
            struct amb_machine *machine = amb_machine_get(node, name, true);
            if (!machine) continue;
            machine->type = request->type;
            amb_machine_learn_zone(machine, request->zone);
            machine->spot = request->spot;
            if (!known) amb_machine_state(machine, AMB_MACHINE_BOOTING, "rented");
        }
        struct amb_refusal *refusal = &node->rental.refused[request->type][request->zone][request->spot];
        if (got < request->count) {
            refusal->until = now + amb_secs(node->set.lease_s * 1.5);
        } else {
            refusal->times = 0;
        }
        request->done_at = now;
        request_state(request, AMB_REQUEST_DONE, "answered");
        amb_controller_wake(node);
    } else if (status == 503 && amb_cbor_eq(amb_cbor_get(item, "error"), "no capacity")) {
        struct amb_refusal *refusal = &node->rental.refused[request->type][request->zone][request->spot];
        refusal->times++;
        refusal->until = now + amb_secs(node->set.lease_s * (refusal->times > 4 ? 4 : refusal->times));
        amb_info("rental request %s: no capacity", request->id);
        request_state(request, AMB_REQUEST_REMOVING, "no capacity");
        amb_controller_wake(node);
    } else if (status == 400) {
        amb_error("rental request %s: the cloud calls it malformed", request->id);
        request_state(request, AMB_REQUEST_REMOVING, "malformed");
    } else { /* no answer, an outage, too many calls: the same name again rents nothing twice */
        request->retry_at = now + amb_secs(node->set.report_s / 2);
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
    amb_http_call(node->set.cloud, "POST", "/machines", "application/cbor", body.data, body.len,
                  amb_secs(node->set.report_s * 2), rented, request_call(node, request));
    amb_buf_free(&body);
}

static void unrecorded(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node;
    struct amb_rental_request *request = request_of(arg, &node);
    (void)body;
    if (!request) return;
    if (status == 200 || status == 409)
        request_drop(node, request);
    else
        request->retry_at = amb_now() + node->store.call_timeout;
}

static void unrecord(struct amb_node *node, struct amb_rental_request *request) {
    char key[80];
    struct amb_txn txn = {0};
    snprintf(key, sizeof key, "%s%s", PREFIX, request->id);
    amb_txn_guard(&txn, LEADER_KEY, node->election.term);
    amb_txn_remove(&txn, key);
    amb_store_commit(&node->store, &txn, AMB_URGENT_READ, unrecorded, request_call(node, request));
}

void amb_rental_load(struct amb_node *node, const char *key, const cbor_item_t *value) {
    char name[AMB_NAME];
    uint64_t count;
    if (strncmp(key, PREFIX, sizeof PREFIX - 1)) return;
    struct amb_rental_request *request = amb_alloc(sizeof *request);
    snprintf(request->id, sizeof request->id, "%s", key + sizeof PREFIX - 1);
    request->type = amb_cbor_str(amb_cbor_get(value, "type"), name, sizeof name)
                        ? amb_catalog_type(&node->catalog, name)
                        : -1;
    request->zone = amb_cbor_str(amb_cbor_get(value, "zone"), name, sizeof name)
                        ? amb_catalog_zone(&node->catalog, name)
                        : -1;
    amb_cbor_bool(amb_cbor_get(value, "spot"), &request->spot);
    if (!amb_cbor_uint(amb_cbor_get(value, "count"), &count) || request->type < 0 || request->zone < 0) {
        free(request);
        return;
    }
    request->count = (uint32_t)count;
    request->node = node;
    request->state = AMB_REQUEST_ASKING; /* repeated: the answer names what an earlier leader rented */
    request_append(&node->rental, request);
}

bool amb_rental_refused(const struct amb_node *node, int type, int zone, bool spot, amb_ms now) {
    return now < node->rental.refused[type][zone][spot].until;
}

/* ---- returns ---- */

static void post_gone(struct amb_node *node, struct amb_machine *machine, enum amb_absence proof) {
    amb_event_post(node,
                   &(struct amb_event){.type = AMB_EVENT_MACHINE_GONE, .machine = machine, .proof = proof});
}

void amb_rental_release(struct amb_node *node, struct amb_machine *machine, const char *cause) {
    if (machine->release_wanted) return;
    machine->release_wanted = true;
    amb_info("machine %s: to be returned: %s", machine->name, cause);
    (void)node;
}

static void released(void *arg, int status, const char *body, size_t len) {
    struct cloud_call *call = arg;
    struct amb_node *node = call->node;
    struct amb_rental *rental = &node->rental;
    (void)body, (void)len;
    bool ours = current(call);
    free(call);
    if (!ours) return;
    note_status(node, status);
    rental->releasing = false;
    if (status != 200) {
        rental->release_retry_at = amb_now() + amb_secs(node->set.report_s / 4);
        return;
    }
    for (uint32_t i = 0; i < rental->nrelease; i++) {
        struct amb_machine *machine = amb_machine_get(node, rental->release_names[i], false);
        if (machine) post_gone(node, machine, AMB_ABSENCE_RETURNED);
    }
    rental->nrelease = 0;
}

static bool pick_releases(struct amb_node *node) {
    struct amb_rental *rental = &node->rental;
    if (rental->nrelease) return true; /* the same again until it is answered */
    struct amb_machine *machine, *next;
    HASH_ITER(hh, node->fleet.all, machine, next) {
        if (!machine->release_wanted || rental->nrelease == RELEASE_MAX) continue;
        amb_machine_state(machine, AMB_MACHINE_RELEASING, "being returned");
        strcpy(rental->release_names[rental->nrelease++], machine->name);
    }
    return rental->nrelease > 0;
}

static void release(struct amb_node *node) {
    struct amb_rental *rental = &node->rental;
    struct amb_buf body = {0};
    amb_w_map(&body, 1);
    amb_w_str(&body, "rigs");
    amb_w_list(&body, rental->nrelease);
    for (uint32_t i = 0; i < rental->nrelease; i++) amb_w_str(&body, rental->release_names[i]);
    rental->releasing = true;
    amb_http_call(node->set.cloud, "POST", "/machines/release", "application/cbor", body.data, body.len,
                  amb_secs(node->set.report_s * 2), released, call_new(node));
    amb_buf_free(&body);
}

/* ---- the list ---- */

static void listed_machine(struct amb_node *node, const cbor_item_t *entry, amb_ms began) {
    char name[AMB_NAME], text[AMB_NAME];
    double held = 0;
    if (!amb_cbor_str(amb_cbor_get(entry, "ref"), name, sizeof name)) return;
    snprintf(node->rental.list_after, sizeof node->rental.list_after, "%s", name);
    bool known = amb_machine_get(node, name, false) != NULL;
    struct amb_machine *machine = amb_machine_get(node, name, true);
    if (!machine) return;
    const cbor_item_t *stance = amb_cbor_get(entry, "stance");
    machine->list_pass = node->rental.list_pass;
    machine->listed = true;
    machine->listed_at = began;
    if (machine->type < 0 && amb_cbor_str(amb_cbor_get(entry, "hull"), text, sizeof text))
        machine->type = amb_catalog_type(&node->catalog, text);
    if (machine->zone < 0 && amb_cbor_str(amb_cbor_get(entry, "yard"), text, sizeof text))
        amb_machine_learn_zone(machine, amb_catalog_zone(&node->catalog, text));
    if (!machine->addr[0]) amb_cbor_str(amb_cbor_get(entry, "address"), machine->addr, sizeof machine->addr);
    if (!known) {
        amb_cbor_bool(amb_cbor_get(entry, "driftwood"), &machine->spot);
        if (amb_cbor_num(amb_cbor_get(entry, "held_s"), &held)) machine->known_at = began - amb_secs(held);
        if (amb_cbor_eq(stance, "booting")) amb_machine_state(machine, AMB_MACHINE_BOOTING, "listed");
    }
    /* A list may be old, but a machine that failed once never works again. */
    if (amb_cbor_eq(stance, "failed") && machine->state != AMB_MACHINE_RELEASING) {
        machine->failed = true;
        amb_rental_release(node, machine, "the cloud says it failed");
    }
}

static void list_page(struct amb_node *node);

static void list_over(struct amb_node *node, amb_ms began) {
    node->rental.listed = true;
    amb_ms span = amb_absence_list_span(node->set.list_lag_s, node->set.report_s);
    struct amb_machine *machine, *next;
    HASH_ITER(hh, node->fleet.all, machine, next) {
        if (machine->list_pass == node->rental.list_pass) continue;
        const struct amb_list_evidence evidence = {.list_span = span,
                                                   .asked_at = began,
                                                   .known_at = machine->first_at,
                                                   .reported_at = machine->reported_at,
                                                   .last_named_at = machine->listed_at};
        enum amb_absence proof = amb_absence_by_list(&evidence);
        if (amb_absence_proven(proof)) post_gone(node, machine, proof);
    }
}

static void list_done(void *arg, int status, const char *body, size_t len) {
    struct cloud_call *call = arg;
    struct amb_node *node = call->node;
    struct amb_rental *rental = &node->rental;
    bool ours = current(call);
    free(call);
    if (!ours) return;
    rental->listing = false;
    note_status(node, status);
    cbor_item_t *item = status == 200 ? amb_cbor_parse(body, len) : NULL;
    const cbor_item_t *rigs = amb_cbor_get(item, "rigs");
    bool more = false;
    amb_cbor_bool(amb_cbor_get(item, "truncated"), &more);
    for (size_t i = 0; i < amb_cbor_len(rigs); i++)
        listed_machine(node, amb_cbor_at(rigs, i), rental->list_began);
    if (item && more && amb_cbor_len(rigs)) {
        rental->listing = true;
        list_page(node);
    } else if (item && cbor_isa_map(item) && amb_cbor_get(item, "rigs")) {
        list_over(node, rental->list_began);
    }
    if (item) cbor_decref(&item);
}

static void list_page(struct amb_node *node) {
    char path[160];
    struct amb_rental *rental = &node->rental;
    if (rental->list_after[0])
        snprintf(path, sizeof path, "/machines?after=%s&most=%d", rental->list_after, LIST_PAGE);
    else
        snprintf(path, sizeof path, "/machines?most=%d", LIST_PAGE);
    amb_http_call(node->set.cloud, "GET", path, NULL, NULL, 0, amb_secs(node->set.report_s * 3), list_done,
                  call_new(node));
}

/* ---- the module's turn ---- */

static void tick_request(struct amb_node *node, struct amb_rental_request *request, amb_ms now) {
    if (request->busy || now < request->retry_at) return;
    switch (request->state) {
    case AMB_REQUEST_RECORDING:
        if (amb_may_start(node)) record(node, request);
        break;
    case AMB_REQUEST_ASKING:
        if (amb_may_start(node) && take_token(node, now)) ask(node, request);
        break;
    case AMB_REQUEST_DONE:
        /* Kept until the machines must be listed: until then only this record tells a successor of them. */
        if (now - request->done_at > amb_secs(node->set.list_lag_s * 2.2))
            request_state(request, AMB_REQUEST_REMOVING, "listed by now");
        break;
    case AMB_REQUEST_REMOVING:
        if (amb_may_start(node)) unrecord(node, request);
        break;
    }
}

void amb_rental_tick(struct amb_node *node, amb_ms now) {
    struct amb_rental *rental = &node->rental;
    amb_ms stale = rental->catalog_known ? amb_secs(node->set.lease_s * 6) : amb_secs(node->set.report_s / 2);
    if ((!rental->catalog_known || amb_leads(node)) &&
        (!rental->catalog_at || now - rental->catalog_at > stale) && take_token(node, now)) {
        rental->catalog_at = now;
        amb_http_call(node->set.cloud, "GET", "/catalog", NULL, NULL, 0, amb_secs(node->set.report_s * 3),
                      catalog_done, call_new(node));
    }
    if (!amb_leads(node) || !node->ctl.loaded_at) return;
    if (!rental->releasing && now >= rental->release_retry_at && amb_may_start(node) && pick_releases(node) &&
        take_token(node, now))
        release(node);
    for (struct amb_rental_request *request = rental->requests, *next; request; request = next) {
        next = request->next;
        tick_request(node, request, now);
    }
    amb_ms pace = amb_secs(node->set.list_lag_s * 0.25 > node->set.report_s ? node->set.list_lag_s * 0.25
                                                                            : node->set.report_s);
    if (!rental->listing && now - rental->list_at > pace && take_token(node, now)) {
        rental->list_at = rental->list_began = now;
        rental->list_pass++;
        rental->list_after[0] = 0;
        rental->listing = true;
        list_page(node);
    }
}

void amb_rental_clear(struct amb_node *node) {
    struct amb_rental *rental = &node->rental;
    while (rental->requests) request_drop(node, rental->requests);
    rental->listing = rental->releasing = rental->listed = false;
    rental->nrelease = 0;
    rental->list_at = 0;
    memset(rental->refused, 0, sizeof rental->refused);
}

void amb_rental_init(struct amb_node *node) {
    node->rental.calls.tokens = 1;
}
