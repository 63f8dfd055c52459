#include "amberpin/cloud_duty/scaling_intents.h"

#include "amberpin/base/log.h"
#include "amberpin/cloud/cloud_calls.h"
#include "amberpin/cloud/machine_release.h"
#include "amberpin/cloud/scale_out.h"
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/events.h"
#include "amberpin/node/node.h"

#include <stdio.h>
#include <string.h>

_Static_assert((int)AMB_DUTY_INTENT_ID_SIZE == (int)AMB_CLOUD_REQUEST_ID_SIZE,
               "the request id of a call has room for an intent id");

/* Creates an intent, under the term of the leader and only once: the key must be absent. */
static void create_intent(struct amb_node *node, enum amb_duty_name duty, const char *id,
                          const struct amb_duty_intent_payload *payload, amb_store_callback done) {
    char key[AMB_DUTY_KEY_SIZE];
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    const struct amb_duty_intent_record intent = {.duty = duty, .state = AMB_DUTY_INTENT_PENDING};
    struct amb_cloud_call *call = amb_cloud_call_new(node);
    strcpy(call->request_id, id);
    amb_duty_intent_key(key, duty, id);
    amb_duty_encode_intent(&value, &intent, payload);
    amb_txn_require_leadership(&transaction, node);
    amb_txn_compare(&transaction, key, 0);
    amb_txn_put(&transaction, key, &value, 0);
    amb_buf_free(&value);
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_PLACEMENT, done, call);
}

/* Copies the id of the intent and frees the call. Returns the node if it still leads under the term of the
 * call, else NULL. */
static struct amb_node *take_call(struct amb_cloud_call *call, char id[AMB_DUTY_INTENT_ID_SIZE]) {
    strcpy(id, call->request_id);
    return amb_cloud_call_take(call);
}

/* ---- scale out ---- */

static void handle_scale_out_created(void *arg, int status, const struct amb_cbor_item *body) {
    char id[AMB_DUTY_INTENT_ID_SIZE];
    struct amb_node *node = take_call(arg, id);
    struct amb_scale_out_request *request = node ? amb_scale_out_find(node, id) : NULL;
    (void)body;
    if (!request) return;
    request->in_flight = false;
    if (status == 200)
        request->state = AMB_SCALE_OUT_REQUESTING;
    else /* it may be recorded all the same: a change shows it, or a retry under the same id */
        request->retry_at = amb_now() + node->store.call_timeout;
}

static void create_scale_out(struct amb_node *node, struct amb_scale_out_request *request) {
    struct amb_duty_intent_payload payload = {
        .spot = request->spot, .count = request->count, .created_wall_ms = amb_wall_ms()};
    strcpy(payload.type, node->catalog.types[request->type].name);
    strcpy(payload.zone, node->catalog.zones[request->zone]);
    request->in_flight = true;
    create_intent(node, AMB_DUTY_RENT, request->id, &payload, handle_scale_out_created);
}

void amb_duties_write_scale_out(struct amb_node *node, amb_ms now) {
    for (struct amb_scale_out_request *request = node->cloud.scale_out.requests; request;
         request = request->next) {
        bool due =
            request->state == AMB_SCALE_OUT_RECORDING && !request->in_flight && now >= request->retry_at;
        if (request->via_intent && due) create_scale_out(node, request);
    }
}

/* Returns false if the catalog has no such machine type or no room for the zone. */
static bool read_kind(struct amb_node *node, const struct amb_duty_intent_payload *payload,
                      struct amb_scale_out_kind *out) {
    out->type = amb_catalog_find_type(&node->catalog, payload->type);
    out->zone = amb_catalog_find_or_add_zone(&node->catalog, payload->zone);
    out->spot = payload->spot;
    return out->type >= 0 && out->zone >= 0;
}

static void add_machines(struct amb_node *node, const struct amb_duty_intent_payload *payload) {
    struct amb_scale_out_kind kind;
    if (!read_kind(node, payload, &kind)) return;
    for (uint32_t i = 0; i < payload->machine_count; i++)
        amb_scale_out_add_machine(node, &kind, payload->machines[i]);
}

