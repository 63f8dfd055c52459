/* Candidacy for a vacant duty: when to claim it, and the result of the claim. */
#include "internal.h"

#include <string.h>

/* Returns true if no member holds the duty, as far as is known. The incarnation that claimed it is over if
 * the member key is absent or belongs to another incarnation. */
static bool is_vacant(struct amb_duty_core *core, const struct amb_duty *duty) {
    if (!duty->record_known) return false;
    if (!duty->record.present || duty->record.state == AMB_DUTY_RECORD_RELEASED) return true;
    const struct amb_duty_member *holder = duty_find_member(core, duty->record.holder);
    return !holder || !holder->alive || holder->incarnation != duty->record.holder_incarnation;
}

void duty_candidacy_update_vacancy(struct duty_step *step, struct amb_duty *duty) {
    bool vacant = is_vacant(step->core, duty);
    if (vacant && !duty->vacant) duty->vacant_since = step->now;
    if (!vacant) duty->attempts = 0;
    duty->vacant = vacant;
}

/* Delay before claiming: the preferred member claims at once, and each further member one backoff after the
 * member ranked before it. A successor named by the last holder claims first, and the member that released
 * the duty claims last. */
static amb_ms candidacy_delay(struct duty_step *step, enum amb_duty_name name) {
    struct amb_duty_core *core = step->core;
    const struct amb_duty *duty = &core->duties[name];
    const struct amb_duty_record *record = &duty->record;
    uint32_t rank = amb_duty_rank(core->members, AMB_DUTY_MAX_MEMBERS, name, core->member,
                                  core->settings.flap_decay, step->now);
    if (record->present && record->state == AMB_DUTY_RECORD_RELEASED) {
        const struct amb_duty_member *successor = duty_find_member(core, record->successor);
        if (!strcmp(record->successor, core->member))
            rank = 0;
        else if (successor && successor->alive)
            rank++;
        if (!strcmp(record->holder, core->member)) rank = AMB_DUTY_MAX_MEMBERS;
    }
    uint32_t alive = 0;
    for (int i = 0; i < AMB_DUTY_MAX_MEMBERS; i++) alive += core->members[i].alive;
    if (rank > alive) rank = alive;
    if (!rank) return 0;
    amb_ms jitter = (amb_ms)(duty_next_random(core) % (uint64_t)(core->settings.backoff / 2 + 1));
    return (amb_ms)rank * core->settings.backoff + jitter;
}

void duty_candidacy_begin(struct duty_step *step, enum amb_duty_name name) {
    struct amb_duty *duty = &step->core->duties[name];
    amb_ms at = duty->vacant_since + candidacy_delay(step, name);
    amb_ms after_failure =
        duty->attempts ? step->now + duty_backoff(step->core, duty->attempts - 1) : step->now;
    duty->claim_at = at > after_failure ? at : after_failure;
    duty_set_state(step, name, AMB_DUTY_CANDIDATE, "the duty is vacant");
}

static void send_claim(struct duty_step *step, enum amb_duty_name name) {
    struct amb_duty_core *core = step->core;
    struct amb_duty *duty = &core->duties[name];
    struct amb_duty_action *commit = duty_emit_call(step, AMB_DUTY_COMMIT_RECORD, name);
    if (!commit) return;
    duty->nonce = duty_next_random(core);
    commit->record = (struct amb_duty_record){.present = true,
                                              .state = AMB_DUTY_RECORD_HELD,
                                              .holder_incarnation = core->incarnation.revision,
                                              .fencing_token = duty->record.fencing_token + 1,
                                              .nonce = duty->nonce};
    strcpy(commit->record.holder, core->member);
    strcpy(commit->record.cause, duty->record.state == AMB_DUTY_RECORD_RELEASED ? "handed over" : "vacant");
    commit->expected_revision = duty->record.present ? duty->record.revision : 0;
    commit->expected_incarnation = core->incarnation.revision;
    if (duty->record.present && duty->record.state == AMB_DUTY_RECORD_HELD &&
        strcmp(duty->record.holder, core->member) != 0) {
        /* The incarnation of the holder must be over: its key is absent or belongs to another incarnation. */
        const struct amb_duty_member *holder = duty_find_member(core, duty->record.holder);
        strcpy(commit->expected_member.member, duty->record.holder);
        commit->expected_member.revision = holder && holder->alive ? holder->incarnation : 0;
    }
    duty->call = commit->call;
    duty->called_at = step->now;
}

/* The claim may have been committed, or may still be: only the record shows it. A second claim compares the
 * same revisions, so at most one of the two is committed. */
static void handle_claim_timeout(struct duty_step *step, enum amb_duty_name name) {
    struct amb_duty *duty = &step->core->duties[name];
    duty->call = 0;
    duty->claim_at = step->now + duty_backoff(step->core, duty->attempts++);
    duty_request_record(step, name);
}

static void handle_claim_failure(struct duty_step *step, enum amb_duty_name name, const char *cause) {
    struct amb_duty *duty = &step->core->duties[name];
    duty->call = 0;
    duty->attempts++;
    duty_set_state(step, name, AMB_DUTY_IDLE, cause);
    duty_request_record(step, name);
    duty_request_member(step, duty->record.holder);
}

void duty_candidacy_handle_answer(struct duty_step *step, enum amb_duty_name name) {
    struct amb_duty_core *core = step->core;
    struct amb_duty *duty = &core->duties[name];
    struct amb_duty_record record = {.present = true,
                                     .state = AMB_DUTY_RECORD_HELD,
                                     .holder_incarnation = core->incarnation.revision,
                                     .fencing_token = duty->record.fencing_token + 1,
                                     .nonce = duty->nonce,
                                     .revision = step->event->revision};
    strcpy(record.holder, core->member);
    switch (step->event->result) {
    case AMB_CALL_OK:
        /* If a later record is already known, another member has claimed since. */
        if (record.revision > duty->record.revision)
            duty_win(step, name, &record, "the claim was committed");
        else
            handle_claim_failure(step, name, "a later record than the claim is known");
        break;
    case AMB_CALL_NO_ANSWER: handle_claim_timeout(step, name); break;
    case AMB_CALL_CONFLICT: handle_claim_failure(step, name, "another member claimed first"); break;
    case AMB_CALL_NOT_FOUND:
    case AMB_CALL_REFUSED: handle_claim_failure(step, name, "the claim was refused"); break;
    }
}

void duty_candidacy_advance(struct duty_step *step, enum amb_duty_name name) {
    struct amb_duty *duty = &step->core->duties[name];
    if (duty->call && duty_has_timed_out(step->core, duty->called_at, step->now))
        handle_claim_timeout(step, name);
    if (duty->call) return;
    if (!duty->vacant || step->core->stopping)
        duty_set_state(step, name, AMB_DUTY_IDLE,
                       duty->vacant ? "the member stops" : "another member holds it");
    else if (step->now >= duty->claim_at && duty_incarnation_is_valid(step->core, step->now))
        send_claim(step, name);
}
