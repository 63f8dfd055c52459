/* Processing of intents by the holder: recorded as sent, sent to the cloud, settled; and removal of settled
 * records. */
#include "internal.h"

#include <string.h>

/* Slots of the output that intents leave free for other actions of an event. */
enum { RESERVED_ACTIONS = 4 };

static bool has_room(struct duty_step *step) {
    bool room = step->out->count + RESERVED_ACTIONS < AMB_DUTY_MAX_ACTIONS;
    if (!room) step->out->more = true;
    return room;
}

static void set_phase(struct duty_step *step, struct amb_duty_intent *intent,
                      enum amb_duty_intent_phase phase, uint64_t call) {
    intent->phase = phase;
    intent->call = call;
    intent->called_at = step->now;
}

static void retry_later(struct duty_step *step, struct amb_duty_intent *intent) {
    intent->phase = AMB_DUTY_PHASE_IDLE;
    intent->call = 0;
    intent->retry_at = step->now + duty_backoff(step->core, intent->tries++);
}

static void request_intent(struct duty_step *step, const struct amb_duty_intent *intent) {
    struct amb_duty_action *read = duty_emit(step, AMB_DUTY_READ_INTENT, intent->record.duty);
    if (read) read->intent = intent->record;
}

/* ---- writes and calls ---- */

/* Every write compares the revision of this member's claim of the duty, and that of the intent. */
static void commit_intent(struct duty_step *step, struct amb_duty_intent *intent,
                          const struct amb_duty_intent_record *record, enum amb_duty_intent_phase phase) {
    struct amb_duty_action *commit = duty_emit_call(step, AMB_DUTY_COMMIT_INTENT, intent->record.duty);
    if (!commit) return;
    commit->intent = *record;
    commit->expected_revision = step->core->duties[intent->record.duty].revision;
    set_phase(step, intent, phase, commit->call);
}

static void call_cloud(struct duty_step *step, struct amb_duty_intent *intent) {
    enum amb_duty_name duty = intent->record.duty;
    if (!amb_duty_may_call(step->core, duty, step->now)) return;
    struct amb_duty_action *call = duty_emit_call(step, AMB_DUTY_CALL_CLOUD, duty);
    if (!call) return;
    call->intent = intent->record;
    call->fencing_token = step->core->duties[duty].fencing_token;
    set_phase(step, intent, AMB_DUTY_PHASE_CALLING, call->call);
}

static void begin_intent(struct duty_step *step, struct amb_duty_intent *intent) {
    const struct amb_duty *duty = &step->core->duties[intent->record.duty];
    bool is_holder =
        duty->state == AMB_DUTY_HELD || (duty->state == AMB_DUTY_DRAINING && !duty->release_sent);
    if (!is_holder || !has_room(step)) return;
    enum amb_duty_intent_result result;
    struct amb_duty_intent_record record;
    switch (amb_duty_intent_next_step(intent, duty->fencing_token, duty->state == AMB_DUTY_HELD, step->now,
                                      &result)) {
    case AMB_DUTY_STEP_NONE: break;
    case AMB_DUTY_STEP_MARK_SENT:
        record = amb_duty_intent_as_sent(intent, duty->fencing_token);
        commit_intent(step, intent, &record, AMB_DUTY_PHASE_MARKING_SENT);
        break;
    case AMB_DUTY_STEP_CALL: call_cloud(step, intent); break;
    case AMB_DUTY_STEP_SETTLE:
        record = amb_duty_intent_as_settled(intent, duty->fencing_token, result);
        intent->settling = result;
        commit_intent(step, intent, &record, AMB_DUTY_PHASE_SETTLING);
        break;
    }
}

static void remove_if_due(struct duty_step *step, struct amb_duty_intent *intent) {
    const struct amb_duty *cleanup = &step->core->duties[AMB_DUTY_CLEANUP];
    if (cleanup->state != AMB_DUTY_HELD || !has_room(step) ||
        !amb_duty_intent_is_removable(intent, &step->core->settings, step->now))
        return;
    struct amb_duty_action *remove = duty_emit_call(step, AMB_DUTY_REMOVE_INTENT, AMB_DUTY_CLEANUP);
    if (!remove) return;
    remove->intent = intent->record;
    remove->expected_revision = cleanup->revision;
    set_phase(step, intent, AMB_DUTY_PHASE_REMOVING, remove->call);
}

/* Handles a call without a response: it may have taken effect, or may do so later. */
static void give_up_call(struct duty_step *step, struct amb_duty_intent *intent) {
    if (intent->phase == AMB_DUTY_PHASE_CALLING)
        amb_duty_intent_apply_answer(intent, AMB_DUTY_CLOUD_NO_ANSWER, &step->core->settings);
    else
        request_intent(step, intent);
    retry_later(step, intent);
}

