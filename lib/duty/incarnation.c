/* The incarnation of this member (its lease and the key on it), and the keys of the other members. */
#include "internal.h"

#include <string.h>

bool duty_incarnation_is_valid(const struct amb_duty_core *core, amb_ms now) {
    const struct amb_duty_incarnation *incarnation = &core->incarnation;
    return incarnation->state == AMB_DUTY_INCARNATION_LIVE &&
           amb_duty_lease_is_valid(&incarnation->lease, &core->settings, now);
}

struct amb_duty_member *duty_find_member(struct amb_duty_core *core, const char *name) {
    for (int i = 0; i < AMB_DUTY_MAX_MEMBERS; i++)
        if (core->members[i].name[0] && !strcmp(core->members[i].name, name)) return &core->members[i];
    return NULL;
}

/* Adds a member that is not known yet: in a free slot, or in that of the dead member whose lease was lost
 * longest ago. Returns NULL if all members are alive. */
static struct amb_duty_member *add_member(struct amb_duty_core *core, const char *name) {
    struct amb_duty_member *slot = NULL;
    for (int i = 1; i < AMB_DUTY_MAX_MEMBERS; i++) {
        struct amb_duty_member *member = &core->members[i];
        if (member->alive) continue;
        if (!member->name[0]) {
            slot = member;
            break;
        }
        if (!slot || member->last_loss_at < slot->last_loss_at) slot = member;
    }
    if (!slot) return NULL;
    memset(slot, 0, sizeof *slot);
    strcpy(slot->name, name);
    return slot;
}

/* ---- start, renewal and end of the incarnation ---- */

static void end_incarnation(struct duty_step *step, const char *cause) {
    struct amb_duty_incarnation *incarnation = &step->core->incarnation;
    struct amb_duty_action *revoke = incarnation->lease.id ? duty_emit(step, AMB_DUTY_REVOKE_LEASE, 0) : NULL;
    if (revoke) revoke->lease = incarnation->lease.id;
    bool live = incarnation->state == AMB_DUTY_INCARNATION_LIVE;
    memset(incarnation, 0, sizeof *incarnation);
    incarnation->retry_at = step->now + duty_backoff(step->core, 0);
    if (live) step->end_cause = cause;
}

static void request_lease(struct duty_step *step) {
    struct amb_duty_incarnation *incarnation = &step->core->incarnation;
    struct amb_duty_action *grant = duty_emit_call(step, AMB_DUTY_GRANT_LEASE, 0);
    if (!grant) return;
    incarnation->state = AMB_DUTY_INCARNATION_GRANTING;
    incarnation->call = grant->call;
    incarnation->called_at = incarnation->grant_sent_at = step->now;
}

/* The write compares the known revision of the key. A late copy of it compares the same revision and writes
 * the same value. */
static void write_key(struct duty_step *step) {
    struct amb_duty_core *core = step->core;
    struct amb_duty_incarnation *incarnation = &core->incarnation;
    struct amb_duty_action *action = duty_emit_call(step, AMB_DUTY_PUT_MEMBER, 0);
    if (!action) return;
    action->lease = incarnation->lease.id;
    action->member = (struct amb_duty_member_record){.present = true, .nonce = incarnation->nonce};
    strcpy(action->member.member, core->member);
    action->expected_revision = core->members[0].alive ? core->members[0].incarnation : 0;
    incarnation->state = AMB_DUTY_INCARNATION_WRITING;
    incarnation->call = action->call;
    incarnation->called_at = step->now;
}

static void request_key(struct duty_step *step) {
    struct amb_duty_incarnation *incarnation = &step->core->incarnation;
    struct amb_duty_action *read = duty_emit(step, AMB_DUTY_READ_MEMBER, 0);
    if (!read) return;
    strcpy(read->expected_member.member, step->core->member);
    incarnation->state = AMB_DUTY_INCARNATION_READING;
    incarnation->call = 0;
    incarnation->called_at = step->now;
}

static void begin_incarnation(struct duty_step *step, uint64_t revision) {
    struct amb_duty_incarnation *incarnation = &step->core->incarnation;
    struct amb_duty_member *self = &step->core->members[0];
    incarnation->state = AMB_DUTY_INCARNATION_LIVE;
    incarnation->revision = revision;
    incarnation->call = 0;
    incarnation->last_renewal_at = incarnation->grant_sent_at;
    if (!self->alive) self->alive_since = step->now;
    self->alive = true;
    self->incarnation = revision;
    self->nonce = incarnation->nonce;
    if (revision > self->seen_revision) self->seen_revision = revision;
}

static void renew_lease(struct duty_step *step) {
    struct amb_duty_incarnation *incarnation = &step->core->incarnation;
    if (incarnation->renewal && duty_has_timed_out(step->core, incarnation->renewal_sent_at, step->now))
        incarnation->renewal = 0;
    if (incarnation->renewal ||
        step->now - incarnation->last_renewal_at < step->core->settings.ttl / AMB_DUTY_RENEWALS_PER_TTL)
        return;
    struct amb_duty_action *extend = duty_emit_call(step, AMB_DUTY_EXTEND_LEASE, 0);
    if (!extend) return;
    extend->lease = incarnation->lease.id;
    incarnation->renewal = extend->call;
    incarnation->renewal_sent_at = incarnation->last_renewal_at = step->now;
}

