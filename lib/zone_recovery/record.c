/* The record of zones and of the order of return, `b/zones`, of which the leader is the only writer. */
#include "amberpin/base/log.h"
#include "amberpin/cloud/cloud_calls.h"
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/node.h"
#include "amberpin/zone_recovery/zone_recovery.h"

#include <stdlib.h>
#include <string.h>

static const char KEY[] = "b/zones";

enum { FORM = 1 }; /* of the records that this version writes */

/* The node, if it still leads under the term of the call and waits for it; else NULL. Frees the call. */
static struct amb_node *take_call(void *context, enum amb_zone_record_state expected) {
    struct amb_node *node = amb_cloud_call_take(context);
    return node && node->zone_recovery.record.state == expected ? node : NULL;
}

/* What stands there has to be read, in a while. */
static void mark_uncertain(struct amb_node *node) {
    node->zone_recovery.record.state = AMB_ZONE_RECORD_UNCERTAIN;
    node->zone_recovery.record.retry_at = amb_now() + node->store.call_timeout;
}

/* ---- the value ---- */

static bool is_on_record(const struct amb_zone_health *health) {
    return health->losses > 0 || !amb_zone_health_state_admits_batch(health->state);
}

static void encode_zone(struct amb_buf *out, const struct amb_node *node, uint32_t zone) {
    const struct amb_zone_health *health = &node->zone_recovery.zones[zone];
    amb_cbor_write_map(out, 3);
    amb_cbor_write_string(out, "zone");
    amb_cbor_write_string(out, node->catalog.zones[zone]);
    amb_cbor_write_string(out, "verdict");
    amb_cbor_write_string(out, amb_zone_health_state_name(health->state));
    amb_cbor_write_string(out, "losses");
    amb_cbor_write_uint(out, health->losses);
}

static void encode_step(struct amb_buf *out, const struct amb_recovery_step *step) {
    amb_cbor_write_map(out, 2);
    amb_cbor_write_string(out, "class");
    amb_cbor_write_string(out, step->lost_class.name);
    amb_cbor_write_string(out, "priority");
    amb_cbor_write_uint(out, step->lost_class.priority);
}

static void encode_record(struct amb_buf *out, const struct amb_node *node) {
    const struct amb_zone_recovery *recovery = &node->zone_recovery;
    uint32_t count = 0;
    for (uint32_t zone = 0; zone < node->catalog.zone_count; zone++)
        count += is_on_record(&recovery->zones[zone]);
    amb_cbor_write_map(out, 3);
    amb_cbor_write_string(out, "form");
    amb_cbor_write_uint(out, FORM);
    amb_cbor_write_string(out, "zones");
    amb_cbor_write_list(out, count);
    for (uint32_t zone = 0; zone < node->catalog.zone_count; zone++)
        if (is_on_record(&recovery->zones[zone])) encode_zone(out, node, zone);
    amb_cbor_write_string(out, "steps");
    amb_cbor_write_list(out, recovery->order.count);
    for (uint32_t i = 0; i < recovery->order.count; i++) encode_step(out, &recovery->order.steps[i]);
}

/* ---- writing ---- */

static void record_written(void *context, int status, const cbor_item_t *body) {
    struct amb_node *node = take_call(context, AMB_ZONE_RECORD_WRITING);
    if (!node) return;
    struct amb_zone_record *record = &node->zone_recovery.record;
    if (status != 200 || !amb_cbor_get_uint(amb_cbor_map_get(body, "epoch"), &record->revision)) {
        mark_uncertain(node);
        return;
    }
    record->unavailable_zones = record->writing_unavailable_zones;
    record->state = record->changed_since_write ? AMB_ZONE_RECORD_DIRTY : AMB_ZONE_RECORD_CURRENT;
}

/* Under the stamp that the key is known to have: a copy that is carried out late changes nothing. */
static void write_record(struct amb_node *node) {
    struct amb_zone_record *record = &node->zone_recovery.record;
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    encode_record(&value, node);
    amb_txn_require_leadership(&transaction, node);
    amb_txn_compare(&transaction, KEY, record->revision);
    amb_txn_put(&transaction, KEY, &value, 0);
    amb_buf_free(&value);
    record->writing_unavailable_zones = amb_zones_unavailable(node);
    record->unavailable_zones |= record->writing_unavailable_zones;
    record->changed_since_write = false;
    record->state = AMB_ZONE_RECORD_WRITING;
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_PLACEMENT, record_written,
                     amb_cloud_call_new(node));
}

