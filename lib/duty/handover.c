/* Planned handover: the duty drains its open intents and is then released. */
#include "internal.h"

#include <stdio.h>
#include <string.h>

void duty_drain(struct duty_step *step, enum amb_duty_name name, const char *successor, const char *cause) {
    struct amb_duty *duty = &step->core->duties[name];
    if (duty->state != AMB_DUTY_HELD && duty->state != AMB_DUTY_FENCED) return;
    duty->drain_deadline = step->now + step->core->settings.drain_timeout;
    duty->release_sent = false;
    snprintf(duty->successor, sizeof duty->successor, "%s", successor);
    snprintf(duty->cause, sizeof duty->cause, "%s", cause);
    duty_set_state(step, name, AMB_DUTY_DRAINING, cause);
}

void duty_handle_fenced_call(struct duty_step *step, enum amb_duty_name name) {
    struct amb_duty *duty = &step->core->duties[name];
    if (!duty_is_owned(duty)) return;
    /* If another member has taken over, the comparison of the release fails. Otherwise the next claim has a
     * higher fencing token. */
    duty->fenced_calls++;
    duty_drain(step, name, "", "the cloud has seen a higher token");
    duty->drain_deadline = step->now;
}

static void send_release(struct duty_step *step, enum amb_duty_name name) {
    struct amb_duty_core *core = step->core;
    struct amb_duty *duty = &core->duties[name];
    struct amb_duty_action *commit = duty_emit_call(step, AMB_DUTY_COMMIT_RECORD, name);
    if (!commit) return;
    commit->record = duty->record;
    commit->record.state = AMB_DUTY_RECORD_RELEASED;
    strcpy(commit->record.successor, duty->successor);
    strcpy(commit->record.cause, duty->cause);
    commit->expected_revision = duty->revision;
    duty->call = commit->call;
    duty->called_at = step->now;
    duty->release_sent = true;
}

void duty_handover_handle_answer(struct duty_step *step, enum amb_duty_name name) {
    struct amb_duty *duty = &step->core->duties[name];
    duty->call = 0;
    duty->called_at = step->now;
    switch (step->event->result) {
    case AMB_CALL_OK:
        duty->record.state = AMB_DUTY_RECORD_RELEASED;
        strcpy(duty->record.successor, duty->successor);
        strcpy(duty->record.cause, duty->cause);
        duty->record.revision = step->event->revision;
        duty_finish_release(step, name);
        break;
    case AMB_CALL_CONFLICT:
        duty_lose(step, name, "replaced by another holder before the release");
        duty_request_record(step, name);
        break;
    default: duty_request_record(step, name); /* the release is retried with the same comparison */
    }
}

void duty_handover_advance(struct duty_step *step, enum amb_duty_name name) {
    struct amb_duty *duty = &step->core->duties[name];
    bool timed_out = duty_has_timed_out(step->core, duty->called_at, step->now);
    if (duty->call && timed_out) {
        duty->call = 0;
        duty_request_record(step, name);
    }
    bool retry_due = duty->release_sent && step->now - duty->called_at >= step->core->settings.call_timeout;
    bool ready = step->now >= duty->drain_deadline ||
                 !amb_duty_intent_table_is_open(&step->core->intents, name, duty->fencing_token);
    if (!duty->call && (duty->release_sent ? retry_due : ready)) send_release(step, name);
}
