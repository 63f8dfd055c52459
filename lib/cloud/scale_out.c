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

static const char KEY_PREFIX[] = "b/r/";
enum { MAX_MACHINES_PER_REQUEST = 50 };

/* ---- the list of requests ---- */

static void set_state(struct amb_scale_out_request *request, int to, const char *cause) {
    static const char *const names[] = {"recording", "asking", "done", "removing"};
    amb_debug("rental request %s: %s -> %s: %s", request->id, names[request->state], names[to], cause);
    request->state = to;
}

struct amb_scale_out_request *amb_scale_out_find(struct amb_node *node, const char *id) {
    struct amb_scale_out_request *request = node->cloud.requests;
    while (request && strcmp(request->id, id)) request = request->next;
    return request;
}

void amb_scale_out_remove(struct amb_node *node, struct amb_scale_out_request *request) {
    struct amb_scale_out_request **at = &node->cloud.requests;
    while (*at != request) at = &(*at)->next;
    *at = request->next;
    free(request);
}

/* The request that an answer is for; NULL: it is none of this term. Frees the call. */
static struct amb_scale_out_request *take_call(void *arg, struct amb_node **node) {
    struct amb_cloud_call *call = arg;
    *node = call->node;
    struct amb_scale_out_request *request =
        amb_cloud_call_is_current(call) ? amb_scale_out_find(*node, call->request_id) : NULL;
    free(call);
    if (request) request->in_flight = false;
    return request;
}

static struct amb_cloud_call *new_call(struct amb_node *node, struct amb_scale_out_request *request) {
    struct amb_cloud_call *call = amb_cloud_call_new(node);
    strcpy(call->request_id, request->id);
    request->in_flight = true;
    return call;
}

/* The longest waiting is asked for first. */
static void append_request(struct amb_cloud *cloud, struct amb_scale_out_request *request) {
    struct amb_scale_out_request **at = &cloud->requests;
    while (*at) at = &(*at)->next;
    request->next = NULL;
    *at = request;
}

/* What the holder of the rent duty may call at a time, as far as is known here. */
static double holder_call_burst(const struct amb_node *node) {
    enum { BURST_SECONDS = 2 }; /* the protocol */
    return node->settings.cloud_rps * AMB_CLOUD_RENT_SHARE * BURST_SECONDS;
}

/* Calls are few: what is wanted beyond those that can be made now stays in the plan, where what is wanted of
 * the same kind adds up until its turn comes. (At the start of a day it all stood in a queue, 25 calls for a
 * machine or two each before the 9 that had been wanted first, 18 s late.) */
uint32_t amb_scale_out_available_calls(struct amb_node *node, amb_ms now) {
    enum amb_scaling_path path = amb_duties_scaling_path(node);
    if (path == AMB_SCALING_PAUSED) return 0;
    amb_cloud_refill_budget(node, now);
    double tokens = path == AMB_SCALING_BY_HOLDER ? holder_call_burst(node) : node->cloud.call_budget.tokens;
    double left = fmax(tokens, 1);
    for (struct amb_scale_out_request *request = node->cloud.requests; request; request = request->next)
        if (request->state == AMB_SCALE_OUT_RECORDING ||
            (request->state == AMB_SCALE_OUT_REQUESTING && !request->in_flight))
            left -= 1;
    return left > 0 ? (uint32_t)left : 0;
}

void amb_scale_out_submit(struct amb_node *node, int type, int zone, bool spot, uint32_t count) {
    struct amb_cloud *cloud = &node->cloud;
    struct amb_scale_out_request *request = amb_alloc(sizeof *request);
    /* The term is never used twice, nor is the counter within it. */
    snprintf(request->id, sizeof request->id, "r-%llu-%llu", (unsigned long long)node->election.term,
             (unsigned long long)++cloud->request_counter);
    request->type = type;
    request->zone = zone;
    request->spot = spot;
    request->count = count > MAX_MACHINES_PER_REQUEST ? MAX_MACHINES_PER_REQUEST : count;
    request->node = node;
    request->via_intent = amb_duties_scaling_path(node) == AMB_SCALING_BY_HOLDER;
    uint32_t recordable = amb_duty_max_machines(amb_settings_lowered_limits(&node->settings).value_kb);
    if (request->via_intent && request->count > recordable) request->count = recordable;
    append_request(cloud, request);
    amb_info("rental request %s: wants %u %s in %s%s", request->id, request->count,
             node->catalog.types[type].name, node->catalog.zones[zone], spot ? ", spot" : "");
}

static void handle_record_answer(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node;
    struct amb_scale_out_request *request = take_call(arg, &node);
    (void)body;
    if (!request) return;
    /* No answer: asking is safe all the same, since a successor that finds no record loses nothing but the
     * names, which the list shows. */
    if (status == 200 || status == 0)
        set_state(request, AMB_SCALE_OUT_REQUESTING, "recorded");
    else if (status == 409)
        amb_scale_out_remove(node, request);
    else
        request->retry_at = amb_now() + node->store.call_timeout / 4;
}

