/* The table of intents: what is known of every intent, and what a duty's holder does next with each. */
#ifndef AMBERPIN_DUTY_INTENTS_H
#define AMBERPIN_DUTY_INTENTS_H

#include "amberpin/duty/settings.h"

/* The write or call under way for an intent. */
enum amb_duty_intent_phase {
    AMB_DUTY_PHASE_IDLE,
    AMB_DUTY_PHASE_MARKING,  /* its record is being written as sent, under our fencing token */
    AMB_DUTY_PHASE_CALLING,  /* the cloud has been called */
    AMB_DUTY_PHASE_SETTLING, /* its result is being written */
    AMB_DUTY_PHASE_REMOVING, /* its record is being removed */
};

struct amb_duty_intent {
    struct amb_duty_intent_record record; /* as last known; id empty: the place is free */
    enum amb_duty_intent_phase phase;
    uint64_t call;         /* number of the call under way */
    amb_ms called_at;      /* when it began */
    amb_ms retry_at;       /* nothing is tried before */
    amb_ms state_known_at; /* when its present state was received: the age of evidence counts from here */
    uint32_t tries, refusals, unanswered;
    enum amb_duty_intent_result result;   /* known from an answer, to be written */
    enum amb_duty_intent_result settling; /* being written */
    bool proved_gone;                     /* scale in: its machines are proved to be gone */
};

/* What the holder does next. */
enum amb_duty_intent_step {
    AMB_DUTY_STEP_NONE, /* nothing now */
    AMB_DUTY_STEP_MARK, /* write it as sent under our fencing token: a new one, or one left by an earlier
                           holder */
    AMB_DUTY_STEP_CALL, /* call the cloud, under the same id as ever: it is marked under our fencing token */
    AMB_DUTY_STEP_SETTLE, /* write its result: known from an answer, adopted from evidence, or void */
};

/* Decides for an intent whose phase is idle. On AMB_DUTY_STEP_SETTLE, `result` is what to write.
 * `may_begin`: may intents be begun that are not sent yet? */
enum amb_duty_intent_step amb_duty_intent_next_step(const struct amb_duty_intent *intent,
                                                    uint64_t fencing_token, bool may_begin, amb_ms now,
                                                    enum amb_duty_intent_result *result);

/* May the record be removed? Its result must be known for long enough that no list shows what it ended, and
 * none fails to show what it began. */
bool amb_duty_intent_is_removable(const struct amb_duty_intent *intent,
                                  const struct amb_duty_settings *settings, amb_ms now);

/* The record as it is to be written as sent under this fencing token. A copy that an earlier holder may
 * have sent counts as unanswered. */
struct amb_duty_intent_record amb_duty_intent_as_sent(const struct amb_duty_intent *intent,
                                                      uint64_t fencing_token);
/* The record as it is to be written with this result. Copies that were not answered are counted on, unless a
 * late one can do nothing any more. */
struct amb_duty_intent_record amb_duty_intent_as_settled(const struct amb_duty_intent *intent,
                                                         uint64_t fencing_token,
                                                         enum amb_duty_intent_result result);

/* The record has changed, or was read. False: this one is older than what is known, and nothing changes. */
bool amb_duty_intent_apply_record(struct amb_duty_intent *intent, const struct amb_duty_intent_record *record,
                                  amb_ms now);

/* An answer of the cloud to the call under way. True: the result is known, and can be settled. */
bool amb_duty_intent_apply_answer(struct amb_duty_intent *intent, enum amb_duty_cloud_answer answer,
                                  const struct amb_duty_settings *settings);

struct amb_duty_intent_table {
    struct amb_duty_intent *entries; /* storage of the owner */
    uint32_t capacity;
    bool overflowed;          /* a record found no place: all are to be read again when there is room */
    amb_ms list_requested_at; /* when that was last asked for */
};

/* NULL: unknown. */
struct amb_duty_intent *amb_duty_intent_table_find(const struct amb_duty_intent_table *table,
                                                   enum amb_duty_name duty, const char *id);
/* NULL: unknown, and no room for it. */
struct amb_duty_intent *amb_duty_intent_table_add(struct amb_duty_intent_table *table,
                                                  enum amb_duty_name duty, const char *id);
/* Frees the place. */
void amb_duty_intent_table_remove(struct amb_duty_intent *intent);
/* Orders of this duty that are not settled. */
uint32_t amb_duty_intent_table_count_open(const struct amb_duty_intent_table *table, enum amb_duty_name duty);
/* Is anything of this duty under way here, or sent under this fencing token and not settled? For the
 * clean-up: is a record being removed? */
bool amb_duty_intent_table_is_open(const struct amb_duty_intent_table *table, enum amb_duty_name duty,
                                   uint64_t fencing_token);
/* The duty is not held by this member any more: what was under way for it is forgotten. */
void amb_duty_intent_table_reset(struct amb_duty_intent_table *table, enum amb_duty_name duty);

#endif