void duty_intents_advance(struct duty_step *step) {
    struct amb_duty_intent_table *table = &step->core->intents;
    uint32_t used = 0;
    for (uint32_t i = 0; i < table->capacity; i++) {
        struct amb_duty_intent *intent = &table->entries[i];
        if (!intent->record.id[0]) continue;
        used++;
        if (intent->phase && has_room(step) && duty_has_timed_out(step->core, intent->called_at, step->now))
            give_up_call(step, intent);
        if (intent->phase) continue;
        begin_intent(step, intent);
        if (!intent->phase) remove_if_due(step, intent);
    }
    /* A full table is relisted once per ttl all the same, because intents in it may have been removed by now.
     */
    bool due = used < table->capacity || step->now - table->list_requested_at >= step->core->settings.ttl;
    if (!table->overflowed || !due || !has_room(step)) return;
    table->overflowed = false;
    table->list_requested_at = step->now;
    duty_emit(step, AMB_DUTY_LIST_INTENTS, 0);
}

/* ---- responses and changes ---- */

static struct amb_duty_intent *find_by_call(struct amb_duty_core *core, uint64_t call) {
    for (uint32_t i = 0; i < core->intents.capacity; i++) {
        struct amb_duty_intent *intent = &core->intents.entries[i];
        if (intent->record.id[0] && intent->phase && intent->call == call) return intent;
    }
    return NULL;
}

static void apply_commit(struct duty_step *step, struct amb_duty_intent *intent) {
    struct amb_duty_intent_record record;
    uint64_t fencing_token = step->core->duties[intent->record.duty].fencing_token;
    switch (intent->phase) {
    case AMB_DUTY_PHASE_MARKING_SENT:
        record = amb_duty_intent_as_sent(intent, fencing_token);
        intent->unanswered = 0;
        break;
    case AMB_DUTY_PHASE_SETTLING:
        record = amb_duty_intent_as_settled(intent, fencing_token, intent->settling);
        intent->result = AMB_DUTY_RESULT_NONE;
        break;
    default: amb_duty_intent_table_remove(intent); return;
    }
    record.revision = step->event->revision;
    intent->phase = AMB_DUTY_PHASE_IDLE;
    intent->call = 0;
    intent->tries = 0;
    amb_duty_intent_apply_record(intent, &record, step->now);
}

bool duty_intents_handle_commit(struct duty_step *step) {
    struct amb_duty_intent *intent = find_by_call(step->core, step->event->call);
    if (!intent || intent->phase == AMB_DUTY_PHASE_CALLING) return false;
    enum amb_duty_name guarded =
        intent->phase == AMB_DUTY_PHASE_REMOVING ? AMB_DUTY_CLEANUP : intent->record.duty;
    if (step->event->result == AMB_CALL_OK) {
        apply_commit(step, intent);
        return true;
    }
    if (step->event->result != AMB_CALL_REFUSED) {
        request_intent(step, intent);
        duty_emit(step, AMB_DUTY_READ_RECORD, guarded);
    }
    retry_later(step, intent);
    return true;
}

void duty_intents_handle_answer(struct duty_step *step) {
    struct amb_duty_intent *intent = find_by_call(step->core, step->event->call);
    if (!intent || intent->phase != AMB_DUTY_PHASE_CALLING) return;
    enum amb_duty_name duty = intent->record.duty;
    bool known = amb_duty_intent_apply_answer(intent, step->event->answer, &step->core->settings);
    if (known) {
        intent->phase = AMB_DUTY_PHASE_IDLE;
        intent->call = 0;
        intent->tries = 0;
    } else {
        retry_later(step, intent);
    }
    if (step->event->answer == AMB_DUTY_CLOUD_FENCED) duty_handle_fenced_call(step, duty);
}

void duty_intents_apply_record(struct duty_step *step) {
    struct amb_duty_intent_table *table = &step->core->intents;
    const struct amb_duty_intent_record *record = &step->event->intent;
    struct amb_duty_intent *intent = amb_duty_intent_table_find(table, record->duty, record->id);
    if (!record->present) {
        if (intent && record->revision > intent->record.revision) amb_duty_intent_table_remove(intent);
        return;
    }
    /* Only known intents are read, so this one was removed after the read, and the removal was received
     * first. If it were added again, it would stay forever. */
    if (!intent && step->event->type == AMB_DUTY_INTENT_READ) return;
    bool had_overflowed = table->overflowed;
    if (!intent) intent = amb_duty_intent_table_add(table, record->duty, record->id);
    if (table->overflowed && !had_overflowed) table->list_requested_at = step->now;
    if (intent) amb_duty_intent_apply_record(intent, record, step->now);
}

void duty_intents_note_gone(struct duty_step *step) {
    struct amb_duty_intent *intent =
        amb_duty_intent_table_find(&step->core->intents, step->event->duty, step->event->intent.id);
    if (intent) intent->absence_proven = true;
}