static void settle_scale_out(struct amb_node *node, const struct amb_duty_intent_record *intent,
                             const struct amb_duty_intent_payload *payload) {
    struct amb_scale_out_request *request = amb_scale_out_find(node, intent->id);
    if (intent->result == AMB_DUTY_RESULT_DONE) add_machines(node, payload);
    if (!request) return;
    if (intent->result == AMB_DUTY_RESULT_DONE)
        amb_scale_out_note_filled(node, request, payload->machine_count);
    else if (intent->result == AMB_DUTY_RESULT_NO_CAPACITY)
        amb_scale_out_note_no_capacity(node, request);
    else
        amb_error("scale-out request %s: rejected by the cloud as malformed", request->id);
    amb_scale_out_remove(node, request);
    amb_node_request_cycle(node);
}

static void apply_scale_out(struct amb_node *node, const struct amb_duty_intent_record *intent,
                            const struct amb_duty_intent_payload *payload) {
    struct amb_scale_out_request *request = amb_scale_out_find(node, intent->id);
    struct amb_scale_out_kind kind;
    if (intent->state == AMB_DUTY_INTENT_SETTLED) {
        settle_scale_out(node, intent, payload);
    } else if (request) {
        request->state = AMB_SCALE_OUT_REQUESTING;
    } else if (read_kind(node, payload, &kind)) {
        amb_scale_out_adopt_intent(node, intent->id, &kind, payload->count);
    }
}

/* Handles the removal of a record whose earlier changes were missed. The machine list shows its machines. */
static void forget_scale_out(struct amb_node *node, const struct amb_duty_intent_record *intent) {
    struct amb_scale_out_request *request =
        intent->duty == AMB_DUTY_RENT ? amb_scale_out_find(node, intent->id) : NULL;
    if (request && request->via_intent) amb_scale_out_remove(node, request);
}

/* ---- scale in ---- */

/* Marks a machine of a scale-in intent. It is never used again, whatever the result of the intent. */
static void mark_released(struct amb_machine *machine, const char *cause) {
    machine->scale_in_logged = true;
    amb_machine_mark_releasing(machine, cause);
}

static void apply_scale_in(struct amb_node *node, const struct amb_duty_intent_record *intent,
                           const struct amb_duty_intent_payload *payload) {
    bool gone = intent->state == AMB_DUTY_INTENT_SETTLED &&
                (intent->result == AMB_DUTY_RESULT_DONE || intent->result == AMB_DUTY_RESULT_GONE);
    for (uint32_t i = 0; i < payload->machine_count; i++) {
        struct amb_machine *machine = amb_machine_get(node, payload->machines[i], !gone);
        if (!machine) continue;
        mark_released(machine, "a recorded intent releases it");
        /* If the cloud did not accept the release, the machine still exists and is released by a new intent.
         */
        if (intent->state == AMB_DUTY_INTENT_SETTLED) machine->scale_in_logged = false;
        if (gone) amb_cloud_post_machine_gone(node, machine, AMB_ABSENCE_RELEASED);
    }
}

void amb_duties_note_machine(struct amb_node *node, struct amb_machine *machine) {
    const struct amb_duty_intent_entry *entry = node->duties.service.entries;
    for (; entry; entry = entry->hh.next) {
        if (!entry->record.present || entry->record.duty == AMB_DUTY_RENT) continue;
        for (uint32_t i = 0; i < entry->payload.machine_count; i++)
            if (!strcmp(entry->payload.machines[i], machine->name))
                mark_released(machine, "a recorded intent releases it");
    }
}

static void handle_scale_in_created(void *arg, int status, const struct amb_cbor_item *body) {
    char id[AMB_DUTY_INTENT_ID_SIZE];
    struct amb_node *node = take_call(arg, id);
    (void)body;
    if (!node || strcmp(id, node->duties.scale_in.id) != 0) return;
    struct amb_scale_in_intent *intent = &node->duties.scale_in;
    intent->in_flight = false;
    intent->retry_at = amb_now() + node->store.call_timeout;
    if (status != 200) return; /* a change shows if it is recorded; otherwise the same write is repeated */
    for (uint32_t i = 0; i < intent->payload.machine_count; i++) {
        struct amb_machine *machine = amb_machine_get(node, intent->payload.machines[i], false);
        if (machine) mark_released(machine, "its scale-in intent is recorded");
    }
    amb_duty_intent_payload_free(&intent->payload);
    memset(intent, 0, sizeof *intent);
}

