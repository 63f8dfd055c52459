/* Leader election as a pure state machine: what happened, and when, goes in; the new role and what is to be
 * done come out. It has no input or output, clock or luck of its own, so that tests drive it by tables
 * (tests/election/test_election.c). docs/safety.md, "Leadership", has the reasoning; election.c is the
 * wiring. */
#ifndef AMBERPIN_ELECTION_CORE_H
#define AMBERPIN_ELECTION_CORE_H

#include "amberpin/base/call_result.h"
#include "amberpin/model/model.h"

enum amb_election_role {
    AMB_ROLE_STARTING,        /* has not read the state service yet */
    AMB_ROLE_FOLLOWER,        /* somebody else leads, or nobody yet */
    AMB_ROLE_CANDIDATE,       /* lease asked for, or the key being written */
    AMB_ROLE_VERIFYING_CLAIM, /* the claim got no answer: reading the key back */
    AMB_ROLE_LEADER,          /* the lease is surely ours */
    AMB_ROLE_UNSURE,          /* the lease may have run out: starts nothing, keeps running work alive */
    AMB_ROLE_FENCED,          /* without news or the peers' word for too long: answers no report */
};

/* The state. Read it freely; only amb_election_step changes it. */
struct amb_election {
    /* settings */
    char member[AMB_NAME_SIZE]; /* this node */
    amb_ms ttl;                 /* of the leadership lease */
    amb_ms fence_after;         /* without news or the peers' word (the ttl, if that is more) */
    amb_ms yield_for;           /* after giving the lead up because no worker comes: others first */
    /* role */
    enum amb_election_role role;
    uint64_t term;         /* ours, while leading, unsure or fenced */
    uint64_t highest_term; /* highest term seen anywhere */
    /* the claim under way, or the last */
    uint64_t claim_id, nonce, expected_revision;
    amb_ms claimed_at;
    /* the lease that the leader key hangs on; 0: none */
    uint64_t lease_id;
    bool renewal_pending;
    amb_ms renewed_at, renewal_sent_at;
    /* the leader key, as last known */
    bool key_known;
    char holder[AMB_NAME_SIZE]; /* member named by the key; empty: none */
    uint64_t holder_revision, holder_nonce;
    amb_ms vacant_since, yield_until;
};

struct amb_election_apply_key { /* the leader key as read, or as news tell of it */
    bool present;
    char member[AMB_NAME_SIZE];
    uint64_t nonce, revision;
};

/* What shows that no cancellation has been told of that we do not know: when the questions were sent whose
 * answers were the last to show it. */
struct amb_election_evidence {
    amb_ms watch_sent_at;    /* of the state service, for all changes */
    amb_ms peers_queried_at; /* of every peer: the oldest of the questions whose answers confirmed our lead */
    bool unreachable;        /* no worker reaches this node, and another node would serve them better */
};

enum amb_election_event {
    AMB_ELECTION_STORE_READ,     /* the node has read the state service */
    AMB_ELECTION_LEASE_GRANTED,  /* answer to AMB_ELECTION_GRANT_LEASE: claim, result, lease, nonce */
    AMB_ELECTION_CLAIM_ANSWERED, /* to AMB_ELECTION_COMMIT_CLAIM: claim, result, stamp */
    AMB_ELECTION_KEY_READ,       /* to AMB_ELECTION_READ_KEY: claim, result, key */
    AMB_ELECTION_LEASE_RENEWED,  /* to AMB_ELECTION_RENEW_LEASE: lease, result, evidence */
    AMB_ELECTION_KEY_CHANGED,    /* news of the leader key: key */
    AMB_ELECTION_TERM_SEEN,      /* in a report, a peer's message or a refused write: term */
    AMB_ELECTION_TICK,           /* time has passed: evidence */
};

struct amb_election_input {
    enum amb_election_event event;
    amb_ms now;
    enum amb_call_result result;
    uint64_t claim_id, lease_id, nonce, revision, term;
    struct amb_election_apply_key key;
    struct amb_election_evidence evidence;
};

enum amb_election_action_type {
    AMB_ELECTION_GRANT_LEASE,  /* ask for a lease of the ttl: claim */
    AMB_ELECTION_COMMIT_CLAIM, /* write the key on the lease if its stamp is `expect`: claim, lease, nonce */
    AMB_ELECTION_READ_KEY,     /* claim */
    AMB_ELECTION_RENEW_LEASE,  /* lease */
    AMB_ELECTION_REVOKE_LEASE, /* lease */
    AMB_ELECTION_LEADERSHIP_WON,
    AMB_ELECTION_LEADERSHIP_LOST,
};

struct amb_election_action {
    enum amb_election_action_type type;
    uint64_t claim_id, lease_id, nonce, expected_revision;
};

enum { AMB_ELECTION_MAX_ACTIONS = 4 };

struct amb_election_output {
    const char *cause; /* of the change of role, if there was one */
    uint32_t action_count;
    struct amb_election_action actions[AMB_ELECTION_MAX_ACTIONS];
};

void amb_election_step(struct amb_election *election, const struct amb_election_input *input,
                       struct amb_election_output *output);

/* May this node answer reports with its token at this moment? A tick may be overdue: after a stall, reports
 * that came meanwhile may be read before it. */
bool amb_election_may_answer_agents(const struct amb_election *election, amb_ms now,
                                    const struct amb_election_evidence *evidence);

/* Is the lease surely ours at this moment? */
bool amb_election_has_valid_lease(const struct amb_election *election, amb_ms now);
/* Did the last renewal go through in good time? If not the state service may be out of reach, and what it
 * would tell of cancellations too. */
bool amb_election_has_recent_renewal(const struct amb_election *election, amb_ms now);

#endif