static void write_record(struct amb_node *node, struct amb_scale_out_request *request) {
    char key[80];
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    snprintf(key, sizeof key, "%s%s", KEY_PREFIX, request->id);
    amb_cbor_write_map(&value, 4);
    amb_cbor_write_string(&value, "type");
    amb_cbor_write_string(&value, node->catalog.types[request->type].name);
    amb_cbor_write_string(&value, "zone");
    amb_cbor_write_string(&value, node->catalog.zones[request->zone]);
    amb_cbor_write_string(&value, "spot");
    amb_cbor_write_bool(&value, request->spot);
    amb_cbor_write_string(&value, "count");
    amb_cbor_write_uint(&value, request->count);
    amb_txn_require_leadership(&transaction, node);
    amb_txn_put(&transaction, key, &value, 0);
    amb_buf_free(&value);
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_PLACEMENT, handle_record_answer,
                     new_call(node, request));
}

/* ---- what came of a request, whoever asked the cloud ---- */

void amb_scale_out_add_machine(struct amb_node *node, const struct amb_scale_out_kind *kind,
                               const char *name) {
    bool known = amb_machine_get(node, name, false) != NULL;
    struct amb_machine *machine = amb_machine_get(node, name, true);
    if (!machine) return;
    machine->type_index = kind->type;
    amb_machine_set_zone(machine, kind->zone);
    machine->spot = kind->spot;
    if (!known) amb_machine_set_state(machine, AMB_MACHINE_BOOTING, "rented");
}

static struct amb_capacity_backoff *backoff_of(struct amb_node *node,
                                               const struct amb_scale_out_request *request) {
    return &node->cloud.capacity_backoff[request->type][request->zone][request->spot];
}

void amb_scale_out_note_filled(struct amb_node *node, const struct amb_scale_out_request *request,
                               size_t machine_count) {
    struct amb_capacity_backoff *backoff = backoff_of(node, request);
    amb_info("rental request %s: got %zu of %u", request->id, machine_count, request->count);
    if (machine_count < request->count)
        backoff->until = amb_now() + amb_seconds_to_ms(node->settings.agent_lease_s * 1.5);
    else
        backoff->failures = 0;
}

void amb_scale_out_note_no_capacity(struct amb_node *node, const struct amb_scale_out_request *request) {
    struct amb_capacity_backoff *backoff = backoff_of(node, request);
    backoff->failures++;
    backoff->until = amb_now() + amb_seconds_to_ms(node->settings.agent_lease_s *
                                                   (backoff->failures > 4 ? 4 : backoff->failures));
    amb_info("rental request %s: no capacity", request->id);
}

/* ---- the leader's own calls ---- */

static void handle_request_answer(void *arg, int status, const char *body, size_t body_size) {
    struct amb_node *node;
    struct amb_scale_out_request *request = take_call(arg, &node);
    if (!request) return;
    amb_cloud_note_status(node, status);
    amb_ms now = amb_now();
    cbor_item_t *item = body_size ? amb_cbor_parse(body, body_size) : NULL;
    if (status == 200 && item) {
        struct amb_scale_out_kind kind = {request->type, request->zone, request->spot};
        const cbor_item_t *rigs = amb_cbor_map_get(item, "rigs");
        size_t machine_count = amb_cbor_list_length(rigs);
        for (size_t i = 0; i < machine_count; i++) {
            char name[AMB_NAME_SIZE];
            if (amb_cbor_copy_string(amb_cbor_list_item(rigs, i), name, sizeof name))
                amb_scale_out_add_machine(node, &kind, name);
        }
        amb_scale_out_note_filled(node, request, machine_count);
        request->done_at = now;
        set_state(request, AMB_SCALE_OUT_DONE, "answered");
        amb_node_request_cycle(node);
    } else if (status == 503 && amb_cbor_equals(amb_cbor_map_get(item, "error"), "no capacity")) {
        amb_scale_out_note_no_capacity(node, request);
        set_state(request, AMB_SCALE_OUT_REMOVING, "no capacity");
        amb_node_request_cycle(node);
    } else if (status == 400) {
        amb_error("rental request %s: the cloud calls it malformed", request->id);
        set_state(request, AMB_SCALE_OUT_REMOVING, "malformed");
    } else { /* no answer, an outage, too many calls: the same name again rents nothing twice */
        request->retry_at = now + amb_seconds_to_ms(node->settings.heartbeat_s / 2);
    }
    if (item) cbor_decref(&item);
}

static void send_request(struct amb_node *node, struct amb_scale_out_request *request) {
    struct amb_buf body = {0};
    amb_cbor_write_map(&body, 5);
    amb_cbor_write_string(&body, "charter");
    amb_cbor_write_string(&body, request->id);
    amb_cbor_write_string(&body, "hull");
    amb_cbor_write_string(&body, node->catalog.types[request->type].name);
    amb_cbor_write_string(&body, "yard");
    amb_cbor_write_string(&body, node->catalog.zones[request->zone]);
    amb_cbor_write_string(&body, "driftwood");
    amb_cbor_write_bool(&body, request->spot);
    amb_cbor_write_string(&body, "count");
    amb_cbor_write_uint(&body, request->count);
    amb_http_call(node->settings.cloud_addr, "POST", "/machines", "application/cbor", body.data, body.len,
                  amb_seconds_to_ms(node->settings.heartbeat_s * 2), handle_request_answer,
                  new_call(node, request));
    amb_buf_free(&body);
}

