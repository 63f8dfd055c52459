#include "amberpin/cloud/scale_out.h"

#include "amberpin/base/log.h"
#include "amberpin/node/node.h"

#include "scale_out_internal.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

enum {
    MAX_MACHINES_PER_REQUEST = 50, /* the protocol allows no more */
    CALL_BURST_SECONDS = 2,        /* the protocol permits bursts of this many seconds' worth of calls */
};

/* How long a request's record is kept after the answer, in multiples of the list lag: until listings must
 * show the machines, only the record tells a new leader about them. */
static const double RECORD_KEPT_LAGS = 2.2;

/* ---- new requests ---- */

/* The calls that the holder of the rent duty may make in one burst, as far as this node knows. */
static double holder_call_burst(const struct amb_node *node) {
    return node->settings.cloud_rps * AMB_CLOUD_RENT_SHARE * CALL_BURST_SECONDS;
}

static bool is_waiting_for_call(const struct amb_scale_out_request *request) {
    return request->state == AMB_SCALE_OUT_RECORDING ||
           (request->state == AMB_SCALE_OUT_REQUESTING && !request->in_flight);
}

/* Only requests that can be sent soon are submitted. When all demand was queued as requests, 25 calls for one
 * or two machines each stood ahead of the 9 that were needed first at the start of a day, which were 18 s
 * late. */
uint32_t amb_scale_out_available_calls(struct amb_node *node, amb_ms now) {
    enum amb_scaling_path path = amb_duties_scaling_path(node);
    if (path == AMB_SCALING_PAUSED) return 0;
    amb_cloud_refill_budget(node, now);
    double tokens = path == AMB_SCALING_BY_HOLDER ? holder_call_burst(node) : node->cloud.call_budget.tokens;
    double left = fmax(tokens, 1);
    const struct amb_scale_out_request *request = node->cloud.scale_out.requests;
    for (; request; request = request->next) left -= is_waiting_for_call(request);
    return left > 0 ? (uint32_t)left : 0;
}

void amb_scale_out_submit(struct amb_node *node, int type, int zone, bool spot, uint32_t count) {
    struct amb_scale_out_request *request = amb_alloc(sizeof *request);
    /* The id is unique: no term is used twice, and no counter value within a term. */
    snprintf(request->id, sizeof request->id, "r-%llu-%llu", (unsigned long long)node->election.term,
             (unsigned long long)++node->cloud.scale_out.request_counter);
    request->type = type;
    request->zone = zone;
    request->spot = spot;
    request->count = count > MAX_MACHINES_PER_REQUEST ? MAX_MACHINES_PER_REQUEST : count;
    request->via_intent = amb_duties_scaling_path(node) == AMB_SCALING_BY_HOLDER;
    uint32_t recordable = amb_duty_max_machines(amb_settings_lowered_limits(&node->settings).value_kb);
    if (request->via_intent && request->count > recordable) request->count = recordable;
    scale_out_append(node, request);
    amb_info("scale-out request %s: requesting %u %s in %s%s", request->id, request->count,
             node->catalog.types[type].name, node->catalog.zones[zone], spot ? ", spot" : "");
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
    request->via_intent = true;
    request->state = AMB_SCALE_OUT_REQUESTING;
    scale_out_append(node, request);
    return request;
}

/* ---- steps of a request ---- */

static void tick_request(struct amb_node *node, struct amb_scale_out_request *request, amb_ms now) {
    if (request->in_flight || now < request->retry_at) return;
    if (request->via_intent) return; /* handled by amb_duties_write_scale_out */
    switch (request->state) {
    case AMB_SCALE_OUT_RECORDING:
        if (amb_election_may_act(node)) scale_out_write_record(node, request);
        break;
    case AMB_SCALE_OUT_REQUESTING:
        if (amb_election_may_act(node) && amb_cloud_take_token(node, now)) scale_out_send(node, request);
        break;
    case AMB_SCALE_OUT_DONE:
        if (now - request->done_at > amb_seconds_to_ms(node->settings.list_lag_s * RECORD_KEPT_LAGS))
            scale_out_set_state(request, AMB_SCALE_OUT_REMOVING, "its machines must be listed by now");
        break;
    case AMB_SCALE_OUT_REMOVING:
        if (amb_election_may_act(node)) scale_out_remove_record(node, request);
        break;
    }
}

void amb_scale_out_tick(struct amb_node *node, amb_ms now) {
    struct amb_scale_out_request *request = node->cloud.scale_out.requests, *next;
    for (; request; request = next) {
        next = request->next;
        tick_request(node, request, now);
    }
}

void amb_scale_out_reset(struct amb_node *node) {
    struct amb_scale_out *scale_out = &node->cloud.scale_out;
    while (scale_out->requests) amb_scale_out_remove(node, scale_out->requests);
    memset(scale_out->capacity_backoff, 0, sizeof scale_out->capacity_backoff);
}