static void record_read(void *context, int status, const cbor_item_t *body) {
    struct amb_node *node = take_call(context, AMB_ZONE_RECORD_READING);
    if (!node) return;
    struct amb_zone_record *record = &node->zone_recovery.record;
    if (status == 404) record->revision = 0;
    bool known = status == 404 ||
                 (status == 200 && amb_cbor_get_uint(amb_cbor_map_get(body, "stamp"), &record->revision));
    if (known)
        record->state = AMB_ZONE_RECORD_DIRTY;
    else
        mark_uncertain(node);
}

static void read_record(struct amb_node *node) {
    node->zone_recovery.record.state = AMB_ZONE_RECORD_READING;
    amb_store_get(&node->store, KEY, AMB_STORE_PRIORITY_PLACEMENT, record_read, amb_cloud_call_new(node));
}

void amb_zone_record_mark_dirty(struct amb_node *node) {
    struct amb_zone_record *record = &node->zone_recovery.record;
    record->changed_since_write = true;
    if (record->state == AMB_ZONE_RECORD_CURRENT) record->state = AMB_ZONE_RECORD_DIRTY;
}

void amb_zone_record_tick(struct amb_node *node, amb_ms now) {
    const struct amb_zone_record *record = &node->zone_recovery.record;
    if (now < record->retry_at || !amb_election_may_act(node)) return;
    /* An old version would neither write nor heed it. */
    if (amb_format_active(node) < AMB_FORMAT_2) return;
    if (record->state == AMB_ZONE_RECORD_DIRTY) write_record(node);
    if (record->state == AMB_ZONE_RECORD_UNCERTAIN) read_record(node);
}

/* ---- taking over ---- */

static void load_zone(struct amb_node *node, const cbor_item_t *item) {
    char name[AMB_NAME_SIZE], state_name[AMB_NAME_SIZE];
    enum amb_zone_health_state state;
    uint64_t losses;
    if (!amb_cbor_copy_string(amb_cbor_map_get(item, "zone"), name, sizeof name) ||
        !amb_cbor_copy_string(amb_cbor_map_get(item, "verdict"), state_name, sizeof state_name) ||
        !amb_zone_health_state_parse(state_name, &state) ||
        !amb_cbor_get_uint(amb_cbor_map_get(item, "losses"), &losses))
        return;
    int zone = amb_catalog_find_or_add_zone(&node->catalog, name);
    if (zone < 0) return;
    amb_zone_health_restore(&node->zone_recovery.zones[zone], state,
                            losses < UINT32_MAX ? (uint32_t)losses : UINT32_MAX, amb_now());
    if (!amb_zone_health_state_admits_batch(state))
        node->zone_recovery.record.unavailable_zones |= 1u << zone;
    amb_info("zone %s: %s, as an earlier leader left it", name, state_name);
}

/* The steps stand in their order. */
static void load_step(struct amb_node *node, const cbor_item_t *item) {
    struct amb_recovery_order *order = &node->zone_recovery.order;
    struct amb_recovery_step *step = &order->steps[order->count];
    uint64_t priority;
    if (order->count == AMB_RECOVERY_STEPS) return;
    *step = (struct amb_recovery_step){.wait = AMB_RECOVERY_WAIT_ABSENCE_PROOF,
                                       .opened_at = amb_now(),
                                       .lost_class.list_position = AMB_RECOVERY_UNLISTED};
    if (!amb_cbor_copy_string(amb_cbor_map_get(item, "class"), step->lost_class.name,
                              sizeof step->lost_class.name) ||
        !amb_cbor_get_uint(amb_cbor_map_get(item, "priority"), &priority) ||
        priority > AMB_PRIORITY_PRODUCTION)
        return;
    step->lost_class.priority = (enum amb_priority)priority;
    order->count++;
}

void amb_zone_record_load(struct amb_node *node, const char *key, const cbor_item_t *value,
                          uint64_t revision) {
    uint64_t version = 0;
    if (!amb_zone_recovery_is_enabled(node) || strcmp(key, KEY) != 0) return;
    node->zone_recovery.record.revision = revision;
    if (!amb_cbor_get_uint(amb_cbor_map_get(value, "form"), &version) || version != FORM) return;
    const cbor_item_t *zones = amb_cbor_map_get(value, "zones"), *steps = amb_cbor_map_get(value, "steps");
    for (size_t i = 0; i < amb_cbor_list_length(zones); i++) load_zone(node, amb_cbor_list_item(zones, i));
    node->zone_recovery.order.count = 0;
    for (size_t i = 0; i < amb_cbor_list_length(steps); i++) load_step(node, amb_cbor_list_item(steps, i));
}
