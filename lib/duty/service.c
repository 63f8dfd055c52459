#include "service_internal.h"

#include <stdlib.h>
#include <string.h>

void amb_duty_service_start(struct amb_duty_service *service,
                            const struct amb_duty_service_callbacks *callbacks,
                            const struct amb_duty_settings *settings, const char *member, uint64_t seed) {
    uint64_t incarnation = service->activation + 1;
    memset(service, 0, sizeof *service);
    service->activation = incarnation;
    service->callbacks = *callbacks;
    service->perform = duty_perform_action;
    service->intent_storage = amb_alloc(AMB_DUTY_MAX_INTENTS * sizeof *service->intent_storage);
    amb_duty_core_init(&service->core, settings, member, seed, service->intent_storage, AMB_DUTY_MAX_INTENTS);
    service->active = true;
    amb_duty_service_read_all(service);
}

void amb_duty_service_stop(struct amb_duty_service *service) {
    if (!service->active || service->stopping) return;
    service->stopping = true;
    duty_feed_event(service, &(struct amb_duty_event){.type = AMB_DUTY_STOP_REQUESTED});
}

void amb_duty_service_abort(struct amb_duty_service *service) {
    if (!service->active) return;
    uint64_t lease = service->core.incarnation.lease.id;
    if (lease) service->callbacks.kvstore.revoke(service->callbacks.kvstore.context, lease);
    duty_free_entries(service);
    free(service->intent_storage);
    free(service->queue);
    service->intent_storage = NULL;
    service->queue = NULL;
    service->queue_count = service->queue_capacity = 0;
    service->active = service->stopping = service->loaded = service->listing = false;
}

static bool holds_any(const struct amb_duty_service *service) {
    for (int i = 0; i < AMB_DUTY_COUNT; i++)
        if (amb_duty_service_is_holder(service, (enum amb_duty_name)i)) return true;
    return false;
}

/* A request of an operator applies to the holder at the time of the request, not to one that claimed later.
 */
static void apply_handovers(struct amb_duty_service *service) {
    for (int i = 0; i < AMB_DUTY_COUNT; i++) {
        const struct amb_duty *duty = &service->core.duties[i];
        const char *successor = service->handover[i].successor;
        if (duty->state != AMB_DUTY_HELD || service->handover_revision[i] <= duty->revision ||
            !strcmp(successor, service->core.member))
            continue;
        struct amb_duty_event event = {.type = AMB_DUTY_DRAIN_REQUESTED, .duty = (enum amb_duty_name)i};
        event.cause = "an operator asked for it";
        strcpy(event.successor, successor);
        duty_feed_event(service, &event);
    }
}

/* Returns true for a scale-in intent of a duty held by this member that may have been sent, if no proof of
 * absence has been fed yet. */
static bool needs_proof(const struct amb_duty_service *service, const struct amb_duty_intent *intent) {
    const struct amb_duty_intent_record *record = &intent->record;
    return record->id[0] && record->duty != AMB_DUTY_RENT && record->state == AMB_DUTY_INTENT_SENT &&
           !intent->absence_proven && amb_duty_service_is_holder(service, record->duty);
}

/* A scale-in intent whose calls get no response settles once its machines are proven absent. */
static void feed_proofs(struct amb_duty_service *service) {
    for (uint32_t i = 0; i < service->core.intents.capacity; i++) {
        const struct amb_duty_intent *intent = &service->core.intents.entries[i];
        if (!needs_proof(service, intent)) continue;
        char key[AMB_DUTY_KEY_SIZE];
        amb_duty_intent_key(key, intent->record.duty, intent->record.id);
        const struct amb_duty_intent_entry *entry = duty_find_entry(service, key);
        if (!entry || !service->callbacks.is_absence_proven(service->callbacks.context, &entry->payload))
            continue;
        duty_feed_event(service, &(struct amb_duty_event){.type = AMB_DUTY_ABSENCE_PROVEN,
                                                          .duty = intent->record.duty,
                                                          .intent = intent->record});
    }
}

void amb_duty_service_tick(struct amb_duty_service *service) {
    if (!service->active) return;
    duty_records_tick(service);
    apply_handovers(service);
    feed_proofs(service);
    duty_feed_event(service, &(struct amb_duty_event){.type = AMB_DUTY_TICK});
    if (service->stopping && !holds_any(service)) amb_duty_service_abort(service);
}

bool amb_duty_service_is_holder(const struct amb_duty_service *service, enum amb_duty_name duty) {
    if (!service->active) return false;
    enum amb_duty_state state = service->core.duties[duty].state;
    return state == AMB_DUTY_HELD || state == AMB_DUTY_DRAINING || state == AMB_DUTY_FENCED;
}

uint32_t amb_duty_service_count_open_intents(const struct amb_duty_service *service) {
    uint32_t open = 0;
    for (const struct amb_duty_intent_entry *entry = service->entries; entry; entry = entry->hh.next)
        open += entry->record.present && entry->record.state != AMB_DUTY_INTENT_SETTLED;
    return open;
}
