#include "amberpin/cloud/scale_in_log.h"

#include "amberpin/base/log.h"
#include "amberpin/cloud/cloud_calls.h"
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/node.h"

#include <stdlib.h>
#include <string.h>

static const char KEY[] = "b/returns";

enum {
    FORM = 1,            /* of the records that this version writes */
    ENVELOPE_BYTES = 64, /* of the record, around the names */
    BYTES_PER_KB = 1024,
};

static void set_state(struct amb_node *node, enum amb_return_record_state to, const char *cause) {
    static const char *const names[] = {"unrecorded", "writing", "unsure", "reading", "recorded"};
    struct amb_return_record *record = &node->cloud.return_record;
    amb_debug("return record: %s -> %s: %s", names[record->state], names[to], cause);
    record->state = to;
}

static void retry_later(struct amb_node *node) {
    node->cloud.return_record.retry_at = amb_now() + node->store.call_timeout / 4;
}

/* The node, if it still leads under the term of the call and waits for it; else NULL. Frees the call. */
static struct amb_node *take_call(void *arg, enum amb_return_record_state waits) {
    struct amb_node *node = amb_cloud_call_take(arg);
    return node && node->cloud.return_record.state == waits ? node : NULL;
}

/* ---- the value ---- */

size_t amb_return_record_room(const struct amb_node *node) {
    return (size_t)(amb_settings_lowered_limits(&node->settings).value_kb * BYTES_PER_KB) - ENVELOPE_BYTES;
}

static void put_value(struct amb_buf *out, const struct amb_rental *rental) {
    amb_w_map(out, 2);
    amb_w_str(out, "form");
    amb_w_uint(out, FORM);
    amb_w_str(out, "machines");
    amb_w_list(out, rental->nrelease);
    for (uint32_t i = 0; i < rental->nrelease; i++) amb_w_str(out, rental->release_names[i]);
}

static bool names_these(const cbor_item_t *value, const struct amb_rental *rental) {
    const cbor_item_t *machines = amb_cbor_get(value, "machines");
    if (amb_cbor_len(machines) != rental->nrelease) return false;
    for (uint32_t i = 0; i < rental->nrelease; i++)
        if (!amb_cbor_eq(amb_cbor_at(machines, i), rental->release_names[i])) return false;
    return true;
}

/* ---- writing ---- */

static void written(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node = take_call(arg, AMB_RETURN_WRITING);
    if (!node) return;
    struct amb_return_record *record = &node->cloud.return_record;
    if (status == 200 && amb_cbor_uint(amb_cbor_get(body, "epoch"), &record->stamp)) {
        set_state(node, AMB_RETURN_RECORDED, "written");
        return;
    }
    bool perhaps_written = status == 200 || status == 0 || status == 409;
    set_state(node, perhaps_written ? AMB_RETURN_UNSURE : AMB_RETURN_UNRECORDED, "not written, or not known");
    retry_later(node);
}

/* Under the stamp that the key is known to have: of several copies of a write one is carried out at most, and
 * none once a later one stands there. */
static void write_record(struct amb_node *node) {
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    put_value(&value, &node->cloud);
    amb_txn_require_leadership(&transaction, node);
    amb_txn_compare(&transaction, KEY, node->cloud.return_record.stamp);
    amb_txn_put(&transaction, KEY, &value, 0);
    amb_buf_free(&value);
    set_state(node, AMB_RETURN_WRITING, "machines are to be returned");
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_FINAL_STATE, written,
                     amb_cloud_call_new(node));
}

static void read_back(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node = take_call(arg, AMB_RETURN_READING);
    if (!node) return;
    struct amb_return_record *record = &node->cloud.return_record;
    bool there = status == 200 && amb_cbor_uint(amb_cbor_get(body, "stamp"), &record->stamp);
    if (there && names_these(amb_cbor_get(body, "value"), &node->cloud)) {
        set_state(node, AMB_RETURN_RECORDED, "it had been written");
        return;
    }
    if (status == 404) record->stamp = 0;
    set_state(node, there || status == 404 ? AMB_RETURN_UNRECORDED : AMB_RETURN_UNSURE, "read back");
    if (record->state == AMB_RETURN_UNSURE) retry_later(node);
}

static void read_record(struct amb_node *node) {
    set_state(node, AMB_RETURN_READING, "what stands there is not known");
    amb_store_get(&node->store, KEY, AMB_STORE_PRIORITY_FINAL_STATE, read_back, amb_cloud_call_new(node));
}

/* An old version would neither write nor heed the record, and one that it left standing could name machines
 * that have been given work since: it is used once no old process can lead any more. */
static bool is_used(const struct amb_node *node) {
    return amb_format_active(node) >= AMB_FORMAT_2;
}

bool amb_return_record_ready(struct amb_node *node, amb_ms now) {
    const struct amb_return_record *record = &node->cloud.return_record;
    if (record->state == AMB_RETURN_RECORDED || !is_used(node)) return true;
    if (now < record->retry_at) return false;
    if (record->state == AMB_RETURN_UNRECORDED)
        write_record(node);
    else if (record->state == AMB_RETURN_UNSURE)
        read_record(node);
    return false;
}

void amb_return_record_settled(struct amb_node *node) {
    if (node->cloud.return_record.state == AMB_RETURN_RECORDED)
        set_state(node, AMB_RETURN_UNRECORDED, "the machines are gone");
}

void amb_return_record_clear(struct amb_node *node) {
    memset(&node->cloud.return_record, 0, sizeof node->cloud.return_record);
}

/* ---- taking over ---- */

static const char CAUSE[] = "an earlier leader is returning it";

/* With duties in use the record is of before, and all calls for it had been answered when the mode was
 * written. */
void amb_return_record_load(struct amb_node *node, const char *key, const cbor_item_t *value,
                            uint64_t stamp) {
    struct amb_rental *rental = &node->cloud;
    if (strcmp(key, KEY) != 0) return;
    rental->return_record.stamp = stamp;
    if (node->duties.mode == AMB_DUTY_MODE_DUTIES || rental->nrelease) return;
    const cbor_item_t *machines = amb_cbor_get(value, "machines");
    for (size_t i = 0; i < amb_cbor_len(machines) && rental->nrelease < AMB_RELEASE_MAX; i++) {
        char *name = rental->release_names[rental->nrelease];
        if (!amb_cbor_str(amb_cbor_at(machines, i), name, AMB_NAME_SIZE)) continue;
        rental->nrelease++;
        struct amb_machine *machine = amb_machine_get(node, name, false);
        if (machine) amb_machine_returning(machine, CAUSE);
    }
    if (rental->nrelease) set_state(node, AMB_RETURN_RECORDED, "written by an earlier leader");
}

void amb_return_record_machine_known(struct amb_node *node, struct amb_machine *machine) {
    const struct amb_rental *rental = &node->cloud;
    for (uint32_t i = 0; i < rental->nrelease; i++)
        if (!strcmp(rental->release_names[i], machine->name)) amb_machine_returning(machine, CAUSE);
}
