/* Members of single-holder duties in one process. Each runs the library's duty service; they share an
 * in-memory key-value store and cloud. The test advances the clock. A call takes one step, and the test may
 * inject a fault into one of them: a lost response, or a crash or pause of its member. */
#ifndef AMBERPIN_TESTS_DUTY_MEMBERS_H
#define AMBERPIN_TESTS_DUTY_MEMBERS_H

#include "amberpin/duty/service.h"

enum { MEMBERS = 3, MEMBER_STEP_MS = 25, MEMBER_TTL_MS = 3000, MEMBER_LIST_MS = 20000 };

enum member_call {
    MEMBER_CALL_CLAIM,  /* claims or releases a duty */
    MEMBER_CALL_INTENT, /* writes an intent */
    MEMBER_CALL_CLOUD,
    MEMBER_CALL_RESULT,
    MEMBER_CALL_REMOVE,
    MEMBER_CALL_OTHER,
};

enum member_outcome {
    MEMBER_UNDISTURBED,
    MEMBER_CRASHES_BEFORE, /* the call is not applied and its member crashes */
    MEMBER_CRASHES_AFTER,  /* it is applied and its member crashes before the answer arrives */
    MEMBER_PAUSES_BEFORE,  /* the member pauses before the answer arrives, until members_resume */
    MEMBER_RESPONSE_LOST,
};

/* Fault of the next call of this kind, by any member. */
struct member_fault {
    enum member_call call;
    enum member_outcome outcome;
};

struct member {
    struct amb_duty_service service;
    char name[AMB_NAME_SIZE];
    bool alive, paused;
    bool cut_off;      /* from the key-value store */
    bool watch_held;   /* its watch delivers nothing while set */
    bool lists_held;   /* its list reads are applied, but answered only when cleared */
    bool proves_gone;  /* it has proof of absence for the machines of every return */
    amb_ms clock_skew; /* of its monotonic clock */
    /* Simulates a pause of this length right after the member reads its clock on the answer to its next
     * intent write. */
    amb_ms clock_jump_after_intent;
    bool clock_jump_due; /* the next reading of the clock is that one */
};

extern struct member members[MEMBERS];

void members_begin(void);
void members_end(void);
void members_inject_fault(struct member_fault fault);
void members_run(amb_ms length);
void members_resume(int index);
/* Starts the member, or restarts it after a crash. */
void members_start(int index);
/* The holder of the duty by its record; -1: none. */
int members_holder(enum amb_duty_name duty);

/* ---- the key-value store ---- */

void members_put(const char *name, const struct amb_buf *value);
const struct amb_cbor_item *members_value(const char *name); /* NULL: no such key */
void members_put_intent(enum amb_duty_name duty, const char *id,
                        const struct amb_duty_intent_payload *payload);
/* Reads the recorded intent; false: no such record. */
bool members_read_intent(enum amb_duty_name duty, const char *id, struct amb_duty_intent_record *out,
                         struct amb_duty_intent_payload *payload);
uint32_t members_writes(void); /* number of transactions applied so far */
/* Describes the first change without a required guard; empty: none. */
const char *members_unconditional_change(void);

/* ---- the cloud ---- */

struct member_cloud {
    uint32_t rentals;              /* fulfilled rental requests */
    uint32_t rented;               /* machines granted to them */
    uint32_t calls;                /* including repeated ones */
    uint32_t releases;             /* calls that return machines */
    uint32_t stale_token_refusals; /* calls refused for their fencing token */
    uint64_t highest[AMB_DUTY_COUNT];
    bool no_capacity;
    bool responses_lost; /* it applies calls and answers none */
    bool released[AMB_DUTY_MAX_MACHINES];
};
extern struct member_cloud member_cloud;

#endif
