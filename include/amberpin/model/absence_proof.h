/* Proofs that a task is absent from its machine, as listed in docs/safety.md ("Proof of absence"). Each
 * function maps evidence and times to a proof. None reads a clock or changes state, so tests and model
 * checking run the same code as production. */
#ifndef AMBERPIN_MODEL_ABSENCE_PROOF_H
#define AMBERPIN_MODEL_ABSENCE_PROOF_H

#include "amberpin/base/util.h"

enum amb_absence {
    AMB_ABSENCE_UNPROVEN,
    AMB_ABSENCE_READ_NEEDED, /* unproven, but a read of the state service sent now may complete the proof */
    AMB_ABSENCE_NOT_IN_HEARTBEAT, /* a heartbeat under our term does not list the task */
    AMB_ABSENCE_EXITED,           /* a heartbeat under our term lists it as exited */
    AMB_ABSENCE_LEASE_EXPIRED,    /* the agent rejects leaders of earlier terms, and its lease has expired */
    AMB_ABSENCE_FENCED,   /* no controller can have renewed the machine's lease for longer than it lasts */
    AMB_ABSENCE_RELEASED, /* the cloud has confirmed the machine's release */
    AMB_ABSENCE_FAILED,   /* the cloud reports that the machine has failed */
    AMB_ABSENCE_NOT_IN_CLOUD_LIST, /* the cloud's list lacks the machine, though it would have to name it */
};

/* Whether the value is a proof of any kind. */
bool amb_absence_is_proven(enum amb_absence absence);
const char *amb_absence_name(enum amb_absence absence); /* cause for logs */

/* ---- proof by a heartbeat ---- */

/* Orders the heartbeats of one machine. */
struct amb_heartbeat_order {
    uint64_t incarnation, sequence;
};

/* Heartbeats can arrive late or more than once, so only one that is strictly newer than all seen before
 * proves anything. */
bool amb_heartbeat_order_is_newer(struct amb_heartbeat_order heartbeat,
                                  struct amb_heartbeat_order newest_seen);

struct amb_heartbeat_evidence {
    struct amb_heartbeat_order order, newest_seen;
    uint64_t heartbeat_term, own_term;
    bool placement_durable; /* no run command is sent before it is */
    bool listed;            /* the heartbeat lists the task with this attempt */
    bool exited;            /* the heartbeat lists the task as exited */
};

/* Returns AMB_ABSENCE_NOT_IN_HEARTBEAT, _EXITED or _UNPROVEN. */
enum amb_absence amb_absence_by_heartbeat(const struct amb_heartbeat_evidence *evidence);

/* ---- proof by expiry of the machine's lease ---- */

/* The longest that an agent's lease can last on our clock: its nominal duration, extended for clock drift and
 * by a margin for work in progress. */
amb_ms amb_absence_lease_span(double lease_s, double heartbeat_interval_s);

struct amb_lease_evidence {
    amb_ms now;
    amb_ms lease_span;       /* amb_absence_lease_span */
    amb_ms last_response_at; /* when we last responded to the machine; 0: never */
    bool follows_own_term;   /* it has shown our fencing token, so it drops responses of earlier leaders */
    amb_ms fenced_at;        /* since when, as every peer has confirmed, no controller answers under an
                              * older term; 0: one still may */
    amb_ms lease_proxy_known_at; /* when a lease proxy for its zone was last known; 0: never */
    amb_ms last_read_sent_at;    /* when the latest answered read of the state service was sent */
};

/* Returns AMB_ABSENCE_LEASE_EXPIRED, _FENCED, _READ_NEEDED or _UNPROVEN. */
enum amb_absence amb_absence_by_lease(const struct amb_lease_evidence *evidence);

/* ---- proof by the cloud's list ---- */

/* How long after a machine's last sign of life a list must be requested for the machine's absence from it to
 * prove anything. */
amb_ms amb_absence_list_span(double list_lag_s, double heartbeat_interval_s);

struct amb_list_evidence {
    amb_ms list_span;      /* amb_absence_list_span */
    amb_ms list_sent_at;   /* when the first page of a complete list that lacks the machine was requested */
    amb_ms first_known_at; /* when the machine was first known to exist */
    amb_ms last_heartbeat_at; /* 0: never */
    amb_ms last_listed_at;    /* when the latest list that names it was requested; 0: none does */
};

/* Returns AMB_ABSENCE_NOT_IN_CLOUD_LIST or _UNPROVEN. */
enum amb_absence amb_absence_by_list(const struct amb_list_evidence *evidence);

#endif
