/* Each duty's record: campaigning for it, holding it, and handing it over. */
#include "internal.h"

#include <stdio.h>
#include <string.h>

bool duty_is_owned(const struct amb_duty *duty) {
    return duty->state == AMB_DUTY_HELD || duty->state == AMB_DUTY_DRAINING || duty->state == AMB_DUTY_FENCED;
}

static void change_state(struct duty_step *step, enum amb_duty_name name, enum amb_duty_state to,
                         const char *cause) {
    struct amb_duty *duty = &step->core->duties[name];
    if (duty->state == to) return;
    /* Only a line in the log: when there is no room for it, nothing depends on it. */
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

static void request_record(struct duty_step *step, enum amb_duty_name name) {
    duty_emit(step, AMB_DUTY_READ_RECORD, name);
}

static void request_member(struct duty_step *step, const char *member) {
    struct amb_duty_action *read = member[0] ? duty_emit(step, AMB_DUTY_READ_MEMBER, 0) : NULL;
    if (read) strcpy(read->expected_member.member, member);
}

static bool is_claimed_by_this_incarnation(const struct amb_duty_core *core,
                                           const struct amb_duty_record *record) {
    return record->present && record->state == AMB_DUTY_RECORD_HELD &&
           !strcmp(record->holder, core->member) && core->incarnation.state == AMB_DUTY_INCARNATION_LIVE &&
           record->holder_incarnation == core->incarnation.revision;
}

/* Does nobody hold it, as far as is known? A member's key of another session than the one that claimed shows
 * that the claim's session is over, as its absence does. */
static bool is_vacant(struct amb_duty_core *core, const struct amb_duty *duty) {
    if (!duty->record_known) return false;
    if (!duty->record.present || duty->record.state == AMB_DUTY_RECORD_RELEASED) return true;
    const struct amb_duty_member *holder = duty_find_member(core, duty->record.holder);
    return !holder || !holder->alive || holder->incarnation != duty->record.holder_incarnation;
}

/* ---- winning and losing ---- */

static void win(struct duty_step *step, enum amb_duty_name name, const struct amb_duty_record *record,
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
    change_state(step, name, AMB_DUTY_HELD, cause);
}

static void lose(struct duty_step *step, enum amb_duty_name name, const char *cause) {
    struct amb_duty *duty = &step->core->duties[name];
    if (!duty_is_owned(duty) && duty->state != AMB_DUTY_CANDIDATE) return;
    duty_intents_reset(step->core, name);
    duty->call = 0;
    change_state(step, name, duty_is_owned(duty) ? AMB_DUTY_LOST : AMB_DUTY_IDLE, cause);
}

void duty_lose_all(struct duty_step *step, const char *cause) {
    for (int i = 0; i < AMB_DUTY_NAMES; i++) lose(step, (enum amb_duty_name)i, cause);
}

static void finish_release(struct duty_step *step, enum amb_duty_name name) {
    duty_intents_reset(step->core, name);
    step->core->duties[name].call = 0;
    step->core->duties[name].vacant = false;
    change_state(step, name, AMB_DUTY_IDLE, "released");
}

/* ---- campaigns ---- */

/* When to claim: the preferred member at once, each other one a backoff later than the one before it. A
 * successor that the last holder named goes first, and whoever released the duty comes last. */
static amb_ms candidacy_delay(struct duty_step *step, enum amb_duty_name name) {
    struct amb_duty_core *core = step->core;
    const struct amb_duty *duty = &core->duties[name];
    const struct amb_duty_record *record = &duty->record;
    uint32_t rank = amb_duty_rank(core->members, AMB_DUTY_MEMBERS, name, core->member,
                                  core->settings.flap_decay, step->now);
    if (record->present && record->state == AMB_DUTY_RECORD_RELEASED) {
        const struct amb_duty_member *successor = duty_find_member(core, record->successor);
        if (!strcmp(record->successor, core->member))
            rank = 0;
        else if (successor && successor->alive)
            rank++;
        if (!strcmp(record->holder, core->member)) rank = AMB_DUTY_MEMBERS;
    }
    uint32_t alive = 0;
    for (int i = 0; i < AMB_DUTY_MEMBERS; i++) alive += core->members[i].alive;
    if (rank > alive) rank = alive;
    if (!rank) return 0;
    amb_ms jitter = (amb_ms)(duty_next_random(core) % (uint64_t)(core->settings.backoff / 2 + 1));
    return (amb_ms)rank * core->settings.backoff + jitter;
}

static void begin_candidacy(struct duty_step *step, enum amb_duty_name name) {
    struct amb_duty *duty = &step->core->duties[name];
    amb_ms at = duty->vacant_since + candidacy_delay(step, name);
    amb_ms after_failure =
        duty->attempts ? step->now + duty_backoff(step->core, duty->attempts - 1) : step->now;
    duty->claim_at = at > after_failure ? at : after_failure;
    change_state(step, name, AMB_DUTY_CANDIDATE, "nobody holds it");
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
        /* The session that holds it must be over: its key gone, or that of another session. */
        const struct amb_duty_member *holder = duty_find_member(core, duty->record.holder);
        strcpy(commit->expected_member.member, duty->record.holder);
        commit->expected_member.revision = holder && holder->alive ? holder->incarnation : 0;
    }
    duty->call = commit->call;
    duty->called_at = step->now;
}

