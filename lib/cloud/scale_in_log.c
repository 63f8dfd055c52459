#include "amberpin/cloud/scale_in_log.h"

#include "amberpin/base/log.h"
#include "amberpin/cloud/cloud_calls.h"
#include "amberpin/codec/kvstore_messages.h"
#include "amberpin/codec/scaling_records.h"
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/node.h"

#include <stdlib.h>
#include <string.h>

enum { BYTES_PER_KB = 1024 };

/* A failed write or read of the record is retried after a quarter of a store call's timeout. */
enum { RETRIES_PER_TIMEOUT = 4 };

static void set_state(struct amb_node *node, enum amb_scale_in_log_state to, const char *cause) {
    static const char *const names[] = {"unrecorded", "writing", "unsure", "reading", "recorded"};
    struct amb_scale_in_log *scale_in_log = &node->cloud.scale_in_log;
    amb_debug("scale-in log: %s -> %s: %s", names[scale_in_log->state], names[to], cause);
    scale_in_log->state = to;
}

static void retry_later(struct amb_node *node) {
    node->cloud.scale_in_log.retry_at = amb_now() + node->store.call_timeout / RETRIES_PER_TIMEOUT;
}

/* Returns the node if it still leads under the term of the call and the log is in the expected state, else
 * NULL. Frees the call. */
static struct amb_node *take_call(void *arg, enum amb_scale_in_log_state expected) {
    struct amb_node *node = amb_cloud_call_take(arg);
    return node && node->cloud.scale_in_log.state == expected ? node : NULL;
}

size_t amb_scale_in_log_capacity_bytes(const struct amb_node *node) {
    double value_bytes = amb_settings_lowered_limits(&node->settings).value_kb * BYTES_PER_KB;
    return (size_t)value_bytes - AMB_SCALE_IN_ENVELOPE_BYTES;
}

/* ---- writing ---- */

static void handle_write_answer(void *arg, int status, const struct amb_cbor_item *body) {
    struct amb_node *node = take_call(arg, AMB_SCALE_IN_LOG_WRITING);
    if (!node) return;
    struct amb_scale_in_log *scale_in_log = &node->cloud.scale_in_log;
    if (status == 200 && amb_kvstore_decode_commit(body, &scale_in_log->revision)) {
        set_state(node, AMB_SCALE_IN_LOG_RECORDED, "written");
        return;
    }
    bool perhaps_written = status == 200 || status == 0 || status == 409;
    set_state(node, perhaps_written ? AMB_SCALE_IN_LOG_UNKNOWN : AMB_SCALE_IN_LOG_UNRECORDED,
              "the write is not confirmed");
    retry_later(node);
}

/* Compares the last known revision of the key: at most one of several copies of this write is carried out,
 * and none after a later write. */
static void write_record(struct amb_node *node) {
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    const struct amb_machine_release *release = &node->cloud.release;
    amb_codec_encode_scale_in_record(&value, release->names, release->count);
    amb_txn_require_leadership(&transaction, node);
    amb_txn_compare(&transaction, AMB_SCALE_IN_KEY, node->cloud.scale_in_log.revision);
    amb_txn_put(&transaction, AMB_SCALE_IN_KEY, &value, 0);
    amb_buf_free(&value);
    set_state(node, AMB_SCALE_IN_LOG_WRITING, "machines are to be released");
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_FINAL_STATE, handle_write_answer,
                     amb_cloud_call_new(node));
}

static void handle_read_answer(void *arg, int status, const struct amb_cbor_item *body) {
    struct amb_node *node = take_call(arg, AMB_SCALE_IN_LOG_READING);
    if (!node) return;
    struct amb_scale_in_log *scale_in_log = &node->cloud.scale_in_log;
    struct amb_kvstore_entry entry;
    bool is_present = status == 200 && amb_kvstore_decode_entry(body, &entry);
    if (is_present) scale_in_log->revision = entry.revision;
    const struct amb_machine_release *release = &node->cloud.release;
    if (is_present && amb_codec_scale_in_record_equals(entry.value, release->names, release->count)) {
        set_state(node, AMB_SCALE_IN_LOG_RECORDED, "the read shows the release");
        return;
    }
    if (status == 404) scale_in_log->revision = 0;
    set_state(node, is_present || status == 404 ? AMB_SCALE_IN_LOG_UNRECORDED : AMB_SCALE_IN_LOG_UNKNOWN,
              "the read does not show the release");
    if (scale_in_log->state == AMB_SCALE_IN_LOG_UNKNOWN) retry_later(node);
}

static void read_record(struct amb_node *node) {
    set_state(node, AMB_SCALE_IN_LOG_READING, "the content of the record is unknown");
    amb_store_get(&node->store, AMB_SCALE_IN_KEY, AMB_STORE_PRIORITY_FINAL_STATE, handle_read_answer,
                  amb_cloud_call_new(node));
}

/* The log is used once no controller of format version 1 can lead any more. Such a controller neither writes
 * nor reads the record, and a record that it left in place could name machines that have been given work
 * since. */
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
        set_state(node, AMB_SCALE_IN_LOG_UNRECORDED, "the machines are released");
}

void amb_scale_in_log_reset(struct amb_node *node) {
    memset(&node->cloud.scale_in_log, 0, sizeof node->cloud.scale_in_log);
}

/* ---- restoring ---- */

static const char RESTORED_CAUSE[] = "an earlier leader recorded its release";

/* While duties are in use the names in the record are ignored: the record dates from before, and all its
 * calls had been answered when the mode was written. */
void amb_scale_in_log_restore(struct amb_node *node, const char *key, const struct amb_cbor_item *value,
                              uint64_t revision) {
    struct amb_machine_release *release = &node->cloud.release;
    if (strcmp(key, AMB_SCALE_IN_KEY) != 0) return;
    node->cloud.scale_in_log.revision = revision;
    if (node->duties.mode == AMB_DUTY_MODE_DUTIES || release->count) return;
    release->count = amb_codec_decode_scale_in_record(value, release->names, AMB_RELEASE_MAX);
    for (uint32_t i = 0; i < release->count; i++) {
        struct amb_machine *machine = amb_machine_get(node, release->names[i], false);
        if (machine) amb_machine_mark_releasing(machine, RESTORED_CAUSE);
    }
    if (release->count) set_state(node, AMB_SCALE_IN_LOG_RECORDED, "restored from an earlier leader");
}

void amb_scale_in_log_note_machine(struct amb_node *node, struct amb_machine *machine) {
    const struct amb_machine_release *release = &node->cloud.release;
    for (uint32_t i = 0; i < release->count; i++)
        if (!strcmp(release->names[i], machine->name)) amb_machine_mark_releasing(machine, RESTORED_CAUSE);
}
