/* The intent table: the known state of each intent, and the next step that the holder of its duty takes. */
#ifndef AMBERPIN_DUTY_INTENTS_H
#define AMBERPIN_DUTY_INTENTS_H

#include "amberpin/duty/settings.h"

/* The write or cloud call that is in flight for an intent. */
enum amb_duty_intent_phase {
    AMB_DUTY_PHASE_IDLE,
    AMB_DUTY_PHASE_MARKING_SENT, /* its record is being written as sent, under this member's fencing token */
    AMB_DUTY_PHASE_CALLING,      /* the cloud has been called */
    AMB_DUTY_PHASE_SETTLING,     /* its result is being written */
    AMB_DUTY_PHASE_REMOVING,     /* its record is being removed */
};

struct amb_duty_intent {
    struct amb_duty_intent_record record; /* as last known; an empty id marks a free entry */
    enum amb_duty_intent_phase phase;
    uint64_t call;         /* number of the call in flight */
    amb_ms called_at;      /* when the call was sent */
    amb_ms retry_at;       /* no step is taken earlier */
    amb_ms state_known_at; /* when its current state was received; retention counts from here */
    uint32_t tries, refusals, unanswered;
    enum amb_duty_intent_result result;   /* known from a response, still to be written */
    enum amb_duty_intent_result settling; /* the result that is being written */
    bool absence_proven;                  /* scale in: its machines are proven absent */
};

/* The next step that the holder takes for an intent. */
enum amb_duty_intent_step {
    AMB_DUTY_STEP_NONE,      /* nothing for now */
    AMB_DUTY_STEP_MARK_SENT, /* write it as sent under this member's fencing token: the intent is new, or was
                                left by a previous holder */
    AMB_DUTY_STEP_CALL,   /* call the cloud, always under the same id: the record is sent under this member's
                             token */
    AMB_DUTY_STEP_SETTLE, /* write its result: known from a response, proven by absence, or void */
};

/* Decides the next step of an intent whose phase is idle. For AMB_DUTY_STEP_SETTLE, `result` is the result to
 * write. `may_begin` says whether an intent that is not yet sent under this fencing token may be begun. */
enum amb_duty_intent_step amb_duty_intent_next_step(const struct amb_duty_intent *intent,
                                                    uint64_t fencing_token, bool may_begin, amb_ms now,
                                                    enum amb_duty_intent_result *result);

/* Returns true if the record may be removed: its result must have been known for so long that every machine
 * list reflects it, without the machines that it released and with those that it acquired. */
bool amb_duty_intent_is_removable(const struct amb_duty_intent *intent,
                                  const struct amb_duty_settings *settings, amb_ms now);

/* Returns the record to write for an intent that is sent under this fencing token. A copy that a previous
 * holder may have sent counts as unanswered. */
struct amb_duty_intent_record amb_duty_intent_as_sent(const struct amb_duty_intent *intent,
                                                      uint64_t fencing_token);
/* Returns the record to write for an intent with this result. Unanswered copies stay counted, unless a late
 * copy can have no effect any more. */
struct amb_duty_intent_record amb_duty_intent_as_settled(const struct amb_duty_intent *intent,
                                                         uint64_t fencing_token,
                                                         enum amb_duty_intent_result result);

/* Applies a record that has changed or was read. Returns false, and changes nothing, if it is not newer than
 * the known one. */
bool amb_duty_intent_apply_record(struct amb_duty_intent *intent, const struct amb_duty_intent_record *record,
                                  amb_ms now);

/* Applies the response of the cloud to the call in flight. Returns true if the result is known and can be
 * settled. */
bool amb_duty_intent_apply_answer(struct amb_duty_intent *intent, enum amb_duty_cloud_answer answer,
                                  const struct amb_duty_settings *settings);

struct amb_duty_intent_table {
    struct amb_duty_intent *entries; /* storage owned by the caller */
    uint32_t capacity;
    bool overflowed; /* a record did not fit: all intents are to be read again once an entry is free */
    amb_ms list_requested_at; /* when that read was last requested */
};

/* Returns NULL if the table does not contain the intent. */
struct amb_duty_intent *amb_duty_intent_table_find(const struct amb_duty_intent_table *table,
                                                   enum amb_duty_name duty, const char *id);
/* Adds an intent that is not in the table. Returns NULL, and sets `overflowed`, if the table is full. */
struct amb_duty_intent *amb_duty_intent_table_add(struct amb_duty_intent_table *table,
                                                  enum amb_duty_name duty, const char *id);
/* Frees the entry. */
void amb_duty_intent_table_remove(struct amb_duty_intent *intent);
/* Counts the intents of this duty that are not settled. */
uint32_t amb_duty_intent_table_count_open(const struct amb_duty_intent_table *table, enum amb_duty_name duty);
/* Returns true if an intent of this duty has a call in flight from this member, or is sent under this fencing
 * token and not settled. For the cleanup duty: if a record is being removed. */
bool amb_duty_intent_table_is_open(const struct amb_duty_intent_table *table, enum amb_duty_name duty,
                                   uint64_t fencing_token);
/* Discards all calls in flight for a duty that this member no longer holds. */
void amb_duty_intent_table_reset(struct amb_duty_intent_table *table, enum amb_duty_name duty);

#endif