/* The claim may have been carried out, or may be later: only the record tells. A second claim has the same
 * guards, so that one of the two at most is carried out. */
static void handle_claim_timeout(struct duty_step *step, enum amb_duty_name name) {
    struct amb_duty *duty = &step->core->duties[name];
    duty->call = 0;
    duty->claim_at = step->now + duty_backoff(step->core, duty->attempts++);
    request_record(step, name);
}

static void handle_claim_failure(struct duty_step *step, enum amb_duty_name name, const char *cause) {
    struct amb_duty *duty = &step->core->duties[name];
    duty->call = 0;
    duty->attempts++;
    change_state(step, name, AMB_DUTY_IDLE, cause);
    request_record(step, name);
    request_member(step, duty->record.holder);
}

static void handle_claim_answer(struct duty_step *step, enum amb_duty_name name) {
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
        /* The answer may come when a later record is known already: then another has claimed since. */
        if (record.revision > duty->record.revision)
            win(step, name, &record, "the claim was carried out");
        else
            handle_claim_failure(step, name, "the claim is older than what is known");
        break;
    case AMB_CALL_NO_ANSWER: handle_claim_timeout(step, name); break;
    case AMB_CALL_CONFLICT: handle_claim_failure(step, name, "somebody else was first"); break;
    case AMB_CALL_NOT_FOUND:
    case AMB_CALL_REFUSED: handle_claim_failure(step, name, "the claim was refused"); break;
    }
}

/* ---- handing over ---- */

void duty_drain(struct duty_step *step, enum amb_duty_name name, const char *successor, const char *cause) {
    struct amb_duty *duty = &step->core->duties[name];
    if (duty->state != AMB_DUTY_HELD && duty->state != AMB_DUTY_FENCED) return;
    duty->drain_deadline = step->now + step->core->settings.drain_timeout;
    duty->release_sent = false;
    snprintf(duty->successor, sizeof duty->successor, "%s", successor);
    snprintf(duty->cause, sizeof duty->cause, "%s", cause);
    change_state(step, name, AMB_DUTY_DRAINING, cause);
}

