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

_Static_assert((int)AMB_DUTY_INTENT_ID_SIZE == (int)AMB_CLOUD_REQUEST_ID_SIZE, "a call holds an intent's id");

/* Intents are created under the leader's term, and once: the key must be absent. */
static void create_intent(struct amb_node *node, enum amb_duty_name duty, const char *id,
                          const struct amb_duty_intent_payload *work, amb_store_callback done) {
    char key[AMB_DUTY_KEY_SIZE];
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    const struct amb_duty_intent_record intent = {.duty = duty, .state = AMB_DUTY_INTENT_PENDING};
    struct amb_cloud_call *call = amb_cloud_call_new(node);
    strcpy(call->request_id, id);
    amb_duty_intent_key(key, duty, id);
    amb_duty_encode_intent(&value, &intent, work);
    amb_txn_require_leadership(&transaction, node);
    amb_txn_compare(&transaction, key, 0);
    amb_txn_put(&transaction, key, &value, 0);
    amb_buf_free(&value);
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_PLACEMENT, done, call);
}

/* The node, if it still leads under the term of the call; else NULL. Copies the intent's id, and frees the
 * call. */
static struct amb_node *take_call(struct amb_cloud_call *call, char id[AMB_DUTY_INTENT_ID_SIZE]) {
    strcpy(id, call->request_id);
    return amb_cloud_call_take(call);
}

/* ---- scale out ---- */

static void handle_scale_out_created(void *arg, int status, const cbor_item_t *body) {
    char id[AMB_DUTY_INTENT_ID_SIZE];
    struct amb_node *node = take_call(arg, id);
    struct amb_scale_out_request *request = node ? amb_scale_out_find(node, id) : NULL;
    (void)body;
    if (!request) return;
    request->in_flight = false;
    if (status == 200)
        request->state = AMB_SCALE_OUT_REQUESTING;
    else /* it may be there all the same: a change tells, or another try under the same id */
        request->retry_at = amb_now() + node->store.call_timeout;
}

static void create_scale_out(struct amb_node *node, struct amb_scale_out_request *request) {
    struct amb_duty_intent_payload work = {
        .spot = request->spot, .count = request->count, .created_wall_ms = amb_wall_ms()};
    strcpy(work.type, node->catalog.types[request->type].name);
    strcpy(work.zone, node->catalog.zones[request->zone]);
    request->in_flight = true;
    create_intent(node, AMB_DUTY_RENT, request->id, &work, handle_scale_out_created);
}

void amb_duties_write_scale_out(struct amb_node *node, amb_ms now) {
    for (struct amb_scale_out_request *request = node->cloud.scale_out.requests; request;
         request = request->next) {
        bool due =
            request->state == AMB_SCALE_OUT_RECORDING && !request->in_flight && now >= request->retry_at;
        if (request->via_intent && due) create_scale_out(node, request);
    }
}

/* False: the catalogue does not know the type, or there is no room for the zone. */
static bool read_kind(struct amb_node *node, const struct amb_duty_intent_payload *work,
                      struct amb_scale_out_kind *out) {
    out->type = amb_catalog_find_type(&node->catalog, work->type);
    out->zone = amb_catalog_find_or_add_zone(&node->catalog, work->zone);
    out->spot = work->spot;
    return out->type >= 0 && out->zone >= 0;
}

static void add_machines(struct amb_node *node, const struct amb_duty_intent_payload *work) {
    struct amb_scale_out_kind kind;
    if (!read_kind(node, work, &kind)) return;
    for (uint32_t i = 0; i < work->machine_count; i++)
        amb_scale_out_add_machine(node, &kind, work->machines[i]);
}

static void settle_scale_out(struct amb_node *node, const struct amb_duty_intent_record *intent,
                             const struct amb_duty_intent_payload *work) {
    struct amb_scale_out_request *request = amb_scale_out_find(node, intent->id);
    if (intent->result == AMB_DUTY_RESULT_DONE) add_machines(node, work);
    if (!request) return;
    if (intent->result == AMB_DUTY_RESULT_DONE)
        amb_scale_out_note_filled(node, request, work->machine_count);
    else if (intent->result == AMB_DUTY_RESULT_NO_CAPACITY)
        amb_scale_out_note_no_capacity(node, request);
    else
        amb_error("rental request %s: the cloud calls it malformed", request->id);
    amb_scale_out_remove(node, request);
    amb_node_request_cycle(node);
}

static void apply_scale_out(struct amb_node *node, const struct amb_duty_intent_record *intent,
                            const struct amb_duty_intent_payload *work) {
    struct amb_scale_out_request *request = amb_scale_out_find(node, intent->id);
    struct amb_scale_out_kind kind;
    if (intent->state == AMB_DUTY_INTENT_SETTLED) {
        settle_scale_out(node, intent, work);
    } else if (request) {
        request->state = AMB_SCALE_OUT_REQUESTING;
    } else if (read_kind(node, work, &kind)) {
        amb_scale_out_adopt_intent(node, intent->id, &kind, work->count);
    }
}

/* The record has been removed, and changes were missed before: the list shows the machines. */
static void forget_scale_out(struct amb_node *node, const struct amb_duty_intent_record *intent) {
    struct amb_scale_out_request *request =
        intent->duty == AMB_DUTY_RENT ? amb_scale_out_find(node, intent->id) : NULL;
    if (request && request->via_intent) amb_scale_out_remove(node, request);
}

/* ---- scale in ---- */

/* A machine of a scale-in intent is never used again, whatever becomes of the intent. */
static void mark_released(struct amb_machine *machine, const char *cause) {
    machine->scale_in_logged = true;
    amb_machine_mark_releasing(machine, cause);
}