static void handle_remove_answer(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node;
    struct amb_scale_out_request *request = take_call(arg, &node);
    (void)body;
    if (!request) return;
    if (status == 200 || status == 409)
        amb_scale_out_remove(node, request);
    else
        request->retry_at = amb_now() + node->store.call_timeout;
}

static void remove_record(struct amb_node *node, struct amb_scale_out_request *request) {
    char key[80];
    struct amb_txn transaction = {0};
    snprintf(key, sizeof key, "%s%s", KEY_PREFIX, request->id);
    amb_txn_require_leadership(&transaction, node);
    amb_txn_remove(&transaction, key);
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_READ, handle_remove_answer,
                     new_call(node, request));
}

void amb_scale_out_restore(struct amb_node *node, const char *key, const cbor_item_t *value) {
    char name[AMB_NAME_SIZE];
    uint64_t count;
    if (strncmp(key, KEY_PREFIX, sizeof KEY_PREFIX - 1)) return;
    struct amb_scale_out_request *request = amb_alloc(sizeof *request);
    snprintf(request->id, sizeof request->id, "%s", key + sizeof KEY_PREFIX - 1);
    request->type = amb_cbor_copy_string(amb_cbor_map_get(value, "type"), name, sizeof name)
                        ? amb_catalog_find_type(&node->catalog, name)
                        : -1;
    request->zone = amb_cbor_copy_string(amb_cbor_map_get(value, "zone"), name, sizeof name)
                        ? amb_catalog_find_or_add_zone(&node->catalog, name)
                        : -1;
    amb_cbor_get_bool(amb_cbor_map_get(value, "spot"), &request->spot);
    if (!amb_cbor_get_uint(amb_cbor_map_get(value, "count"), &count) || request->type < 0 ||
        request->zone < 0) {
        free(request);
        return;
    }
    request->count = (uint32_t)count;
    request->node = node;
    request->state = AMB_SCALE_OUT_REQUESTING; /* repeated: the answer names what an earlier leader rented */
    if (node->duties.mode == AMB_DUTY_MODE_DUTIES) {
        /* It had been answered before duties came into use; the leader calls no more. */
        request->state = AMB_SCALE_OUT_DONE;
        request->done_at = amb_now();
    }
    append_request(&node->cloud, request);
}

struct amb_scale_out_request *amb_scale_out_adopt_intent(struct amb_node *node, const char *id,
                                                         const struct amb_scale_out_kind *kind,
                                                         uint32_t count) {
    struct amb_scale_out_request *request = amb_alloc(sizeof *request);
    snprintf(request->id, sizeof request->id, "%s", id);
    request->type = kind->type;
    request->zone = kind->zone;
    request->spot = kind->spot;
    request->count = count;
    request->node = node;
    request->via_intent = true;
    request->state = AMB_SCALE_OUT_REQUESTING;
    append_request(&node->cloud, request);
    return request;
}

bool amb_scale_out_is_backing_off(const struct amb_node *node, int type, int zone, bool spot, amb_ms now) {
    return now < node->cloud.capacity_backoff[type][zone][spot].until;
}

/* ---- the module's turn ---- */

static void tick_request(struct amb_node *node, struct amb_scale_out_request *request, amb_ms now) {
    if (request->in_flight || now < request->retry_at) return;
    if (request->via_intent) return; /* see amb_duties_write_scale_out */
    switch (request->state) {
    case AMB_SCALE_OUT_RECORDING:
        if (amb_election_may_act(node)) write_record(node, request);
        break;
    case AMB_SCALE_OUT_REQUESTING:
        if (amb_election_may_act(node) && amb_cloud_take_token(node, now)) send_request(node, request);
        break;
    case AMB_SCALE_OUT_DONE:
        /* Kept until the machines must be listed: until then only this record tells a successor of them. */
        if (now - request->done_at > amb_seconds_to_ms(node->settings.list_lag_s * 2.2))
            set_state(request, AMB_SCALE_OUT_REMOVING, "listed by now");
        break;
    case AMB_SCALE_OUT_REMOVING:
        if (amb_election_may_act(node)) remove_record(node, request);
        break;
    }
}

void amb_scale_out_tick(struct amb_node *node, amb_ms now) {
    struct amb_cloud *cloud = &node->cloud;
    for (struct amb_scale_out_request *request = cloud->requests, *next; request; request = next) {
        next = request->next;
        tick_request(node, request, now);
    }
}

void amb_scale_out_reset(struct amb_node *node) {
    while (node->cloud.requests) amb_scale_out_remove(node, node->cloud.requests);
}