void duty_incarnation_advance(struct duty_step *step) {
    struct amb_duty_core *core = step->core;
    struct amb_duty_incarnation *incarnation = &core->incarnation;
    bool timed_out = duty_has_timed_out(core, incarnation->called_at, step->now);
    switch (incarnation->state) {
    case AMB_DUTY_INCARNATION_NONE:
        if (step->now >= incarnation->retry_at && !core->stopping) request_lease(step);
        break;
    case AMB_DUTY_INCARNATION_GRANTING:
        if (timed_out) end_incarnation(step, "no lease was granted");
        break;
    case AMB_DUTY_INCARNATION_WRITING:
    case AMB_DUTY_INCARNATION_READING:
        /* The lease is not renewed in these states. */
        if (!amb_duty_lease_is_valid(&incarnation->lease, &core->settings, step->now))
            end_incarnation(step, "the member key could not be written in time");
        else if (timed_out)
            request_key(step);
        break;
    case AMB_DUTY_INCARNATION_LIVE: renew_lease(step); break;
    }
}

/* ---- responses and changes ---- */

void duty_incarnation_handle_grant(struct duty_step *step) {
    struct amb_duty_incarnation *incarnation = &step->core->incarnation;
    const struct amb_duty_event *event = step->event;
    if (incarnation->state != AMB_DUTY_INCARNATION_GRANTING || event->call != incarnation->call) {
        /* A response that is no longer waited for: its lease is unused, unless this is a copy of the response
         * that granted the current lease. */
        bool is_unused = event->result == AMB_CALL_OK && event->lease != incarnation->lease.id;
        struct amb_duty_action *revoke = is_unused ? duty_emit(step, AMB_DUTY_REVOKE_LEASE, 0) : NULL;
        if (revoke) revoke->lease = event->lease;
        return;
    }
    if (event->result != AMB_CALL_OK) {
        end_incarnation(step, "no lease was granted");
        return;
    }
    incarnation->lease.id = event->lease;
    amb_duty_lease_note_renewal(&incarnation->lease, incarnation->grant_sent_at);
    incarnation->nonce = duty_next_random(step->core);
    write_key(step);
}

void duty_incarnation_handle_renewal(struct duty_step *step) {
    struct amb_duty_incarnation *incarnation = &step->core->incarnation;
    const struct amb_duty_event *event = step->event;
    if (!incarnation->renewal || event->call != incarnation->renewal) return;
    incarnation->renewal = 0;
    if (event->result == AMB_CALL_OK)
        amb_duty_lease_note_renewal(&incarnation->lease, incarnation->renewal_sent_at);
    else if (event->result == AMB_CALL_NOT_FOUND)
        end_incarnation(step, "the lease has expired");
}

bool duty_incarnation_handle_commit(struct duty_step *step) {
    struct amb_duty_incarnation *incarnation = &step->core->incarnation;
    const struct amb_duty_event *event = step->event;
    if (incarnation->state != AMB_DUTY_INCARNATION_WRITING || event->call != incarnation->call) return false;
    switch (event->result) {
    case AMB_CALL_OK: begin_incarnation(step, event->revision); break;
    case AMB_CALL_CONFLICT:
    case AMB_CALL_NO_ANSWER: request_key(step); break;
    case AMB_CALL_NOT_FOUND:
    case AMB_CALL_REFUSED: end_incarnation(step, "the member key was refused"); break;
    }
    return true;
}

/* Applies a change or a read of this member's own key. */
static void apply_own_key(struct duty_step *step, const struct amb_duty_member_record *record) {
    struct amb_duty_incarnation *incarnation = &step->core->incarnation;
    bool ours = record->present && record->nonce == incarnation->nonce;
    switch (incarnation->state) {
    case AMB_DUTY_INCARNATION_WRITING:
        if (ours) begin_incarnation(step, record->revision);
        break;
    case AMB_DUTY_INCARNATION_READING:
        if (ours)
            begin_incarnation(step, record->revision);
        else
            write_key(step);
        break;
    case AMB_DUTY_INCARNATION_LIVE:
        if (!ours && record->revision > incarnation->revision)
            end_incarnation(step, record->present ? "another process uses this member name"
                                                  : "the member key was removed");
        break;
    default: break;
    }
}

void duty_incarnation_apply_member(struct duty_step *step) {
    struct amb_duty_core *core = step->core;
    const struct amb_duty_member_record *record = &step->event->member;
    struct amb_duty_member *member = duty_find_member(core, record->member);
    if (!member && record->present) member = add_member(core, record->member);
    if (!member || record->revision < member->seen_revision) return;
    bool self = member == &core->members[0];
    bool renewed = record->present && member->alive && record->revision == member->incarnation;
    if (!renewed) {
        if (member->alive) amb_duty_member_note_loss(member, step->now);
        if (record->present) member->alive_since = step->now;
        member->alive = record->present;
        member->incarnation = record->present ? record->revision : 0;
        member->nonce = record->nonce;
        member->seen_revision = record->revision;
    }
    if (self) apply_own_key(step, record);
}
