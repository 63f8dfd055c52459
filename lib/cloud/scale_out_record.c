/* Records of scale-out requests. A record is written before the cloud is called, read by a new leader, and
 * removed once listings must show the machines. */
#include "amberpin/codec/scaling_records.h"
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/node.h"

#include "scale_out_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A write that the key-value store refused is repeated after a quarter of a call's timeout. */
enum { WRITES_PER_TIMEOUT = 4 };

static void handle_write_answer(void *arg, int status, const struct amb_cbor_item *body) {
    struct amb_node *node;
    struct amb_scale_out_request *request = scale_out_call_take(arg, &node);
    (void)body;
    if (!request) return;
    /* Without an answer (status 0) the cloud may be called all the same: a new leader that finds no record
     * only lacks the machine names, which the listings show. */
    if (status == 200 || status == 0)
        scale_out_set_state(request, AMB_SCALE_OUT_REQUESTING, "recorded");
    else if (status == 409)
        amb_scale_out_remove(node, request);
    else
        request->retry_at = amb_now() + node->store.call_timeout / WRITES_PER_TIMEOUT;
}

void scale_out_write_record(struct amb_node *node, struct amb_scale_out_request *request) {
    char key[AMB_SCALE_OUT_KEY_SIZE];
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    struct amb_scale_out_record record = {.spot = request->spot, .count = request->count};
    strcpy(record.type, node->catalog.types[request->type].name);
    strcpy(record.zone, node->catalog.zones[request->zone]);
    amb_codec_format_scale_out_key(key, request->id);
    amb_codec_encode_scale_out_record(&value, &record);
    amb_txn_require_leadership(&transaction, node);
    amb_txn_put(&transaction, key, &value, 0);
    amb_buf_free(&value);
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_PLACEMENT, handle_write_answer,
                     scale_out_call_new(node, request));
}

static void handle_remove_answer(void *arg, int status, const struct amb_cbor_item *body) {
    struct amb_node *node;
    struct amb_scale_out_request *request = scale_out_call_take(arg, &node);
    (void)body;
    if (!request) return;
    if (status == 200 || status == 409)
        amb_scale_out_remove(node, request);
    else
        request->retry_at = amb_now() + node->store.call_timeout;
}

void scale_out_remove_record(struct amb_node *node, struct amb_scale_out_request *request) {
    char key[AMB_SCALE_OUT_KEY_SIZE];
    struct amb_txn transaction = {0};
    amb_codec_format_scale_out_key(key, request->id);
    amb_txn_require_leadership(&transaction, node);
    amb_txn_remove(&transaction, key);
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_READ, handle_remove_answer,
                     scale_out_call_new(node, request));
}

void amb_scale_out_restore(struct amb_node *node, const char *key, const struct amb_cbor_item *value) {
    struct amb_scale_out_record record;
    const char *id = amb_codec_parse_scale_out_key(key);
    if (!id) return;
    bool has_count = amb_codec_decode_scale_out_record(value, &record);
    int type = amb_catalog_find_type(&node->catalog, record.type);
    int zone = record.zone[0] ? amb_catalog_find_or_add_zone(&node->catalog, record.zone) : -1;
    if (!has_count || type < 0 || zone < 0) return;
    struct amb_scale_out_request *request = amb_alloc(sizeof *request);
    snprintf(request->id, sizeof request->id, "%s", id);
    request->type = type;
    request->zone = zone;
    request->spot = record.spot;
    request->count = record.count;
    request->state = AMB_SCALE_OUT_REQUESTING; /* repeated: the answer names the machines */
    if (node->duties.mode == AMB_DUTY_MODE_DUTIES) {
        /* The cloud had answered this request before duties came into use, and the leader no longer calls. */
        request->state = AMB_SCALE_OUT_DONE;
        request->done_at = amb_now();
    }
    scale_out_append(node, request);
}
