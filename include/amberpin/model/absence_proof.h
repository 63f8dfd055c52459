/* Proofs that a task is off its machine, as docs/safety.md lists them ("Proof of absence"). Pure: evidence
 * and times in, the proof out. Nothing here looks at a clock or changes anything, so tests and model checking
 * can drive the very code that runs. */
#ifndef AMBERPIN_MODEL_ABSENCE_PROOF_H
#define AMBERPIN_MODEL_ABSENCE_PROOF_H

#include "amberpin/base/util.h"

enum amb_absence {
    AMB_ABSENCE_UNPROVEN,
    AMB_ABSENCE_READ_NEEDED, /* unproven, but a read of the state service sent now may complete the proof */
    AMB_ABSENCE_NOT_IN_HEARTBEAT,  /* a heartbeat under our term does not list the task */
    AMB_ABSENCE_EXITED,            /* a heartbeat under our term lists it as exited */
    AMB_ABSENCE_LEASE_EXPIRED,     /* the machine follows our term only, and its lease has run out */
    AMB_ABSENCE_FENCED,            /* no node can have renewed the machine's lease for longer than it lasts */
    AMB_ABSENCE_RELEASED,          /* the cloud has confirmed the machine's release */
    AMB_ABSENCE_FAILED,            /* the cloud says that the machine has stopped on its own */
    AMB_ABSENCE_NOT_IN_CLOUD_LIST, /* the cloud's list lacks the machine though it must name it */
};

/* Whether this is a proof, of whatever kind. */
bool amb_absence_is_proven(enum amb_absence absence);
const char *amb_absence_name(enum amb_absence absence); /* for logs */

/* ---- by a heartbeat ---- */

/* Orders the heartbeats of one machine. */
struct amb_heartbeat_order {
    uint64_t incarnation, sequence;
};

/* Heartbeats arrive late and more than once: only one that is strictly newer than all seen proves anything.
 */
bool amb_heartbeat_order_is_newer(struct amb_heartbeat_order heartbeat,
                                  struct amb_heartbeat_order newest_seen);

struct amb_heartbeat_evidence {
    struct amb_heartbeat_order order, newest_seen;
    uint64_t heartbeat_term, own_term;
    bool placement_durable; /* before it is, no start can have been sent */
    bool listed;            /* the heartbeat lists the task with this attempt */
    bool exited;            /* ... as exited */
};

/* NOT_IN_HEARTBEAT, EXITED or UNPROVEN. */
enum amb_absence amb_absence_by_heartbeat(const struct amb_heartbeat_evidence *evidence);

/* ---- by the end of the machine's lease ---- */

/* How long an agent's lease lasts at most on our clock: longer by what clocks drift apart and by a margin for
 * work under way. */
amb_ms amb_absence_lease_span(double lease_s, double heartbeat_interval_s);

struct amb_lease_evidence {
    amb_ms now;
    amb_ms lease_span;           /* amb_absence_lease_span */
    amb_ms last_response_at;     /* when we last answered the machine anything; 0: never */
    bool follows_own_term;       /* it has carried our token: it drops responses of earlier leaders */
    amb_ms fenced_at;            /* since when, on every peer's word, nobody answers under an older term;
                                  * 0: somebody may */
    amb_ms lease_proxy_known_at; /* when a lease proxy for its zone was last known; 0: never */
    amb_ms last_read_sent_at;    /* when the latest answered read of the state service was sent */
};

/* LEASE_EXPIRED, FENCED, READ_NEEDED or UNPROVEN. */
enum amb_absence amb_absence_by_lease(const struct amb_lease_evidence *evidence);

/* ---- by the cloud's list ---- */

/* How long after a machine's last sign of life a list must be asked for to prove anything by leaving it out.
 */
amb_ms amb_absence_list_span(double list_lag_s, double heartbeat_interval_s);

struct amb_list_evidence {
    amb_ms list_span;      /* amb_absence_list_span */
    amb_ms list_sent_at;   /* when the first page of a complete list that lacks the machine was asked for */
    amb_ms first_known_at; /* when it is first known to have existed */
    amb_ms last_heartbeat_at; /* 0: never */
    amb_ms last_listed_at;    /* when the latest list that names it was asked for; 0: none does */
};

/* NOT_IN_CLOUD_LIST or UNPROVEN. */
enum amb_absence amb_absence_by_list(const struct amb_list_evidence *evidence);

#endif
