#include "amberpin/duty/intents.h"

#include <string.h>

/* The result that follows from evidence other than a response of the cloud: void, or the absence of the
 * machines. */
static enum amb_duty_intent_result result_from_evidence(const struct amb_duty_intent *intent) {
    const struct amb_duty_intent_record *record = &intent->record;
    /* The intent was never sent. Every call comes after a write that marks the record as sent, and that write
     * cannot be committed once the record is void, because both compare the revision of the pending record.
     */
    if (record->withdrawn && record->state == AMB_DUTY_INTENT_PENDING) return AMB_DUTY_RESULT_VOID;
    if (intent->absence_proven && record->duty != AMB_DUTY_RENT) return AMB_DUTY_RESULT_GONE;
    return AMB_DUTY_RESULT_NONE;
}

enum amb_duty_intent_step amb_duty_intent_next_step(const struct amb_duty_intent *intent,
                                                    uint64_t fencing_token, bool may_begin, amb_ms now,
                                                    enum amb_duty_intent_result *result) {
    const struct amb_duty_intent_record *record = &intent->record;
    *result = AMB_DUTY_RESULT_NONE;
    if (record->state == AMB_DUTY_INTENT_SETTLED || now < intent->retry_at) return AMB_DUTY_STEP_NONE;
    *result = intent->result ? intent->result : result_from_evidence(intent);
    if (*result) return AMB_DUTY_STEP_SETTLE;
    if (record->state == AMB_DUTY_INTENT_SENT && record->fencing_token == fencing_token)
        return AMB_DUTY_STEP_CALL;
    return may_begin ? AMB_DUTY_STEP_MARK_SENT : AMB_DUTY_STEP_NONE;
}

bool amb_duty_intent_is_removable(const struct amb_duty_intent *intent,
                                  const struct amb_duty_settings *settings, amb_ms now) {
    if (intent->record.state != AMB_DUTY_INTENT_SETTLED || now < intent->retry_at) return false;
    amb_ms keep = intent->record.unanswered ? settings->uncertain_retention : settings->settled_retention;
    return now - intent->state_known_at >= keep;
}

struct amb_duty_intent_record amb_duty_intent_as_sent(const struct amb_duty_intent *intent,
                                                      uint64_t fencing_token) {
    struct amb_duty_intent_record record = intent->record;
    if (record.state == AMB_DUTY_INTENT_SENT && record.fencing_token != fencing_token) record.unanswered++;
    record.state = AMB_DUTY_INTENT_SENT;
    record.fencing_token = fencing_token;
    return record;
}

struct amb_duty_intent_record amb_duty_intent_as_settled(const struct amb_duty_intent *intent,
                                                         uint64_t fencing_token,
                                                         enum amb_duty_intent_result result) {
    struct amb_duty_intent_record record = intent->record;
    record.state = AMB_DUTY_INTENT_SETTLED;
    record.result = result;
    record.fencing_token = fencing_token;
    /* If the cloud has carried out the call, a later copy has no effect, because ids are used once. */
    bool copies_harmless = result != AMB_DUTY_RESULT_NO_CAPACITY && result != AMB_DUTY_RESULT_MALFORMED;
    record.unanswered = copies_harmless ? 0 : record.unanswered + intent->unanswered;
    return record;
}

bool amb_duty_intent_apply_record(struct amb_duty_intent *intent, const struct amb_duty_intent_record *record,
                                  amb_ms now) {
    if (record->revision <= intent->record.revision) return false;
    intent->record = *record;
    intent->state_known_at = now;
    return true;
}

bool amb_duty_intent_apply_answer(struct amb_duty_intent *intent, enum amb_duty_cloud_answer answer,
                                  const struct amb_duty_settings *settings) {
    switch (answer) {
    case AMB_DUTY_CLOUD_DONE: intent->result = AMB_DUTY_RESULT_DONE; break;
    case AMB_DUTY_CLOUD_MALFORMED: intent->result = AMB_DUTY_RESULT_MALFORMED; break;
    case AMB_DUTY_CLOUD_NO_CAPACITY:
        intent->refusals++;
        if (intent->refusals >= settings->max_refusals) intent->result = AMB_DUTY_RESULT_NO_CAPACITY;
        break;
    case AMB_DUTY_CLOUD_NO_ANSWER: intent->unanswered++; break;
    case AMB_DUTY_CLOUD_BUSY:
    case AMB_DUTY_CLOUD_FENCED:
    case AMB_DUTY_CLOUD_NOT_SENT: break;
    }
    return intent->result != AMB_DUTY_RESULT_NONE;
}
