#include "internal.h"

#include <string.h>

/* ---- one duty ---- */

static void advance_duty(struct duty_step *step, enum amb_duty_name name) {
    struct amb_duty_core *core = step->core;
    struct amb_duty *duty = &core->duties[name];
    bool lease_valid = duty_incarnation_is_valid(core, step->now);
    if (!core->settings.enabled[name]) return;
    if (!duty_is_owned(duty)) duty_candidacy_update_vacancy(step, duty);
    switch (duty->state) {
    case AMB_DUTY_IDLE:
        if (duty->vacant && lease_valid && !core->stopping) duty_candidacy_begin(step, name);
        break;
    case AMB_DUTY_CANDIDATE: duty_candidacy_advance(step, name); break;
    case AMB_DUTY_HELD:
        if (core->stopping)
            duty_drain(step, name, "", "the member stops");
        else if (!lease_valid)
            duty_set_state(step, name, AMB_DUTY_FENCED, "the lease may have expired");
        break;
    case AMB_DUTY_FENCED:
        if (lease_valid) duty_set_state(step, name, AMB_DUTY_HELD, "the lease was renewed");
        break;
    case AMB_DUTY_DRAINING: duty_handover_advance(step, name); break;
    case AMB_DUTY_LOST:
        if (step->now - duty->state_since >= core->settings.backoff)
            duty_set_state(step, name, AMB_DUTY_IDLE, "the backoff after the loss is over");
        break;
    }
    /* The preferred member claims in the same step. */
    if (duty->state == AMB_DUTY_CANDIDATE && !duty->call) duty_candidacy_advance(step, name);
}

static bool handle_duty_commit(struct duty_step *step) {
    for (int i = 0; i < AMB_DUTY_COUNT; i++) {
        enum amb_duty_name name = (enum amb_duty_name)i;
        const struct amb_duty *duty = &step->core->duties[i];
        if (duty->call != step->event->call) continue;
        if (duty->state == AMB_DUTY_CANDIDATE)
            duty_candidacy_handle_answer(step, name);
        else if (duty->state == AMB_DUTY_DRAINING)
            duty_handover_handle_answer(step, name);
        return true;
    }
    return false;
}

/* ---- the step ---- */

static void handle_commit(struct duty_step *step) {
    if (!step->event->call) return;
    if (duty_incarnation_handle_commit(step) || handle_duty_commit(step)) return;
    duty_intents_handle_commit(step);
}

static void begin_stop(struct duty_step *step) {
    step->core->stopping = true;
    for (int i = 0; i < AMB_DUTY_COUNT; i++) duty_drain(step, (enum amb_duty_name)i, "", "the member stops");
}

static void handle_event(struct duty_step *step) {
    const struct amb_duty_event *event = step->event;
    switch (event->type) {
    case AMB_DUTY_TICK: break;
    case AMB_DUTY_LEASE_GRANTED: duty_incarnation_handle_grant(step); break;
    case AMB_DUTY_LEASE_EXTENDED: duty_incarnation_handle_renewal(step); break;
    case AMB_DUTY_COMMITTED: handle_commit(step); break;
    case AMB_DUTY_MEMBER_CHANGED: duty_incarnation_apply_member(step); break;
    case AMB_DUTY_RECORD_CHANGED: duty_apply_record(step); break;
    case AMB_DUTY_INTENT_CHANGED:
    case AMB_DUTY_INTENT_READ: duty_intents_apply_record(step); break;
    case AMB_DUTY_CLOUD_ANSWERED: duty_intents_handle_answer(step); break;
    case AMB_DUTY_ABSENCE_PROVEN: duty_intents_note_gone(step); break;
    case AMB_DUTY_DRAIN_REQUESTED:
        duty_drain(step, event->duty, event->successor, event->cause ? event->cause : "handed over");
        break;
    case AMB_DUTY_STOP_REQUESTED: begin_stop(step); break;
    }
}

void amb_duty_core_step(struct amb_duty_core *core, const struct amb_duty_event *event,
                        struct amb_duty_output *out) {
    struct duty_step step = {.core = core, .event = event, .out = out, .now = event->now};
    out->count = 0;
    out->more = false;
    handle_event(&step);
    if (step.end_cause) duty_lose_all(&step, step.end_cause);
    duty_incarnation_advance(&step);
    for (int i = 0; i < AMB_DUTY_COUNT; i++) advance_duty(&step, (enum amb_duty_name)i);
    duty_rebalance(&step);
    duty_intents_advance(&step);
}

void amb_duty_core_init(struct amb_duty_core *core, const struct amb_duty_settings *settings,
                        const char *member, uint64_t seed, struct amb_duty_intent *intents,
                        uint32_t capacity) {
    memset(core, 0, sizeof *core);
    memset(intents, 0, sizeof *intents * capacity);
    core->settings = *settings;
    strcpy(core->member, member);
    core->random_state = seed;
    core->intents = (struct amb_duty_intent_table){.entries = intents, .capacity = capacity};
    strcpy(core->members[0].name, member);
}
