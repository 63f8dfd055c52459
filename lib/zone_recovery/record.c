#include "amberpin/zone_recovery/record.h"

#include "amberpin/base/log.h"
#include "amberpin/cloud/cloud_calls.h"
#include "amberpin/codec/kvstore_messages.h"
#include "amberpin/codec/zone_record.h"
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/node.h"

#include <string.h>

static const char KEY[] = "b/zones";

_Static_assert((int)AMB_ZONE_RECORD_STEPS_MAX == (int)AMB_RECOVERY_STEPS,
               "the record holds a whole recovery order");

/* Returns the node if it still leads under the term of the call and the record is in the expected state, else
 * NULL. Frees the call. */
static struct amb_node *take_call(void *context, enum amb_zone_record_state expected) {
    struct amb_node *node = amb_cloud_call_take(context);
    return node && node->zone_recovery.record.state == expected ? node : NULL;
}

/* Schedules a read of the stored record after one call timeout. */
static void mark_uncertain(struct amb_node *node) {
    node->zone_recovery.record.state = AMB_ZONE_RECORD_UNCERTAIN;
    node->zone_recovery.record.retry_at = amb_now() + node->store.call_timeout;
}

/* ---- writing ---- */

static bool is_worth_recording(const struct amb_zone_health *health) {
    return health->losses > 0 || !amb_zone_health_state_admits_batch(health->state);
}

static void collect_zones(const struct amb_node *node, struct amb_zone_record_value *value) {
    for (uint32_t zone = 0; zone < node->catalog.zone_count; zone++) {
        const struct amb_zone_health *health = &node->zone_recovery.zones[zone];
        if (!is_worth_recording(health)) continue;
        struct amb_zone_record_zone *recorded = &value->zones[value->zone_count++];
        strcpy(recorded->name, node->catalog.zones[zone]);
        strcpy(recorded->state, amb_zone_health_state_name(health->state));
        recorded->losses = health->losses;
    }
}

static void collect_steps(const struct amb_recovery_order *order, struct amb_zone_record_value *value) {
    for (uint32_t i = 0; i < order->count; i++) {
        struct amb_zone_record_step *recorded = &value->steps[value->step_count++];
        strcpy(recorded->class_name, order->steps[i].lost_class.name);
        recorded->priority = order->steps[i].lost_class.priority;
    }
}

static void handle_write_answer(void *context, int status, const struct amb_cbor_item *body) {
    struct amb_node *node = take_call(context, AMB_ZONE_RECORD_WRITING);
    if (!node) return;
    struct amb_zone_record *record = &node->zone_recovery.record;
    if (status != AMB_HTTP_OK || !amb_kvstore_decode_commit(body, &record->revision)) {
        mark_uncertain(node);
        return;
    }
    record->unavailable_zones = record->writing_unavailable_zones;
    record->state = record->changed_since_write ? AMB_ZONE_RECORD_DIRTY : AMB_ZONE_RECORD_CURRENT;
}

/* Compares the last known revision, so that a late copy of this write changes nothing. */
static void send_record(struct amb_node *node, const struct amb_zone_record_value *value) {
    const struct amb_zone_record *record = &node->zone_recovery.record;
    struct amb_txn transaction = {0};
    struct amb_buf encoded = {0};
    amb_codec_encode_zone_record(&encoded, value);
    amb_txn_require_leadership(&transaction, node);
    amb_txn_compare(&transaction, KEY, record->revision);
    amb_txn_put(&transaction, KEY, &encoded, 0);
    amb_buf_free(&encoded);
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_PLACEMENT, handle_write_answer,
                     amb_cloud_call_new(node));
}

static void write_record(struct amb_node *node) {
    struct amb_zone_record *record = &node->zone_recovery.record;
    struct amb_zone_record_value value = {.zone_count = 0};
    collect_zones(node, &value);
    collect_steps(&node->zone_recovery.order, &value);
    record->writing_unavailable_zones = amb_zones_unavailable(node);
    record->unavailable_zones |= record->writing_unavailable_zones;
    record->changed_since_write = false;
    record->state = AMB_ZONE_RECORD_WRITING;
    send_record(node, &value);
}

