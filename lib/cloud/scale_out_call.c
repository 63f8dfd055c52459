/* Scale-out calls of the leader to the cloud. */
#include "amberpin/base/log.h"
#include "amberpin/codec/cloud_messages.h"
#include "amberpin/node/events.h"
#include "amberpin/node/node.h"

#include "scale_out_internal.h"

/* The delay before a call without a final answer is repeated, in heartbeat periods. */
static const double RETRY_HEARTBEATS = 0.5;

static void handle_filled(struct amb_node *node, struct amb_scale_out_request *request,
                          const struct amb_cloud_acquired *acquired, amb_ms now) {
    const struct amb_scale_out_kind kind = {request->type, request->zone, request->spot};
    struct amb_cbor_cursor position = acquired->entries;
    char name[AMB_NAME_SIZE];
    while (amb_codec_next_acquired(&position, name)) amb_scale_out_add_machine(node, &kind, name);
    amb_scale_out_note_filled(node, request, acquired->count);
    request->done_at = now;
    scale_out_set_state(request, AMB_SCALE_OUT_DONE, "answered");
    amb_node_request_cycle(node);
}

static void handle_no_capacity(struct amb_node *node, struct amb_scale_out_request *request) {
    amb_scale_out_note_no_capacity(node, request);
    scale_out_set_state(request, AMB_SCALE_OUT_REMOVING, "no capacity");
    amb_node_request_cycle(node);
}

static void handle_answer(void *arg, int status, const char *body, size_t body_size) {
    struct amb_node *node;
    struct amb_scale_out_request *request = scale_out_call_take(arg, &node);
    if (!request) return;
    amb_cloud_handle_status(node, status);
    amb_ms now = amb_now();
    const struct amb_cbor_item *item = body_size ? amb_cbor_parse(body, body_size) : NULL;
    if (status == 200 && item) {
        const struct amb_cloud_acquired acquired = amb_codec_decode_acquired(item);
        handle_filled(node, request, &acquired, now);
    } else if (status == 503 && amb_codec_is_no_capacity(item)) {
        handle_no_capacity(node, request);
    } else if (status == 400) {
        amb_error("scale-out request %s: rejected by the cloud as malformed", request->id);
        scale_out_set_state(request, AMB_SCALE_OUT_REMOVING, "malformed");
    } else { /* no answer, an outage or too many calls; a repeated id is carried out only once */
        request->retry_at = now + amb_seconds_to_ms(node->settings.heartbeat_s * RETRY_HEARTBEATS);
    }
}

void scale_out_send(struct amb_node *node, struct amb_scale_out_request *request) {
    struct amb_buf body = {0};
    const struct amb_cloud_scale_out message = {.request_id = request->id,
                                                .type = node->catalog.types[request->type].name,
                                                .zone = node->catalog.zones[request->zone],
                                                .spot = request->spot,
                                                .count = request->count};
    amb_codec_encode_scale_out(&body, &message);
    amb_cloud_post(node, AMB_CLOUD_MACHINES_PATH, &body, handle_answer, scale_out_call_new(node, request));
}
