/* Calls to the cloud for the holder of a duty. */
#include "amberpin/cloud/cloud_calls.h"
#include "amberpin/duty/node_duties.h"
#include "amberpin/node/node.h"

#include <stdlib.h>

struct cloud_duty_call {
    struct amb_node *node;
    enum amb_duty_name duty;
    amb_duty_cloud_done done;
    void *arg;
};

static void decode_machines(const cbor_item_t *body, struct amb_duty_work_order *acquired) {
    const cbor_item_t *names = amb_cbor_map_get(body, "rigs");
    for (size_t i = 0; i < amb_cbor_list_length(names); i++) {
        char name[AMB_NAME_SIZE];
        if (amb_cbor_copy_string(amb_cbor_list_item(names, i), name, sizeof name))
            amb_duty_work_order_add_machine(acquired, name);
    }
}

/* A rental's answer that can't be read proves nothing: the same name is asked for again. */
static enum amb_duty_cloud_answer decode_answer(enum amb_duty_name duty, int status,
                                                const cbor_item_t *body) {
    switch (status) {
    case 200: return duty == AMB_DUTY_RENT && !body ? AMB_DUTY_CLOUD_NO_ANSWER : AMB_DUTY_CLOUD_DONE;
    case 400: return AMB_DUTY_CLOUD_MALFORMED;
    case 409: return AMB_DUTY_CLOUD_FENCED;
    case 0: return AMB_DUTY_CLOUD_NO_ANSWER;
    case 503:
        return amb_cbor_equals(amb_cbor_map_get(body, "error"), "no capacity") ? AMB_DUTY_CLOUD_NO_CAPACITY
                                                                               : AMB_DUTY_CLOUD_BUSY;
    default: return AMB_DUTY_CLOUD_BUSY;
    }
}

static void handle_answer(void *arg, int status, const char *body, size_t body_size) {
    struct cloud_duty_call call = *(struct cloud_duty_call *)arg;
    struct amb_duty_cloud_reply reply = {0};
    free(arg);
    amb_cloud_note_status(call.node, status);
    cbor_item_t *item = body_size ? amb_cbor_parse(body, body_size) : NULL;
    reply.answer = decode_answer(call.duty, status, item);
    if (call.duty == AMB_DUTY_RENT && status == 200) decode_machines(item, &reply.acquired);
    if (item) cbor_decref(&item);
    call.done(call.arg, &reply);
}

/* The token lets whoever knows tokens refuse an order of a holder that has been replaced. */
static void encode_fencing_token(struct amb_buf *body, enum amb_duty_name duty, uint64_t fencing_token) {
    amb_cbor_write_string(body, "duty");
    amb_cbor_write_string(body, amb_duty_name_text(duty));
    amb_cbor_write_string(body, "baton");
    amb_cbor_write_uint(body, fencing_token);
}

static void encode_scale_out(struct amb_buf *body, const struct amb_duty_intent_record *intent,
                             const struct amb_duty_work_order *work, uint64_t fencing_token) {
    amb_cbor_write_map(body, 7);
    amb_cbor_write_string(body, "charter");
    amb_cbor_write_string(body, intent->id);
    amb_cbor_write_string(body, "hull");
    amb_cbor_write_string(body, work->type);
    amb_cbor_write_string(body, "yard");
    amb_cbor_write_string(body, work->zone);
    amb_cbor_write_string(body, "driftwood");
    amb_cbor_write_bool(body, work->spot);
    amb_cbor_write_string(body, "count");
    amb_cbor_write_uint(body, work->count);
    encode_fencing_token(body, intent->duty, fencing_token);
}

static void encode_release(struct amb_buf *body, const struct amb_duty_intent_record *intent,
                           const struct amb_duty_work_order *work, uint64_t fencing_token) {
    amb_cbor_write_map(body, 3);
    amb_cbor_write_string(body, "rigs");
    amb_cbor_write_list(body, work->machine_count);
    for (uint32_t i = 0; i < work->machine_count; i++) amb_cbor_write_string(body, work->machines[i]);
    encode_fencing_token(body, intent->duty, fencing_token);
}

bool amb_duties_call_cloud(struct amb_node *node, const struct amb_duty_intent_record *intent,
                           const struct amb_duty_work_order *work, uint64_t fencing_token,
                           amb_duty_cloud_done done, void *arg) {
    if (!amb_cloud_take_token(node, amb_now())) return false;
    struct amb_buf body = {0};
    const char *path = intent->duty == AMB_DUTY_RENT ? "/machines" : "/machines/release";
    struct cloud_duty_call *call = amb_alloc(sizeof *call);
    *call = (struct cloud_duty_call){.node = node, .duty = intent->duty, .done = done, .arg = arg};
    if (intent->duty == AMB_DUTY_RENT)
        encode_scale_out(&body, intent, work, fencing_token);
    else
        encode_release(&body, intent, work, fencing_token);
    amb_http_call(node->settings.cloud_addr, "POST", path, "application/cbor", body.data, body.len,
                  amb_seconds_to_ms(node->settings.heartbeat_s * 2), handle_answer, call);
    amb_buf_free(&body);
    return true;
}