static void apply_scale_in(struct amb_node *node, const struct amb_duty_intent_record *intent,
                           const struct amb_duty_intent_payload *work) {
    bool gone = intent->state == AMB_DUTY_INTENT_SETTLED &&
                (intent->result == AMB_DUTY_RESULT_DONE || intent->result == AMB_DUTY_RESULT_GONE);
    for (uint32_t i = 0; i < work->machine_count; i++) {
        struct amb_machine *machine = amb_machine_get(node, work->machines[i], !gone);
        if (!machine) continue;
        mark_released(machine, "a return is on record");
        /* If the cloud did not accept the release, the machine is still there and is released anew. */
        if (intent->state == AMB_DUTY_INTENT_SETTLED) machine->scale_in_logged = false;
        if (gone) amb_cloud_post_machine_gone(node, machine, AMB_ABSENCE_RELEASED);
    }
}

void amb_duties_note_machine(struct amb_node *node, struct amb_machine *machine) {
    const struct amb_duty_intent_entry *entry = node->duties.service.entries;
    for (; entry; entry = entry->hh.next) {
        if (!entry->record.present || entry->record.duty == AMB_DUTY_RENT) continue;
        for (uint32_t i = 0; i < entry->work.machine_count; i++)
            if (!strcmp(entry->work.machines[i], machine->name))
                mark_released(machine, "a return is on record");
    }
}

static void handle_scale_in_created(void *arg, int status, const cbor_item_t *body) {
    char id[AMB_DUTY_INTENT_ID_SIZE];
    struct amb_node *node = take_call(arg, id);
    (void)body;
    if (!node || strcmp(id, node->duties.scale_in.id) != 0) return;
    struct amb_scale_in_intent *intent = &node->duties.scale_in;
    intent->in_flight = false;
    intent->retry_at = amb_now() + node->store.call_timeout;
    if (status != 200) return; /* a change may tell that it is there; else the same again */
    for (uint32_t i = 0; i < intent->work.machine_count; i++) {
        struct amb_machine *machine = amb_machine_get(node, intent->work.machines[i], false);
        if (machine) mark_released(machine, "being returned");
    }
    amb_duty_intent_payload_free(&intent->work);
    memset(intent, 0, sizeof *intent);
}

static bool fits_intent(const struct amb_scale_in_intent *intent, const struct amb_machine *machine) {
    enum amb_duty_name duty = machine->scale_in_planned ? AMB_DUTY_RETURN : AMB_DUTY_RECLAIM;
    const char *reason = machine->release_reason ? machine->release_reason : "";
    return intent->duty == duty && !strncmp(intent->work.reason, reason, sizeof intent->work.reason - 1);
}

/* Machines that are released for the same reason go into one intent. */
static bool collect_machines(struct amb_node *node) {
    struct amb_scale_in_intent *intent = &node->duties.scale_in;
    uint32_t most = amb_duty_max_machines(amb_settings_lowered_limits(&node->settings).value_kb);
    struct amb_machine *machine, *next;
    HASH_ITER(hh, node->fleet.machines, machine, next) {
        if (!machine->release_pending || machine->scale_in_logged || intent->work.machine_count == most)
            continue;
        if (!intent->work.machine_count) {
            intent->duty = machine->scale_in_planned ? AMB_DUTY_RETURN : AMB_DUTY_RECLAIM;
            snprintf(intent->work.reason, sizeof intent->work.reason, "%s",
                     machine->release_reason ? machine->release_reason : "");
        }
        if (fits_intent(intent, machine)) amb_duty_intent_payload_add_machine(&intent->work, machine->name);
    }
    return intent->work.machine_count > 0;
}

void amb_duties_write_scale_in(struct amb_node *node, amb_ms now) {
    struct amb_scale_in_intent *intent = &node->duties.scale_in;
    if (intent->in_flight || now < intent->retry_at) return;
    if (!intent->id[0]) {
        if (amb_duties_scaling_path(node) != AMB_SCALING_BY_HOLDER || !collect_machines(node)) return;
        intent->work.created_wall_ms = amb_wall_ms();
        snprintf(intent->id, sizeof intent->id, "t-%llu-%llu", (unsigned long long)node->election.term,
                 (unsigned long long)++node->duties.scale_in_counter);
    }
    intent->in_flight = true;
    create_intent(node, intent->duty, intent->id, &intent->work, handle_scale_in_created);
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
                         const struct amb_duty_intent_payload *work) {
    if (intent->duty == AMB_DUTY_RENT)
        apply_scale_out(node, intent, work);
    else
        apply_scale_in(node, intent, work);
}

void amb_duties_restore(struct amb_node *node) {
    struct amb_duty_intent_entry *entry, *next;
    HASH_ITER(hh, node->duties.service.entries, entry, next)
    if (entry->record.present) apply_intent(node, &entry->record, &entry->work);
}

void amb_duties_apply_intent(struct amb_node *node, const struct amb_duty_intent_record *intent,
                             const struct amb_duty_intent_payload *work) {
    struct amb_scale_in_intent *scale_in = &node->duties.scale_in;
    if (!amb_election_has_leader_role(node) || !node->controller.restored_at) return;
    if (!work) {
        forget_scale_out(node, intent);
        return;
    }
    if (intent->duty != AMB_DUTY_RENT && !strcmp(intent->id, scale_in->id) && !scale_in->in_flight) {
        amb_duty_intent_payload_free(&scale_in->work);
        memset(scale_in, 0, sizeof *scale_in);
    }
    apply_intent(node, intent, work);
}
