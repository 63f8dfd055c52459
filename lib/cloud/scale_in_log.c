#include "amberpin/cloud/scale_in_log.h"

#include "amberpin/base/log.h"
#include "amberpin/cloud/cloud_calls.h"
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/node.h"

#include <stdlib.h>
#include <string.h>

static const char LOG_KEY[] = "b/returns";

enum {
    FORM = 1,            /* of the records that this version writes */
    ENVELOPE_BYTES = 64, /* of the record, around the names */
    BYTES_PER_KB = 1024,
};

static void set_state(struct amb_node *node, enum amb_scale_in_log_state to, const char *cause) {
    static const char *const names[] = {"unrecorded", "writing", "unsure", "reading", "recorded"};
    struct amb_scale_in_log *scale_in_log = &node->cloud.scale_in_log;
    amb_debug("return record: %s -> %s: %s", names[scale_in_log->state], names[to], cause);
    scale_in_log->state = to;
}

static void retry_later(struct amb_node *node) {
    node->cloud.scale_in_log.retry_at = amb_now() + node->store.call_timeout / 4;
}

/* The node, if it still leads under the term of the call and waits for it; else NULL. Frees the call. */
static struct amb_node *take_call(void *arg, enum amb_scale_in_log_state expected) {
    struct amb_node *node = amb_cloud_call_take(arg);
    return node && node->cloud.scale_in_log.state == expected ? node : NULL;
}

/* ---- the value ---- */

size_t amb_scale_in_log_capacity_bytes(const struct amb_node *node) {
    return (size_t)(amb_settings_lowered_limits(&node->settings).value_kb * BYTES_PER_KB) - ENVELOPE_BYTES;
}

static void encode_names(struct amb_buf *out, const struct amb_cloud *cloud) {
    amb_cbor_write_map(out, 2);
    amb_cbor_write_string(out, "form");
    amb_cbor_write_uint(out, FORM);
    amb_cbor_write_string(out, "machines");
    amb_cbor_write_list(out, cloud->release_count);
    for (uint32_t i = 0; i < cloud->release_count; i++) amb_cbor_write_string(out, cloud->release_names[i]);
}

static bool has_same_names(const cbor_item_t *value, const struct amb_cloud *cloud) {
    const cbor_item_t *machines = amb_cbor_map_get(value, "machines");
    if (amb_cbor_list_length(machines) != cloud->release_count) return false;
    for (uint32_t i = 0; i < cloud->release_count; i++)
        if (!amb_cbor_equals(amb_cbor_list_item(machines, i), cloud->release_names[i])) return false;
    return true;
}

/* ---- writing ---- */

static void handle_write_answer(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node = take_call(arg, AMB_SCALE_IN_LOG_WRITING);
    if (!node) return;
    struct amb_scale_in_log *scale_in_log = &node->cloud.scale_in_log;
    if (status == 200 && amb_cbor_get_uint(amb_cbor_map_get(body, "epoch"), &scale_in_log->revision)) {
        set_state(node, AMB_SCALE_IN_LOG_RECORDED, "written");
        return;
    }
    bool perhaps_written = status == 200 || status == 0 || status == 409;
    set_state(node, perhaps_written ? AMB_SCALE_IN_LOG_UNKNOWN : AMB_SCALE_IN_LOG_UNRECORDED,
              "not written, or not known");
    retry_later(node);
}

/* Under the stamp that the key is known to have: of several copies of a write one is carried out at most, and
 * none once a later one stands there. */
static void write_record(struct amb_node *node) {
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    encode_names(&value, &node->cloud);
    amb_txn_require_leadership(&transaction, node);
    amb_txn_compare(&transaction, LOG_KEY, node->cloud.scale_in_log.revision);
    amb_txn_put(&transaction, LOG_KEY, &value, 0);
    amb_buf_free(&value);
    set_state(node, AMB_SCALE_IN_LOG_WRITING, "machines are to be returned");
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_FINAL_STATE, handle_write_answer,
                     amb_cloud_call_new(node));
}

