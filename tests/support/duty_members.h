/* Members of single-holder duties in one process, each the library's duty service, around a key-value store
 * and a cloud in memory. Time passes when the test says so; calls take a step, and the test may let one of
 * them be lost, or its member end. */
#ifndef AMBERPIN_TESTS_DUTY_MEMBERS_H
#define AMBERPIN_TESTS_DUTY_MEMBERS_H

#include "amberpin/duty/service.h"

enum { MEMBERS = 3, MEMBER_STEP_MS = 25, MEMBER_TTL_MS = 3000, MEMBER_LIST_MS = 20000 };

enum member_call {
    MEMBER_CALL_CLAIM,  /* or a release */
    MEMBER_CALL_INTENT, /* an order, as sent */
    MEMBER_CALL_CLOUD,
    MEMBER_CALL_RESULT,
    MEMBER_CALL_REMOVE,
    MEMBER_CALL_OTHER,
};

enum member_outcome {
    MEMBER_UNDISTURBED,
    MEMBER_CRASHES_BEFORE, /* the call is not carried out, and its member ends */
    MEMBER_CRASHES_AFTER,  /* it is carried out, and its member ends before the answer comes */
    MEMBER_PAUSES_BEFORE,  /* the member stands still from before the answer comes, until members_resume */
    MEMBER_RESPONSE_LOST,
};

/* The fate of the next call of this kind, of whichever member. */
struct member_fault {
    enum member_call call;
    enum member_outcome outcome;
};

struct member {
    struct amb_duty_service service;
    char name[AMB_NAME_SIZE];
    bool alive, paused;
    bool cut_off;      /* from the key-value store */
    bool watch_held;   /* it hears no news until this ends */
    bool lists_held;   /* its reads are carried out, and answered once this ends */
    bool proves_gone;  /* it has proof that the machines of every return are gone */
    amb_ms clock_skew; /* of its steady clock */
    /* It stands still so long once it has looked at its clock, as the answer to its next mark comes. */
    amb_ms clock_jump_after_intent;
    bool clock_jump_due; /* the next look at the clock is that one */
};

extern struct member members[MEMBERS];

void members_begin(void);
void members_end(void);
void members_inject_fault(struct member_fault next);
void members_run(amb_ms length);
void members_resume(int index);
/* The member takes part: it is started, or started anew after its end. */
void members_start(int index);
/* Who holds the duty by the record; -1: nobody. */
int members_holder(enum amb_duty_name duty);

/* ---- the key-value store ---- */

void members_put(const char *name, const struct amb_buf *value);
const cbor_item_t *members_value(const char *name); /* NULL: there is no such key */
void members_put_intent(enum amb_duty_name duty, const char *id, const struct amb_duty_intent_payload *work);
/* The order as it is on record; false: it is not there. */
bool members_read_intent(enum amb_duty_name duty, const char *id, struct amb_duty_intent_record *out,
                         struct amb_duty_intent_payload *work);
uint32_t members_writes(void); /* carried out so far */
/* The first change that lacked a guard that it must have; empty: none did. */
const char *members_unconditional_change(void);

/* ---- the cloud ---- */

struct member_cloud {
    uint32_t rentals;              /* names that were granted */
    uint32_t rented;               /* machines */
    uint32_t calls;                /* all, repeated ones too */
    uint32_t releases;             /* calls */
    uint32_t stale_token_refusals; /* refused for their token */
    uint64_t highest[AMB_DUTY_COUNT];
    bool no_capacity;
    bool responses_lost; /* it carries calls out, and answers none */
    bool released[AMB_DUTY_MAX_MACHINES];
};
extern struct member_cloud member_cloud;

#endif
