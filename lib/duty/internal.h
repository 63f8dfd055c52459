/* Declarations shared by the files of the duty core, lowest layer first. Each file calls only the files above
 * it in this header, and reports to those below by return values and by fields of the step. */
#ifndef AMBERPIN_DUTY_INTERNAL_H
#define AMBERPIN_DUTY_INTERNAL_H

#include "amberpin/duty/core.h"

/* Context of one call of amb_duty_core_step. */
struct duty_step {
    struct amb_duty_core *core;
    const struct amb_duty_event *event;
    struct amb_duty_output *out;
    amb_ms now;
    /* Why the event ended a live incarnation, and with it all duties; NULL: it did not. */
    const char *end_cause;
};

/* ---- step.c ---- */

/* Appends an action, zeroed except for its type and duty, for the caller to fill in. Returns NULL, and sets
 * `more` in the output, if the output is full. */
struct amb_duty_action *duty_emit(struct duty_step *step, enum amb_duty_action_type type,
                                  enum amb_duty_name duty);
/* Like duty_emit, for a call that expects a response: assigns a new call number. */
struct amb_duty_action *duty_emit_call(struct duty_step *step, enum amb_duty_action_type type,
                                       enum amb_duty_name duty);
uint64_t duty_next_random(struct amb_duty_core *core);
/* Backoff after this number of failures: doubles with each failure up to a limit, plus jitter of up to half
 * of it. */
amb_ms duty_backoff(struct amb_duty_core *core, uint32_t failures);
/* Returns true if a call that was sent at `since` is considered lost at `now`. */
bool duty_has_timed_out(const struct amb_duty_core *core, amb_ms since, amb_ms now);

/* ---- incarnation.c ---- */

/* Returns NULL if the member is unknown. */
struct amb_duty_member *duty_find_member(struct amb_duty_core *core, const char *name);
/* Returns true if the key of this member is written and its lease is certainly alive. */
bool duty_incarnation_is_valid(const struct amb_duty_core *core, amb_ms now);
/* Does what is due by time: requests or renews the lease, writes or reads the member key. */
void duty_incarnation_advance(struct duty_step *step);
void duty_incarnation_handle_grant(struct duty_step *step);
void duty_incarnation_handle_renewal(struct duty_step *step);
/* Returns false if the response belongs to another call. */
bool duty_incarnation_handle_commit(struct duty_step *step);
/* Applies the key of a member that has changed or was read. */
void duty_incarnation_apply_member(struct duty_step *step);

/* ---- holding.c ---- */

/* Returns true if the duty is held, draining or fenced: its record names this member. */
bool duty_is_owned(const struct amb_duty *duty);
/* Changes the state and emits an action to log it. */
void duty_set_state(struct duty_step *step, enum amb_duty_name name, enum amb_duty_state to,
                    const char *cause);
void duty_request_record(struct duty_step *step, enum amb_duty_name name);
void duty_request_member(struct duty_step *step, const char *member);
/* Takes over the duty, because the record names this incarnation. */
void duty_win(struct duty_step *step, enum amb_duty_name name, const struct amb_duty_record *record,
              const char *cause);
/* Ends the holding of the duty, or the candidacy for it. */
void duty_lose(struct duty_step *step, enum amb_duty_name name, const char *cause);
/* Ends the holding of all duties, because the incarnation has ended. */
void duty_lose_all(struct duty_step *step, const char *cause);
/* Completes the release of the duty, which the record confirms. */
void duty_finish_release(struct duty_step *step, enum amb_duty_name name);
/* Applies the record of a duty that has changed or was read. */
void duty_apply_record(struct duty_step *step);

/* ---- candidacy.c ---- */

/* Updates whether the duty is vacant, and since when. */
void duty_candidacy_update_vacancy(struct duty_step *step, struct amb_duty *duty);
void duty_candidacy_begin(struct duty_step *step, enum amb_duty_name name);
/* Claims the duty when it is this member's turn, or ends the candidacy. */
void duty_candidacy_advance(struct duty_step *step, enum amb_duty_name name);
void duty_candidacy_handle_answer(struct duty_step *step, enum amb_duty_name name);

/* ---- handover.c ---- */

/* Begins the handover of a duty that is held: no new intents are begun, and open ones are waited for. An
 * empty successor means any member. */
void duty_drain(struct duty_step *step, enum amb_duty_name name, const char *successor, const char *cause);
/* Begins a release at once, because the cloud refused a call: it has seen a higher fencing token. */
void duty_handle_fenced_call(struct duty_step *step, enum amb_duty_name name);
/* Releases the duty once its intents are settled or the deadline has passed. */
void duty_handover_advance(struct duty_step *step, enum amb_duty_name name);
void duty_handover_handle_answer(struct duty_step *step, enum amb_duty_name name);

/* ---- rebalance.c ---- */

/* Hands over a duty if this member holds more than its fair share and another member holds less. */
void duty_rebalance(struct duty_step *step);

/* ---- intent_dispatch.c ---- */

/* Takes the next step of each intent of the duties held by this member, and removes records that are due for
 * removal. */
void duty_intents_advance(struct duty_step *step);
/* Returns false if the response belongs to another call. */
bool duty_intents_handle_commit(struct duty_step *step);
void duty_intents_handle_answer(struct duty_step *step);
/* Applies the record of an intent that has changed or was read. */
void duty_intents_apply_record(struct duty_step *step);
/* Records that the machines of a scale-in intent are proven absent. */
void duty_intents_note_gone(struct duty_step *step);

#endif
