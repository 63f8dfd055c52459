#include "amberpin/cloud_duty/cloud_access.h"

#include "amberpin/cloud/cloud_calls.h"
#include "amberpin/codec/cloud_messages.h"
#include "amberpin/node/node.h"

#include <stdlib.h>

struct cloud_duty_call {
    struct amb_node *node;
    enum amb_duty_name duty;
    amb_duty_cloud_done done;
    void *arg;
};

static void add_machines(const struct amb_cbor_item *body, struct amb_duty_intent_payload *payload) {
    struct amb_cbor_cursor position = amb_codec_decode_acquired(body).entries;
    char name[AMB_NAME_SIZE];
    while (amb_codec_next_acquired(&position, name)) amb_duty_intent_payload_add_machine(payload, name);
}

/* A response to scale out that cannot be decoded counts as no answer, so the same id is requested again. */
static enum amb_duty_cloud_answer decode_answer(enum amb_duty_name duty, int status,
                                                const struct amb_cbor_item *body) {
    switch (status) {
    case 200: return duty == AMB_DUTY_RENT && !body ? AMB_DUTY_CLOUD_NO_ANSWER : AMB_DUTY_CLOUD_DONE;
    case 400: return AMB_DUTY_CLOUD_MALFORMED;
    case 409: return AMB_DUTY_CLOUD_FENCED;
    case 0: return AMB_DUTY_CLOUD_NO_ANSWER;
    case 503: return amb_codec_is_no_capacity(body) ? AMB_DUTY_CLOUD_NO_CAPACITY : AMB_DUTY_CLOUD_BUSY;
    default: return AMB_DUTY_CLOUD_BUSY;
    }
}

static void handle_answer(void *arg, int status, const char *body, size_t body_size) {
    struct cloud_duty_call call = *(struct cloud_duty_call *)arg;
    struct amb_duty_cloud_reply reply = {0};
    free(arg);
    amb_cloud_handle_status(call.node, status);
    const struct amb_cbor_item *item = body_size ? amb_cbor_parse(body, body_size) : NULL;
    reply.answer = decode_answer(call.duty, status, item);
    if (call.duty == AMB_DUTY_RENT && status == 200) add_machines(item, &reply.acquired);
    call.done(call.arg, &reply);
}

static void encode_body(struct amb_buf *body, const struct amb_duty_intent_record *intent,
                        const struct amb_duty_intent_payload *payload, uint64_t fencing_token) {
    const struct amb_cloud_fence fence = {.duty = amb_duty_name_text(intent->duty),
                                          .fencing_token = fencing_token};
    if (intent->duty == AMB_DUTY_RENT) {
        const struct amb_cloud_scale_out request = {.request_id = intent->id,
                                                    .type = payload->type,
                                                    .zone = payload->zone,
                                                    .spot = payload->spot,
                                                    .count = payload->count,
                                                    .fence = fence};
        amb_codec_encode_scale_out(body, &request);
    } else {
        const struct amb_cloud_release release = {
            .names = payload->machines, .count = payload->machine_count, .fence = fence};
        amb_codec_encode_release(body, &release);
    }
}

bool amb_duties_call_cloud(struct amb_node *node, const struct amb_duty_intent_record *intent,
                           const struct amb_duty_intent_payload *payload, uint64_t fencing_token,
                           amb_duty_cloud_done done, void *arg) {
    if (!amb_cloud_take_token(node, amb_now())) return false;
    struct amb_buf body = {0};
    const char *path = intent->duty == AMB_DUTY_RENT ? AMB_CLOUD_MACHINES_PATH : AMB_CLOUD_RELEASE_PATH;
    struct cloud_duty_call *call = amb_alloc(sizeof *call);
    *call = (struct cloud_duty_call){.node = node, .duty = intent->duty, .done = done, .arg = arg};
    encode_body(&body, intent, payload, fencing_token);
    amb_cloud_post(node, path, &body, handle_answer, call);
    return true;
}
