/* What the files of the core of single-holder duties share, lowest first: each calls those above it in this
 * header only, and tells those below by what it returns or leaves in the step. */
#ifndef AMBERPIN_DUTY_INTERNAL_H
#define AMBERPIN_DUTY_INTERNAL_H

#include "amberpin/duty/core.h"

/* One call of amb_duty_core_step. */
struct duty_step {
    struct amb_duty_core *core;
    const struct amb_duty_event *event;
    struct amb_duty_output *out;
    amb_ms now;
    const char
        *end_cause; /* why the event ended a live incarnation, and all duties with it; NULL: it did not */
};

/* ---- step.c ---- */

/* The next action, zeroed but for its type and duty, to be filled in. NULL when there is no room; the output
 * then says that there is more. */
struct amb_duty_action *duty_emit(struct duty_step *step, enum amb_duty_action_type type,
                                  enum amb_duty_name duty);
/* The same for a call that will be answered: it gets a new number. */
struct amb_duty_action *duty_emit_call(struct duty_step *step, enum amb_duty_action_type type,
                                       enum amb_duty_name duty);
uint64_t duty_next_random(struct amb_duty_core *core);
/* Backoff after so many failures: doubled each time up to a limit, with jitter of up to half of it. */
amb_ms duty_backoff(struct amb_duty_core *core, uint32_t failures);
/* Is the answer to a call that was sent at `since` not waited for any more? */
bool duty_has_timed_out(const struct amb_duty_core *core, amb_ms since, amb_ms now);

/* ---- incarnation.c ---- */

/* NULL: unknown. */
struct amb_duty_member *duty_find_member(struct amb_duty_core *core, const char *name);
/* Is the key of this member written, and its lease certainly alive? */
bool duty_incarnation_is_valid(const struct amb_duty_core *core, amb_ms now);
/* Does what time alone makes due: asks for a lease, writes or reads the key, renews the lease. */
void duty_incarnation_advance(struct duty_step *step);
void duty_incarnation_handle_grant(struct duty_step *step);
void duty_incarnation_handle_renewal(struct duty_step *step);
/* False: the answer is to another call. */
bool duty_incarnation_handle_commit(struct duty_step *step);
/* A member's key has changed, or was read. */
void duty_incarnation_apply_member(struct duty_step *step);

/* ---- holding.c ---- */

/* Held, draining or fenced: the duty's record names this member. */
bool duty_is_owned(const struct amb_duty *duty);
/* Changes the state, and emits a line for the log. */
void duty_set_state(struct duty_step *step, enum amb_duty_name name, enum amb_duty_state to,
                    const char *cause);
void duty_request_record(struct duty_step *step, enum amb_duty_name name);
void duty_request_member(struct duty_step *step, const char *member);
/* The record names this incarnation: the duty is held. */
void duty_win(struct duty_step *step, enum amb_duty_name name, const struct amb_duty_record *record,
              const char *cause);
/* The duty, or the candidacy for it, is over. */
void duty_lose(struct duty_step *step, enum amb_duty_name name, const char *cause);
/* The incarnation has ended, and every duty with it. */
void duty_lose_all(struct duty_step *step, const char *cause);
/* The record says that this member has released the duty. */
void duty_finish_release(struct duty_step *step, enum amb_duty_name name);
/* A duty's record has changed, or was read. */
void duty_apply_record(struct duty_step *step);

/* ---- candidacy.c ---- */

/* Notes whether nobody holds the duty, and since when. */
void duty_candidacy_update_vacancy(struct duty_step *step, struct amb_duty *duty);
void duty_candidacy_begin(struct duty_step *step, enum amb_duty_name name);
/* Claims the duty once it is this member's turn, or ends the candidacy. */
void duty_candidacy_advance(struct duty_step *step, enum amb_duty_name name);
void duty_candidacy_handle_answer(struct duty_step *step, enum amb_duty_name name);

/* ---- handover.c ---- */

/* Begins to hand over a duty that is held: no new intents are begun, and what is open is waited for. An empty
 * successor: nobody in particular. */
void duty_drain(struct duty_step *step, enum amb_duty_name name, const char *successor, const char *cause);
/* The cloud has refused a call, since it has seen a higher fencing token. */
void duty_handle_fenced_call(struct duty_step *step, enum amb_duty_name name);
/* Releases the duty once its intents are settled, or the deadline has passed. */
void duty_handover_advance(struct duty_step *step, enum amb_duty_name name);
void duty_handover_handle_answer(struct duty_step *step, enum amb_duty_name name);

/* ---- rebalance.c ---- */

/* Hands a duty over if this member holds more than its share and another holds less. */
void duty_rebalance(struct duty_step *step);

/* ---- intent_dispatch.c ---- */

/* Takes the next step of every intent of the duties held here, and removes records whose time has come. */
void duty_intents_advance(struct duty_step *step);
/* False: the answer is to another call. */
bool duty_intents_handle_commit(struct duty_step *step);
void duty_intents_handle_answer(struct duty_step *step);
/* An intent's record has changed, or was read. */
void duty_intents_apply_record(struct duty_step *step);
/* The machines of a scale-in intent are proven gone. */
void duty_intents_note_gone(struct duty_step *step);

#endif
