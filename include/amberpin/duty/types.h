/* Types of single-holder duties that all files of lib/duty/ share. docs/design/duty-core.md has the
 * reasoning.
 *
 * A duty is a task of the whole service that only one member at a time may carry out, such as scale out. The
 * key-value store holds one durable record per duty (its holder and fencing token), one key per live member
 * (on a lease), and one record per intent (an operation to be done once, such as one request to scale out).
 */
#ifndef AMBERPIN_DUTY_TYPES_H
#define AMBERPIN_DUTY_TYPES_H

#include "amberpin/base/call_result.h"
#include "amberpin/model/model.h"

enum {
    AMB_DUTY_MAX_MEMBERS = 16,    /* most members that are tracked, including this one */
    AMB_DUTY_INTENT_ID_SIZE = 48, /* bytes of an intent's id, with the terminating zero */
    AMB_DUTY_CAUSE_SIZE = 48      /* bytes of the cause in a duty's record, with the terminating zero */
};

/* The duties. Their names in keys and settings are "rent", "return", "reclaim" and "cleanup". */
enum amb_duty_name {
    AMB_DUTY_RENT,    /* scales out: acquires machines from the cloud */
    AMB_DUTY_RETURN,  /* scales in: releases machines that are no longer needed */
    AMB_DUTY_RECLAIM, /* releases machines that were reclaimed, are silent or have failed */
    AMB_DUTY_CLEANUP, /* removes the records of settled intents */
    AMB_DUTY_COUNT,   /* number of duties */
};

/* The name of the duty in keys and settings. */
const char *amb_duty_name_text(enum amb_duty_name duty);
/* Returns false if no duty has this name. */
bool amb_duty_name_parse(const char *text, enum amb_duty_name *duty);

/* ---- records ---- */

/* `a/duty-member/MEMBER`, on the lease of the member: it exists while the member is alive. It is written once
 * per incarnation (the lifetime of one lease), so its revision identifies the incarnation. */
struct amb_duty_member_record {
    bool present;
    char member[AMB_NAME_SIZE];
    uint64_t nonce;    /* random number that the member drew for this incarnation */
    uint64_t revision; /* of the key; if it is not present, the revision at which its absence was observed */
};

enum amb_duty_record_state { AMB_DUTY_RECORD_HELD, AMB_DUTY_RECORD_RELEASED };

/* `a/duty/NAME`: written without a lease and never removed. */
struct amb_duty_record {
    bool present;
    enum amb_duty_record_state state;
    char holder[AMB_NAME_SIZE];
    uint64_t holder_incarnation; /* revision of the holder's member key when it claimed */
    uint64_t fencing_token;      /* incremented by 1 at every claim; never decreases */
    uint64_t nonce;              /* of the claim, by which the claiming member recognizes it */
    char
        successor[AMB_NAME_SIZE]; /* after a release, the member that should claim first; empty: any member */
    char cause[AMB_DUTY_CAUSE_SIZE];
    uint64_t revision; /* of the key; not part of the value */
};

enum amb_duty_intent_state {
    AMB_DUTY_INTENT_PENDING, /* created by the leader; certainly not sent to the cloud yet */
    AMB_DUTY_INTENT_SENT, /* may have been sent to the cloud any number of times, always under the same id */
    AMB_DUTY_INTENT_SETTLED, /* its result is known and recorded */
};

enum amb_duty_intent_result {
    AMB_DUTY_RESULT_NONE,        /* the intent is not settled */
    AMB_DUTY_RESULT_DONE,        /* the cloud confirmed that it was carried out */
    AMB_DUTY_RESULT_NO_CAPACITY, /* the cloud has no capacity; unanswered copies may still take effect */
    AMB_DUTY_RESULT_MALFORMED,   /* the cloud rejected the request as malformed */
    AMB_DUTY_RESULT_GONE,        /* settled by proof of absence of its machines, without a response */
    AMB_DUTY_RESULT_VOID,        /* withdrawn before it was sent: it never takes effect */
};

/* `a/order/DUTY/ID`. The leader creates it (state pending) under its term. The payload (machine type, machine
 * names and so on) is part of the stored value, but the core does not read it. */
struct amb_duty_intent_record {
    bool present;
    char id[AMB_DUTY_INTENT_ID_SIZE]; /* never reused; for scale out, the request id at the cloud */
    enum amb_duty_name duty;
    enum amb_duty_intent_state state;
    enum amb_duty_intent_result result;
    uint64_t fencing_token; /* of the holder that wrote it last; 0: unchanged since the leader created it */
    uint32_t unanswered; /* lower bound of the number of copies sent without a response; they may still take
                            effect */
    bool withdrawn;      /* the leader no longer needs it: it becomes void if it is not sent yet */
    uint64_t revision;   /* of the key or of its observed absence; not part of the value */
};

/* ---- responses of the cloud ---- */

enum amb_duty_cloud_answer {
    AMB_DUTY_CLOUD_DONE,        /* 200 */
    AMB_DUTY_CLOUD_NO_CAPACITY, /* 503 "no capacity": this copy has no effect */
    AMB_DUTY_CLOUD_BUSY,        /* 429, 503 "trouble": this copy has no effect; retry */
    AMB_DUTY_CLOUD_FENCED,      /* 409: the cloud has seen a higher fencing token */
    AMB_DUTY_CLOUD_MALFORMED,   /* 400 */
    AMB_DUTY_CLOUD_NO_ANSWER,   /* no response: the call may have taken effect, may do so later, or never */
    AMB_DUTY_CLOUD_NOT_SENT,    /* not sent, because amb_duty_may_send returned false */
};

#endif