static void handle_read_answer(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node = take_call(arg, AMB_SCALE_IN_LOG_READING);
    if (!node) return;
    struct amb_scale_in_log *scale_in_log = &node->cloud.scale_in_log;
    bool is_present =
        status == 200 && amb_cbor_get_uint(amb_cbor_map_get(body, "stamp"), &scale_in_log->revision);
    if (is_present && has_same_names(amb_cbor_map_get(body, "value"), &node->cloud)) {
        set_state(node, AMB_SCALE_IN_LOG_RECORDED, "it had been written");
        return;
    }
    if (status == 404) scale_in_log->revision = 0;
    set_state(node, is_present || status == 404 ? AMB_SCALE_IN_LOG_UNRECORDED : AMB_SCALE_IN_LOG_UNKNOWN,
              "read back");
    if (scale_in_log->state == AMB_SCALE_IN_LOG_UNKNOWN) retry_later(node);
}

static void read_record(struct amb_node *node) {
    set_state(node, AMB_SCALE_IN_LOG_READING, "what stands there is not known");
    amb_store_get(&node->store, LOG_KEY, AMB_STORE_PRIORITY_FINAL_STATE, handle_read_answer,
                  amb_cloud_call_new(node));
}

/* An old version would neither write nor heed the record, and one that it left standing could name machines
 * that have been given work since: it is used once no old process can lead any more. */
static bool is_in_use(const struct amb_node *node) {
    return amb_format_active(node) >= AMB_FORMAT_2;
}

bool amb_scale_in_log_ensure_recorded(struct amb_node *node, amb_ms now) {
    const struct amb_scale_in_log *scale_in_log = &node->cloud.scale_in_log;
    if (scale_in_log->state == AMB_SCALE_IN_LOG_RECORDED || !is_in_use(node)) return true;
    if (now < scale_in_log->retry_at) return false;
    if (scale_in_log->state == AMB_SCALE_IN_LOG_UNRECORDED)
        write_record(node);
    else if (scale_in_log->state == AMB_SCALE_IN_LOG_UNKNOWN)
        read_record(node);
    return false;
}

void amb_scale_in_log_note_released(struct amb_node *node) {
    if (node->cloud.scale_in_log.state == AMB_SCALE_IN_LOG_RECORDED)
        set_state(node, AMB_SCALE_IN_LOG_UNRECORDED, "the machines are gone");
}

void amb_scale_in_log_reset(struct amb_node *node) {
    memset(&node->cloud.scale_in_log, 0, sizeof node->cloud.scale_in_log);
}

/* ---- taking over ---- */

static const char RESTORED_CAUSE[] = "an earlier leader is returning it";

/* With duties in use the record is of before, and all calls for it had been answered when the mode was
 * written. */
void amb_scale_in_log_restore(struct amb_node *node, const char *key, const cbor_item_t *value,
                              uint64_t revision) {
    struct amb_cloud *cloud = &node->cloud;
    if (strcmp(key, LOG_KEY) != 0) return;
    cloud->scale_in_log.revision = revision;
    if (node->duties.mode == AMB_DUTY_MODE_DUTIES || cloud->release_count) return;
    const cbor_item_t *machines = amb_cbor_map_get(value, "machines");
    for (size_t i = 0; i < amb_cbor_list_length(machines) && cloud->release_count < AMB_RELEASE_MAX; i++) {
        char *name = cloud->release_names[cloud->release_count];
        if (!amb_cbor_copy_string(amb_cbor_list_item(machines, i), name, AMB_NAME_SIZE)) continue;
        cloud->release_count++;
        struct amb_machine *machine = amb_machine_get(node, name, false);
        if (machine) amb_machine_mark_releasing(machine, RESTORED_CAUSE);
    }
    if (cloud->release_count) set_state(node, AMB_SCALE_IN_LOG_RECORDED, "written by an earlier leader");
}

void amb_scale_in_log_note_machine(struct amb_node *node, struct amb_machine *machine) {
    const struct amb_cloud *cloud = &node->cloud;
    for (uint32_t i = 0; i < cloud->release_count; i++)
        if (!strcmp(cloud->release_names[i], machine->name))
            amb_machine_mark_releasing(machine, RESTORED_CAUSE);
}
