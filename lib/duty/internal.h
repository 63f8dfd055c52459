/* What the parts of the core of single-holder duties share: session.c (this member's lease and key),
 * campaign.c (each duty's record), dispatch.c (the holder's orders). core.c feeds them. */
#ifndef AMBERPIN_DUTY_INTERNAL_H
#define AMBERPIN_DUTY_INTERNAL_H

#include "amberpin/duty/core.h"

/* One call of amb_duty_core_step. */
struct duty_step {
    struct amb_duty_core *core;
    const struct amb_duty_event *event;
    struct amb_duty_output *out;
    amb_ms now;
};

/* The next action, zeroed but for its type; NULL, and the output says that there is more, when there is no
 * room. */
struct amb_duty_action *duty_emit(struct duty_step *step, enum amb_duty_action_type type,
                                  enum amb_duty_name duty);
/* The same for a call that will be answered: it gets a new number. */
struct amb_duty_action *duty_emit_call(struct duty_step *step, enum amb_duty_action_type type,
                                       enum amb_duty_name duty);
uint64_t duty_next_random(struct amb_duty_core *core);
/* Backoff after so many failures: doubled each time up to a limit, and up to half of it more by chance. */
amb_ms duty_backoff(struct amb_duty_core *core, uint32_t failures);
bool duty_has_timed_out(const struct amb_duty_core *core, amb_ms since, amb_ms now);

/* ---- session.c ---- */

struct amb_duty_member *duty_find_member(struct amb_duty_core *core, const char *name); /* NULL: unknown */
bool duty_incarnation_is_valid(const struct amb_duty_core *core, amb_ms now);
void duty_incarnation_advance(struct duty_step *step);
void duty_incarnation_handle_grant(struct duty_step *step);
void duty_incarnation_handle_renewal(struct duty_step *step);
bool duty_incarnation_handle_commit(struct duty_step *step); /* true: the answer was the session's */
void duty_incarnation_apply_member(struct duty_step *step);

/* ---- campaign.c ---- */

bool duty_is_owned(const struct amb_duty *duty); /* held, draining or fenced: its record is ours */
void duty_candidacy_advance(struct duty_step *step, enum amb_duty_name name);
bool duty_candidacy_handle_commit(struct duty_step *step);
void duty_candidacy_apply_record(struct duty_step *step);
void duty_drain(struct duty_step *step, enum amb_duty_name name, const char *successor, const char *cause);
/* The cloud has seen a higher token than ours. */
void duty_handle_fenced_call(struct duty_step *step, enum amb_duty_name name);
void duty_lose_all(struct duty_step *step, const char *cause); /* all duties are lost with it */
void duty_rebalance(struct duty_step *step); /* hands a duty over if this member holds too many */

/* ---- dispatch.c ---- */

bool duty_intents_are_open(const struct amb_duty_core *core, enum amb_duty_name name, uint64_t fencing_token);
void duty_intents_advance(struct duty_step *step);
bool duty_intents_handle_commit(struct duty_step *step);
void duty_intents_handle_answer(struct duty_step *step);
void duty_intents_apply_record(struct duty_step *step);
void duty_intents_note_gone(struct duty_step *step);
void duty_intents_reset(struct amb_duty_core *core,
                        enum amb_duty_name name); /* the duty is not ours any more */

#endif
