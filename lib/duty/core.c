#include "internal.h"

#include <string.h>

enum {
    MAX_DOUBLINGS = 4,
    TIMEOUTS_UNTIL_GIVEN_UP =
        3, /* an answer that has not come after so many call timeouts is not waited for */
};

struct amb_duty_action *duty_emit(struct duty_step *step, enum amb_duty_action_type type,
                                  enum amb_duty_name duty) {
    struct amb_duty_output *out = step->out;
    if (out->count == AMB_DUTY_MAX_ACTIONS) {
        out->more = true;
        return NULL;
    }
    struct amb_duty_action *action = &out->actions[out->count++];
    memset(action, 0, sizeof *action);
    action->type = type;
    action->duty = duty;
    return action;
}

struct amb_duty_action *duty_emit_call(struct duty_step *step, enum amb_duty_action_type type,
                                       enum amb_duty_name duty) {
    struct amb_duty_action *action = duty_emit(step, type, duty);
    if (action) action->call = ++step->core->call_counter;
    return action;
}

uint64_t duty_next_random(struct amb_duty_core *core) { /* splitmix64 */
    uint64_t mixed = core->random_state += 0x9e3779b97f4a7c15ULL;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

amb_ms duty_backoff(struct amb_duty_core *core, uint32_t failures) {
    uint32_t doublings = failures < MAX_DOUBLINGS ? failures : MAX_DOUBLINGS;
    amb_ms wait = core->settings.backoff << doublings;
    return wait + (amb_ms)(duty_next_random(core) % (uint64_t)(wait / 2 + 1));
}

bool duty_has_timed_out(const struct amb_duty_core *core, amb_ms since, amb_ms now) {
    return now - since >= core->settings.call_timeout * TIMEOUTS_UNTIL_GIVEN_UP;
}

/* ---- the step ---- */

static void handle_commit(struct duty_step *step) {
    if (!step->event->call) return;
    if (duty_incarnation_handle_commit(step) || duty_candidacy_handle_commit(step)) return;
    duty_intents_handle_commit(step);
}

static void begin_stop(struct duty_step *step) {
    step->core->stopping = true;
    for (int i = 0; i < AMB_DUTY_NAMES; i++) duty_drain(step, (enum amb_duty_name)i, "", "the member stops");
}

static void handle_event(struct duty_step *step) {
    const struct amb_duty_event *event = step->event;
    switch (event->type) {
    case AMB_DUTY_TICK: break;
    case AMB_DUTY_LEASE_GRANTED: duty_incarnation_handle_grant(step); break;
    case AMB_DUTY_LEASE_EXTENDED: duty_incarnation_handle_renewal(step); break;
    case AMB_DUTY_COMMITTED: handle_commit(step); break;
    case AMB_DUTY_MEMBER_CHANGED: duty_incarnation_apply_member(step); break;
    case AMB_DUTY_RECORD_CHANGED: duty_candidacy_apply_record(step); break;
    case AMB_DUTY_INTENT_CHANGED:
    case AMB_DUTY_INTENT_READ: duty_intents_apply_record(step); break;
    case AMB_DUTY_CLOUD_ANSWERED: duty_intents_handle_answer(step); break;
    case AMB_DUTY_PROVED_GONE: duty_intents_note_gone(step); break;
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
    duty_incarnation_advance(&step);
    for (int i = 0; i < AMB_DUTY_NAMES; i++) duty_candidacy_advance(&step, (enum amb_duty_name)i);
    duty_rebalance(&step);
    duty_intents_advance(&step);
}

bool amb_duty_may_call(const struct amb_duty_core *core, enum amb_duty_name name, amb_ms now) {
    const struct amb_duty *duty = &core->duties[name];
    bool holds = duty->state == AMB_DUTY_HELD || duty->state == AMB_DUTY_FENCED ||
                 /* Once the release is on its way, a successor may hold the duty at any moment. */
                 (duty->state == AMB_DUTY_DRAINING && !duty->call && !duty->release_sent);
    return holds && duty_incarnation_is_valid(core, now);
}

bool amb_duty_may_send(const struct amb_duty_core *core, const struct amb_duty_action *call, amb_ms now) {
    return amb_duty_may_call(core, call->duty, now) &&
           call->fencing_token == core->duties[call->duty].fencing_token;
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