/* ---- reading back ---- */

static bool read_revision(int status, const struct amb_cbor_item *body, uint64_t *revision) {
    struct amb_kvstore_entry entry;
    if (status == AMB_HTTP_OK && amb_kvstore_decode_entry(body, &entry))
        *revision = entry.revision;
    else if (status == AMB_HTTP_NOT_FOUND)
        *revision = 0;
    else
        return false;
    return true;
}

static void handle_read_answer(void *context, int status, const struct amb_cbor_item *body) {
    struct amb_node *node = take_call(context, AMB_ZONE_RECORD_READING);
    if (!node) return;
    struct amb_zone_record *record = &node->zone_recovery.record;
    if (read_revision(status, body, &record->revision))
        record->state = AMB_ZONE_RECORD_DIRTY;
    else
        mark_uncertain(node);
}

static void read_record(struct amb_node *node) {
    node->zone_recovery.record.state = AMB_ZONE_RECORD_READING;
    amb_store_get(&node->store, KEY, AMB_STORE_PRIORITY_PLACEMENT, handle_read_answer,
                  amb_cloud_call_new(node));
}

/* ---- scheduling of writes and reads ---- */

void amb_zone_record_mark_dirty(struct amb_node *node) {
    struct amb_zone_record *record = &node->zone_recovery.record;
    record->changed_since_write = true;
    if (record->state == AMB_ZONE_RECORD_CURRENT) record->state = AMB_ZONE_RECORD_DIRTY;
}

void amb_zone_record_tick(struct amb_node *node, amb_ms now) {
    const struct amb_zone_record *record = &node->zone_recovery.record;
    if (now < record->retry_at || !amb_election_may_act(node)) return;
    /* A leader of format version 1 would neither write nor read the record. */
    if (amb_format_active(node) < AMB_FORMAT_2) return;
    if (record->state == AMB_ZONE_RECORD_DIRTY) write_record(node);
    if (record->state == AMB_ZONE_RECORD_UNCERTAIN) read_record(node);
}

/* ---- restoring ---- */

static void restore_zone(struct amb_node *node, const struct amb_zone_record_zone *recorded) {
    enum amb_zone_health_state state;
    if (!amb_zone_health_state_parse(recorded->state, &state)) return;
    int zone = amb_catalog_find_or_add_zone(&node->catalog, recorded->name);
    if (zone < 0) return;
    amb_zone_health_restore(&node->zone_recovery.zones[zone], state, recorded->losses, amb_now());
    if (!amb_zone_health_state_admits_batch(state))
        node->zone_recovery.record.unavailable_zones |= 1u << zone;
    amb_info("zone %s: %s, restored from the record of an earlier leader", recorded->name, recorded->state);
}

static void restore_steps(struct amb_recovery_order *order, const struct amb_zone_record_value *value) {
    order->count = 0;
    for (uint32_t i = 0; i < value->step_count; i++) {
        struct amb_recovery_step *step = &order->steps[order->count++];
        *step = (struct amb_recovery_step){.wait = AMB_RECOVERY_WAIT_ABSENCE_PROOF, .opened_at = amb_now()};
        step->lost_class.list_position = AMB_RECOVERY_UNLISTED;
        step->lost_class.priority = value->steps[i].priority;
        strcpy(step->lost_class.name, value->steps[i].class_name);
    }
}

void amb_zone_record_load(struct amb_node *node, const char *key, const struct amb_cbor_item *value,
                          uint64_t revision) {
    struct amb_zone_record_value decoded;
    if (!amb_zone_recovery_is_enabled(node) || strcmp(key, KEY) != 0) return;
    node->zone_recovery.record.revision = revision;
    if (!amb_codec_decode_zone_record(value, &decoded)) return;
    for (uint32_t i = 0; i < decoded.zone_count; i++) restore_zone(node, &decoded.zones[i]);
    restore_steps(&node->zone_recovery.order, &decoded);
}
