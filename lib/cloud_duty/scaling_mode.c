#include "amberpin/cloud_duty/scaling_mode.h"

#include "amberpin/base/log.h"
#include "amberpin/cloud_duty/scaling_intents.h"
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/node.h"

#include <string.h>

void amb_duties_apply_mode(struct amb_node *node, const struct amb_cbor_item *value, uint64_t revision) {
    struct amb_duties *duties = &node->duties;
    enum amb_duty_mode mode = AMB_DUTY_MODE_LEADER;
    if (revision <= duties->mode_revision) return;
    duties->mode_revision = value ? revision : 0;
    duties->mode_unknown = value && amb_duty_decode_mode(value, &mode) != AMB_DUTY_DECODED;
    if (duties->mode_unknown)
        amb_error("duties: ignoring record %s: its version or mode is unknown", AMB_DUTY_MODE_KEY);
    duties->mode_write_pending = false;
    if (mode != duties->mode) amb_info("duties: mode %s is in use", amb_duty_mode_text(mode));
    duties->mode = mode;
}

/* Returns true if the leader has a scale-out or release call in flight or to repeat, which must not overlap
 * with calls of a holder. */
static bool leader_has_open_calls(const struct amb_node *node) {
    const struct amb_cloud *cloud = &node->cloud;
    if (cloud->release.count) return true;
    for (const struct amb_scale_out_request *request = cloud->scale_out.requests; request;
         request = request->next)
        if (request->state == AMB_SCALE_OUT_RECORDING || request->state == AMB_SCALE_OUT_REQUESTING)
            return true;
    return false;
}

static bool path_is_clear(const struct amb_node *node) {
    if (node->duties.mode == AMB_DUTY_MODE_LEADER) return !leader_has_open_calls(node);
    return !amb_duties_has_pending_writes(node) &&
           !amb_duty_service_count_open_intents(&node->duties.service);
}

static void handle_mode_written(void *arg, int status, const struct amb_cbor_item *body) {
    struct amb_node *node = arg;
    struct amb_duties *duties = &node->duties;
    (void)status, (void)body;
    duties->mode_write_in_flight = false;
    /* A change of the key shows whether the write was committed; until then nothing new is begun. */
    duties->mode_retry_at = amb_now() + node->store.call_timeout;
}

/* Every copy has the same comparisons, so at most one of them is committed. */
static void write_mode(struct amb_node *node, enum amb_duty_mode mode) {
    struct amb_duties *duties = &node->duties;
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    amb_duty_encode_mode(&value, mode);
    amb_txn_require_leadership(&transaction, node);
    amb_txn_compare(&transaction, AMB_DUTY_MODE_KEY, duties->mode_revision);
    amb_txn_put(&transaction, AMB_DUTY_MODE_KEY, &value, 0);
    amb_buf_free(&value);
    duties->mode_write_pending = duties->mode_write_in_flight = true;
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_FINAL_STATE, handle_mode_written, node);
}

static void tick_mode(struct amb_node *node, amb_ms now) {
    struct amb_duties *duties = &node->duties;
    bool in_use = duties->mode == AMB_DUTY_MODE_DUTIES;
    if (duties->mode_unknown || duties->mode_write_in_flight) return;
    if (duties->mode_write_pending) {
        if (now >= duties->mode_retry_at)
            write_mode(node, in_use ? AMB_DUTY_MODE_LEADER : AMB_DUTY_MODE_DUTIES);
        return;
    }
    if (amb_duties_is_agreed(node) == in_use || !path_is_clear(node)) return;
    write_mode(node, in_use ? AMB_DUTY_MODE_LEADER : AMB_DUTY_MODE_DUTIES);
}

void amb_duties_tick(struct amb_node *node, amb_ms now) {
    if (!amb_duties_is_enabled(node) && !node->duties.mode_revision) return;
    if (!amb_election_may_act(node) || !node->controller.restored_at) return;
    tick_mode(node, now);
    amb_duties_write_scale_out(node, now);
    amb_duties_write_scale_in(node, now);
}

void amb_duties_reset(struct amb_node *node) {
    struct amb_duties *duties = &node->duties;
    /* The term has ended, so a write that is not committed yet never will be. */
    duties->mode_write_pending = false;
    amb_duty_intent_payload_free(&duties->scale_in.payload);
    memset(&duties->scale_in, 0, sizeof duties->scale_in);
}
