/* Duties held by this member: winning, losing and releasing them, and whether it may call the cloud for them.
 */
#include "internal.h"

#include <string.h>

bool duty_is_owned(const struct amb_duty *duty) {
    return duty->state == AMB_DUTY_HELD || duty->state == AMB_DUTY_DRAINING || duty->state == AMB_DUTY_FENCED;
}

bool amb_duty_may_call(const struct amb_duty_core *core, enum amb_duty_name name, amb_ms now) {
    const struct amb_duty *duty = &core->duties[name];
    bool holds = duty->state == AMB_DUTY_HELD || duty->state == AMB_DUTY_FENCED ||
                 /* Once the release has been sent, a successor may hold the duty at any moment. */
                 (duty->state == AMB_DUTY_DRAINING && !duty->call && !duty->release_sent);
    return holds && duty_incarnation_is_valid(core, now);
}

bool amb_duty_may_send(const struct amb_duty_core *core, const struct amb_duty_action *call, amb_ms now) {
    return amb_duty_may_call(core, call->duty, now) &&
           call->fencing_token == core->duties[call->duty].fencing_token;
}

void duty_set_state(struct duty_step *step, enum amb_duty_name name, enum amb_duty_state to,
                    const char *cause) {
    struct amb_duty *duty = &step->core->duties[name];
    if (duty->state == to) return;
    /* The action is only logged, so nothing depends on it if the output is full. */
    struct amb_duty_action *action = duty_emit(step, AMB_DUTY_STATE_CHANGED, name);
    if (action) {
        action->from = duty->state;
        action->to = to;
        action->cause = cause;
        action->fencing_token = duty->record.fencing_token;
    }
    duty->state = to;
    duty->state_since = step->now;
}

void duty_request_record(struct duty_step *step, enum amb_duty_name name) {
    duty_emit(step, AMB_DUTY_READ_RECORD, name);
}

void duty_request_member(struct duty_step *step, const char *member) {
    struct amb_duty_action *read = member[0] ? duty_emit(step, AMB_DUTY_READ_MEMBER, 0) : NULL;
    if (read) strcpy(read->expected_member.member, member);
}

void duty_win(struct duty_step *step, enum amb_duty_name name, const struct amb_duty_record *record,
              const char *cause) {
    struct amb_duty *duty = &step->core->duties[name];
    if (record->fencing_token != duty->record.fencing_token) duty->handovers++;
    duty->record = *record;
    duty->record_known = true;
    duty->fencing_token = record->fencing_token;
    duty->revision = record->revision;
    duty->call = 0;
    duty->attempts = 0;
    duty->vacant = duty->release_sent = false;
    duty_set_state(step, name, AMB_DUTY_HELD, cause);
}

void duty_lose(struct duty_step *step, enum amb_duty_name name, const char *cause) {
    struct amb_duty *duty = &step->core->duties[name];
    if (!duty_is_owned(duty) && duty->state != AMB_DUTY_CANDIDATE) return;
    amb_duty_intent_table_reset(&step->core->intents, name);
    duty->call = 0;
    duty_set_state(step, name, duty_is_owned(duty) ? AMB_DUTY_LOST : AMB_DUTY_IDLE, cause);
}

void duty_lose_all(struct duty_step *step, const char *cause) {
    for (int i = 0; i < AMB_DUTY_COUNT; i++) duty_lose(step, (enum amb_duty_name)i, cause);
}

void duty_finish_release(struct duty_step *step, enum amb_duty_name name) {
    amb_duty_intent_table_reset(&step->core->intents, name);
    step->core->duties[name].call = 0;
    step->core->duties[name].vacant = false;
    duty_set_state(step, name, AMB_DUTY_IDLE, "released");
}

static bool is_claimed_by_this_incarnation(const struct amb_duty_core *core,
                                           const struct amb_duty_record *record) {
    return record->present && record->state == AMB_DUTY_RECORD_HELD &&
           !strcmp(record->holder, core->member) && core->incarnation.state == AMB_DUTY_INCARNATION_LIVE &&
           record->holder_incarnation == core->incarnation.revision;
}

void duty_apply_record(struct duty_step *step) {
    struct amb_duty_core *core = step->core;
    enum amb_duty_name name = step->event->duty;
    const struct amb_duty_record *record = &step->event->record;
    struct amb_duty *duty = &core->duties[name];
    if (duty->record_known && record->revision <= duty->record.revision) return;
    bool ours = is_claimed_by_this_incarnation(core, record);
    if (duty_is_owned(duty)) {
        if (duty->state == AMB_DUTY_DRAINING && record->state == AMB_DUTY_RECORD_RELEASED &&
            record->fencing_token == duty->fencing_token)
            duty_finish_release(step, name);
        else
            duty_lose(step, name, "the record names another holder");
    } else if (ours) {
        /* The claim whose response was lost, or that was committed late. */
        duty_win(step, name, record, "the record names this incarnation");
        return;
    }
    if (record->fencing_token != duty->record.fencing_token) duty->handovers++;
    duty->record = *record;
    duty->record_known = true;
}