static bool fits_intent(const struct amb_scale_in_intent *intent, const struct amb_machine *machine) {
    enum amb_duty_name duty = machine->scale_in_planned ? AMB_DUTY_RETURN : AMB_DUTY_RECLAIM;
    const char *reason = machine->release_reason ? machine->release_reason : "";
    return intent->duty == duty &&
           !strncmp(intent->payload.reason, reason, sizeof intent->payload.reason - 1);
}

/* Collects machines that are released for the same reason into one intent. Returns false if there are none.
 */
static bool collect_machines(struct amb_node *node) {
    struct amb_scale_in_intent *intent = &node->duties.scale_in;
    uint32_t max_machines = amb_duty_max_machines(amb_settings_lowered_limits(&node->settings).value_kb);
    struct amb_machine *machine, *next;
    HASH_ITER(hh, node->fleet.machines, machine, next) {
        if (!machine->release_pending || machine->scale_in_logged ||
            intent->payload.machine_count == max_machines)
            continue;
        if (!intent->payload.machine_count) {
            intent->duty = machine->scale_in_planned ? AMB_DUTY_RETURN : AMB_DUTY_RECLAIM;
            snprintf(intent->payload.reason, sizeof intent->payload.reason, "%s",
                     machine->release_reason ? machine->release_reason : "");
        }
        if (fits_intent(intent, machine))
            amb_duty_intent_payload_add_machine(&intent->payload, machine->name);
    }
    return intent->payload.machine_count > 0;
}

void amb_duties_write_scale_in(struct amb_node *node, amb_ms now) {
    struct amb_scale_in_intent *intent = &node->duties.scale_in;
    if (intent->in_flight || now < intent->retry_at) return;
    if (!intent->id[0]) {
        if (amb_duties_scaling_path(node) != AMB_SCALING_BY_HOLDER || !collect_machines(node)) return;
        intent->payload.created_wall_ms = amb_wall_ms();
        snprintf(intent->id, sizeof intent->id, "t-%llu-%llu", (unsigned long long)node->election.term,
                 (unsigned long long)++node->duties.scale_in_counter);
    }
    intent->in_flight = true;
    create_intent(node, intent->duty, intent->id, &intent->payload, handle_scale_in_created);
}

/* ---- records ---- */

bool amb_duties_has_pending_writes(const struct amb_node *node) {
    if (node->duties.scale_in.id[0]) return true;
    for (const struct amb_scale_out_request *request = node->cloud.scale_out.requests; request;
         request = request->next)
        if (request->via_intent && request->state == AMB_SCALE_OUT_RECORDING) return true;
    return false;
}

static void apply_intent(struct amb_node *node, const struct amb_duty_intent_record *intent,
                         const struct amb_duty_intent_payload *payload) {
    if (intent->duty == AMB_DUTY_RENT)
        apply_scale_out(node, intent, payload);
    else
        apply_scale_in(node, intent, payload);
}

void amb_duties_restore(struct amb_node *node) {
    struct amb_duty_intent_entry *entry, *next;
    HASH_ITER(hh, node->duties.service.entries, entry, next)
    if (entry->record.present) apply_intent(node, &entry->record, &entry->payload);
}

void amb_duties_apply_intent(struct amb_node *node, const struct amb_duty_intent_record *intent,
                             const struct amb_duty_intent_payload *payload) {
    struct amb_scale_in_intent *scale_in = &node->duties.scale_in;
    if (!amb_election_has_leader_role(node) || !node->controller.restored_at) return;
    if (!payload) {
        forget_scale_out(node, intent);
        return;
    }
    if (intent->duty != AMB_DUTY_RENT && !strcmp(intent->id, scale_in->id) && !scale_in->in_flight) {
        amb_duty_intent_payload_free(&scale_in->payload);
        memset(scale_in, 0, sizeof *scale_in);
    }
    apply_intent(node, intent, payload);
}
