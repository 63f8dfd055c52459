/* Calls to the cloud for the holder of a duty. */
#include "amberpin/cloud/cloud_calls.h"
#include "amberpin/duty/node_duties.h"
#include "amberpin/node/node.h"

#include <stdlib.h>

struct duty_cloud_call {
    struct amb_node *node;
    enum amb_duty_name duty;
    amb_duty_cloud_done done;
    void *arg;
};

static void read_machines(const cbor_item_t *body, struct amb_duty_work *rented) {
    const cbor_item_t *names = amb_cbor_get(body, "rigs");
    for (size_t i = 0; i < amb_cbor_len(names); i++) {
        char name[AMB_NAME_SIZE];
        if (amb_cbor_str(amb_cbor_at(names, i), name, sizeof name)) amb_duty_work_add_machine(rented, name);
    }
}

/* A rental's answer that can't be read proves nothing: the same name is asked for again. */
static enum amb_duty_cloud_answer read_status(enum amb_duty_name duty, int status, const cbor_item_t *body) {
    switch (status) {
    case 200: return duty == AMB_DUTY_RENT && !body ? AMB_DUTY_CLOUD_LOST : AMB_DUTY_CLOUD_DONE;
    case 400: return AMB_DUTY_CLOUD_MALFORMED;
    case 409: return AMB_DUTY_CLOUD_STALE;
    case 0: return AMB_DUTY_CLOUD_LOST;
    case 503:
        return amb_cbor_eq(amb_cbor_get(body, "error"), "no capacity") ? AMB_DUTY_CLOUD_NO_CAPACITY
                                                                       : AMB_DUTY_CLOUD_BUSY;
    default: return AMB_DUTY_CLOUD_BUSY;
    }
}

static void answered(void *arg, int status, const char *body, size_t len) {
    struct duty_cloud_call call = *(struct duty_cloud_call *)arg;
    struct amb_duty_cloud_reply reply = {0};
    free(arg);
    amb_cloud_note_status(call.node, status);
    cbor_item_t *item = len ? amb_cbor_parse(body, len) : NULL;
    reply.answer = read_status(call.duty, status, item);
    if (call.duty == AMB_DUTY_RENT && status == 200) read_machines(item, &reply.rented);
    if (item) cbor_decref(&item);
    call.done(call.arg, &reply);
}

/* The token lets whoever knows tokens refuse an order of a holder that has been replaced. */
static void put_token(struct amb_buf *body, enum amb_duty_name duty, uint64_t token) {
    amb_w_str(body, "duty");
    amb_w_str(body, amb_duty_name_text(duty));
    amb_w_str(body, "baton");
    amb_w_uint(body, token);
}

static void put_rental(struct amb_buf *body, const struct amb_duty_order_record *order,
                       const struct amb_duty_work *work, uint64_t token) {
    amb_w_map(body, 7);
    amb_w_str(body, "charter");
    amb_w_str(body, order->id);
    amb_w_str(body, "hull");
    amb_w_str(body, work->type);
    amb_w_str(body, "yard");
    amb_w_str(body, work->zone);
    amb_w_str(body, "driftwood");
    amb_w_bool(body, work->spot);
    amb_w_str(body, "count");
    amb_w_uint(body, work->count);
    put_token(body, order->duty, token);
}

static void put_return(struct amb_buf *body, const struct amb_duty_order_record *order,
                       const struct amb_duty_work *work, uint64_t token) {
    amb_w_map(body, 3);
    amb_w_str(body, "rigs");
    amb_w_list(body, work->machine_count);
    for (uint32_t i = 0; i < work->machine_count; i++) amb_w_str(body, work->machines[i]);
    put_token(body, order->duty, token);
}

bool amb_duties_call_cloud(struct amb_node *node, const struct amb_duty_order_record *order,
                           const struct amb_duty_work *work, uint64_t token, amb_duty_cloud_done done,
                           void *arg) {
    if (!amb_cloud_take_token(node, amb_now())) return false;
    struct amb_buf body = {0};
    const char *path = order->duty == AMB_DUTY_RENT ? "/machines" : "/machines/release";
    struct duty_cloud_call *call = amb_alloc(sizeof *call);
    *call = (struct duty_cloud_call){.node = node, .duty = order->duty, .done = done, .arg = arg};
    if (order->duty == AMB_DUTY_RENT)
        put_rental(&body, order, work, token);
    else
        put_return(&body, order, work, token);
    amb_http_call(node->settings.cloud, "POST", path, "application/cbor", body.data, body.len,
                  amb_secs(node->settings.report_s * 2), answered, call);
    amb_buf_free(&body);
    return true;
}
