/* Single-holder duties: the types that all files of lib/duty/ share. docs/design/duty-core.md has the
 * reasoning.
 *
 * A duty is a task of the whole service that one member at a time may carry out, such as scale out. The
 * key-value store holds one durable record per duty (who holds it, under which fencing token), one key per
 * live member (on a lease), and one record per intent (something to be done once, such as one request to
 * scale out). */
#ifndef AMBERPIN_DUTY_TYPES_H
#define AMBERPIN_DUTY_TYPES_H

#include "amberpin/base/call_result.h"
#include "amberpin/model/model.h"

enum {
    AMB_DUTY_MEMBERS = 16,        /* most members that are tracked, this one included */
    AMB_DUTY_INTENT_ID_SIZE = 48, /* bytes of an intent's name, with the terminating zero */
    AMB_DUTY_CAUSE_LENGTH = 48    /* bytes of the cause in a duty's record, with the terminating zero */
};

/* The duties. Their names in keys and settings are "rent", "return", "reclaim" and "cleanup". */
enum amb_duty_name {
    AMB_DUTY_RENT,    /* asks the cloud for machines */
    AMB_DUTY_RETURN,  /* releases machines that are no longer needed */
    AMB_DUTY_RECLAIM, /* releases machines that were taken back, are silent or faulty */
    AMB_DUTY_CLEANUP, /* removes records of settled intents */
    AMB_DUTY_COUNT,   /* how many there are */
};

/* The duty's name in keys and settings. */
const char *amb_duty_name_text(enum amb_duty_name duty);
/* False: no duty has this name. */
bool amb_duty_name_parse(const char *text, enum amb_duty_name *duty);

/* ---- records ---- */

/* `a/duty-member/MEMBER`, on the member's lease: the member is alive. It is written once per incarnation
 * (the life of one lease), so its revision names the incarnation. */
struct amb_duty_member_record {
    bool present;
    char member[AMB_NAME_SIZE];
    uint64_t nonce;    /* drawn by the member for this incarnation */
    uint64_t revision; /* of the key; if it is not present, the revision at which it was seen to be absent */
};

enum amb_duty_record_state { AMB_DUTY_RECORD_HELD, AMB_DUTY_RECORD_RELEASED };

/* `a/duty/NAME`: not on a lease, never removed. */
struct amb_duty_record {
    bool present;
    enum amb_duty_record_state state;
    char holder[AMB_NAME_SIZE];
    uint64_t holder_incarnation;   /* revision of the holder's member key when it claimed */
    uint64_t fencing_token;        /* one higher at every claim; never falls */
    uint64_t nonce;                /* of the claim, so that its author knows it again */
    char successor[AMB_NAME_SIZE]; /* released: who should claim first; empty: nobody in particular */
    char cause[AMB_DUTY_CAUSE_LENGTH];
    uint64_t revision; /* of the key; not part of its value */
};

enum amb_duty_intent_state {
    AMB_DUTY_INTENT_PENDING, /* by the leader; certainly not sent to the cloud yet */
    AMB_DUTY_INTENT_SENT,    /* may have been sent, any number of times, under its one name */
    AMB_DUTY_INTENT_SETTLED, /* its result is known */
};

enum amb_duty_intent_result {
    AMB_DUTY_RESULT_NONE,        /* not settled */
    AMB_DUTY_RESULT_DONE,        /* the cloud answered that it was carried out */
    AMB_DUTY_RESULT_NO_CAPACITY, /* the cloud has no capacity; see `unanswered` */
    AMB_DUTY_RESULT_MALFORMED,   /* the cloud does not accept it */
    AMB_DUTY_RESULT_GONE,        /* adopted: the machines are proved to be gone */
    AMB_DUTY_RESULT_VOID,        /* withdrawn before it was sent: it never took effect */
};

/* `a/order/DUTY/ID`. The leader creates it (state pending) under its term. What is to be done (machine
 * type, machine names ...) is part of the stored value, but only the wiring reads it. */
struct amb_duty_intent_record {
    bool present;
    char id[AMB_DUTY_INTENT_ID_SIZE]; /* unique for ever; for scale out, the cloud's request name */
    enum amb_duty_name duty;
    enum amb_duty_intent_state state;
    enum amb_duty_intent_result result;
    uint64_t fencing_token; /* of the holder that wrote it last; 0: still as the leader wrote it */
    uint32_t
        unanswered;    /* at least so many copies went to the cloud and were not answered: they may yet act */
    bool withdrawn;    /* the leader no longer wants it: void if not sent yet */
    uint64_t revision; /* of the key, or revision of its absence; not part of its value */
};

/* ---- answers of the cloud ---- */

enum amb_duty_cloud_answer {
    AMB_DUTY_CLOUD_DONE,        /* 200 */
    AMB_DUTY_CLOUD_NO_CAPACITY, /* 503 "no capacity": this copy was not carried out */
    AMB_DUTY_CLOUD_BUSY,        /* 429, 503 "trouble": this copy was not carried out; try again */
    AMB_DUTY_CLOUD_FENCED,      /* 409: the cloud has seen a higher fencing token */
    AMB_DUTY_CLOUD_MALFORMED,   /* 400 */
    AMB_DUTY_CLOUD_NO_ANSWER,   /* no answer: carried out or not, or later */
    AMB_DUTY_CLOUD_NOT_SENT,    /* the wiring did not send it, because amb_duty_may_send said no */
};

#endif