void duty_handle_fenced_call(struct duty_step *step, enum amb_duty_name name) {
    struct amb_duty *duty = &step->core->duties[name];
    if (!duty_is_owned(duty)) return;
    /* If we have been replaced, the release fails by its guard. If not, the next claim has a higher token. */
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

static void handle_release_answer(struct duty_step *step, enum amb_duty_name name) {
    struct amb_duty *duty = &step->core->duties[name];
    duty->call = 0;
    duty->called_at = step->now;
    switch (step->event->result) {
    case AMB_CALL_OK:
        duty->record.state = AMB_DUTY_RECORD_RELEASED;
        strcpy(duty->record.successor, duty->successor);
        strcpy(duty->record.cause, duty->cause);
        duty->record.revision = step->event->revision;
        finish_release(step, name);
        break;
    case AMB_CALL_CONFLICT:
        lose(step, name, "replaced before it was released");
        request_record(step, name);
        break;
    default: request_record(step, name); /* and tried again, under the same guard */
    }
}

/* ---- time, answers and news ---- */

static void advance_candidacy(struct duty_step *step, enum amb_duty_name name) {
    struct amb_duty *duty = &step->core->duties[name];
    if (duty->call && duty_has_timed_out(step->core, duty->called_at, step->now))
        handle_claim_timeout(step, name);
    if (duty->call) return;
    if (!duty->vacant || step->core->stopping)
        change_state(step, name, AMB_DUTY_IDLE, duty->vacant ? "the member stops" : "another holds it");
    else if (step->now >= duty->claim_at && duty_incarnation_is_valid(step->core, step->now))
        send_claim(step, name);
}

static void advance_drain(struct duty_step *step, enum amb_duty_name name) {
    struct amb_duty *duty = &step->core->duties[name];
    bool late = duty_has_timed_out(step->core, duty->called_at, step->now);
    if (duty->call && late) {
        duty->call = 0;
        request_record(step, name);
    }
    bool again = duty->release_sent && step->now - duty->called_at >= step->core->settings.call_timeout;
    bool ready =
        step->now >= duty->drain_deadline || !duty_intents_are_open(step->core, name, duty->fencing_token);
    if (!duty->call && (duty->release_sent ? again : ready)) send_release(step, name);
}

static void update_vacancy(struct duty_step *step, struct amb_duty *duty) {
    bool vacant = is_vacant(step->core, duty);
    if (vacant && !duty->vacant) duty->vacant_since = step->now;
    if (!vacant) duty->attempts = 0;
    duty->vacant = vacant;
}

void duty_candidacy_advance(struct duty_step *step, enum amb_duty_name name) {
    struct amb_duty_core *core = step->core;
    struct amb_duty *duty = &core->duties[name];
    bool sure = duty_incarnation_is_valid(core, step->now);
    if (!core->settings.enabled[name]) return;
    if (!duty_is_owned(duty)) update_vacancy(step, duty);
    switch (duty->state) {
    case AMB_DUTY_IDLE:
        if (duty->vacant && sure && !core->stopping) begin_candidacy(step, name);
        break;
    case AMB_DUTY_CANDIDATE: advance_candidacy(step, name); break;
    case AMB_DUTY_HELD:
        if (core->stopping)
            duty_drain(step, name, "", "the member stops");
        else if (!sure)
            change_state(step, name, AMB_DUTY_FENCED, "the lease may have run out");
        break;
    case AMB_DUTY_FENCED:
        if (sure) change_state(step, name, AMB_DUTY_HELD, "the lease is renewed");
        break;
    case AMB_DUTY_DRAINING: advance_drain(step, name); break;
    case AMB_DUTY_LOST:
        if (step->now - duty->state_since >= core->settings.backoff)
            change_state(step, name, AMB_DUTY_IDLE, "the loss is over");
        break;
    }
    /* The preferred member claims at once. */
    if (duty->state == AMB_DUTY_CANDIDATE && !duty->call) advance_candidacy(step, name);
}

bool duty_candidacy_handle_commit(struct duty_step *step) {
    for (int i = 0; i < AMB_DUTY_NAMES; i++) {
        enum amb_duty_name name = (enum amb_duty_name)i;
        const struct amb_duty *duty = &step->core->duties[i];
        if (duty->call != step->event->call) continue;
        if (duty->state == AMB_DUTY_CANDIDATE)
            handle_claim_answer(step, name);
        else if (duty->state == AMB_DUTY_DRAINING)
            handle_release_answer(step, name);
        return true;
    }
    return false;
}

void duty_candidacy_apply_record(struct duty_step *step) {
    struct amb_duty_core *core = step->core;
    enum amb_duty_name name = step->event->duty;
    const struct amb_duty_record *record = &step->event->record;
    struct amb_duty *duty = &core->duties[name];
    if (duty->record_known && record->revision <= duty->record.revision) return;
    bool ours = is_claimed_by_this_incarnation(core, record);
    if (duty_is_owned(duty)) {
        if (duty->state == AMB_DUTY_DRAINING && record->state == AMB_DUTY_RECORD_RELEASED &&
            record->fencing_token == duty->fencing_token)
            finish_release(step, name);
        else
            lose(step, name, "the record names another");
    } else if (ours) {
        /* A claim whose answer was lost, or that was carried out late. */
        win(step, name, record, "the record is ours");
        return;
    }
    if (record->fencing_token != duty->record.fencing_token) duty->handovers++;
    duty->record = *record;
    duty->record_known = true;
}

/* ---- spreading ---- */

static uint32_t count_held_by(const struct amb_duty_core *core, const char *member) {
    uint32_t held = 0;
    for (int i = 0; i < AMB_DUTY_NAMES; i++) {
        const struct amb_duty_record *record = &core->duties[i].record;
        held += core->settings.enabled[i] && record->present && record->state == AMB_DUTY_RECORD_HELD &&
                !strcmp(record->holder, member);
    }
    return held;
}

/* The live member that comes first in rank among those that have been here for a ttl and hold less than a
 * fair share; NULL: none. */
static const struct amb_duty_member *choose_successor(struct duty_step *step, enum amb_duty_name name,
                                                      uint32_t share) {
    const struct amb_duty_core *core = step->core;
    const struct amb_duty_member *best = NULL;
    uint32_t best_rank = 0;
    for (int i = 1; i < AMB_DUTY_MEMBERS; i++) {
        const struct amb_duty_member *member = &core->members[i];
        if (!member->alive || step->now - member->alive_since < core->settings.ttl ||
            amb_duty_member_is_flapping(member, core->settings.flap_decay, step->now) ||
            count_held_by(core, member->name) + 1 >= share)
            continue;
        uint32_t rank = amb_duty_rank(core->members, AMB_DUTY_MEMBERS, name, member->name,
                                      core->settings.flap_decay, step->now);
        if (best && rank >= best_rank) continue;
        best = member;
        best_rank = rank;
    }
    return best;
}

void duty_rebalance(struct duty_step *step) {
    struct amb_duty_core *core = step->core;
    uint32_t enabled = 0, held = 0, live_members = 0, worst_rank = 0;
    enum amb_duty_name worst = AMB_DUTY_NAMES;
    for (int i = 0; i < AMB_DUTY_MEMBERS; i++) live_members += core->members[i].alive;
    for (int i = 0; i < AMB_DUTY_NAMES; i++) {
        enum amb_duty_name name = (enum amb_duty_name)i;
        enabled += core->settings.enabled[i];
        if (core->duties[i].state == AMB_DUTY_DRAINING) return; /* one at a time */
        if (core->duties[i].state != AMB_DUTY_HELD) continue;
        held++;
        uint32_t rank = amb_duty_rank(core->members, AMB_DUTY_MEMBERS, name, core->member,
                                      core->settings.flap_decay, step->now);
        if (worst != AMB_DUTY_NAMES && rank <= worst_rank) continue;
        worst = name;
        worst_rank = rank;
    }
    uint32_t share = amb_duty_fair_share(enabled, live_members);
    if (held <= share) return;
    const struct amb_duty_member *successor = choose_successor(step, worst, share);
    if (successor) duty_drain(step, worst, successor->name, "another member holds fewer");
}
