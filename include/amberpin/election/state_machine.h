/* Leader election as a pure state machine: what happened, and when, goes in; the new role and the calls to be
 * made come out. It has no input or output, clock or randomness of its own, so that tests drive it by tables
 * (tests/election/test_election.c). docs/safety.md, "Leadership", has the reasoning; election.c is the
 * wiring. */
#ifndef AMBERPIN_ELECTION_STATE_MACHINE_H
#define AMBERPIN_ELECTION_STATE_MACHINE_H

#include "amberpin/base/call_result.h"
#include "amberpin/model/model.h"

/* From AMB_ROLE_LEADER on a node has the leader role: it was elected, and knows of no successor. */
enum amb_election_role {
    AMB_ROLE_STARTING,        /* has not read the store yet */
    AMB_ROLE_FOLLOWER,        /* another node leads, or none yet */
    AMB_ROLE_CANDIDATE,       /* a lease was requested, or the leader key is being written */
    AMB_ROLE_VERIFYING_CLAIM, /* the write got no answer: the key is read back */
    AMB_ROLE_LEADER,          /* the lease is surely valid */
    AMB_ROLE_UNSURE,          /* the lease may have expired: starts nothing, keeps running tasks alive */
    AMB_ROLE_FENCED,          /* without contact to the store and the peers for too long: answers no agent */
};

/* For the log. */
const char *amb_election_role_name(enum amb_election_role role);

/* The state. Read it freely; only amb_election_step changes it. Start from zeroes and the settings. */
struct amb_election {
    /* settings */
    char member[AMB_NAME_SIZE]; /* this node */
    amb_ms ttl;                 /* of the leadership lease */
    amb_ms fence_after;         /* without contact to the store or all peers (the ttl, if that is longer) */
    amb_ms yield_duration;      /* after giving up leadership since no agent comes: others first */
    /* role */
    enum amb_election_role role;
    uint64_t term;         /* ours, while we have the leader role */
    uint64_t highest_term; /* seen anywhere */
    /* the claim under way, or the last */
    uint64_t claim_id, nonce, expected_revision;
    amb_ms claimed_at;
    /* the lease that the leader key is on; 0: none */
    uint64_t lease_id;
    bool renewal_pending;
    amb_ms renewed_at; /* when the last renewal was sent that succeeded */
    amb_ms renewal_sent_at;
    /* the leader key, as last known */
    bool key_known;
    char holder[AMB_NAME_SIZE]; /* the member that it names; empty: none */
    uint64_t holder_revision, holder_nonce;
    amb_ms vacant_since, yield_until;
};

/* The leader key as it was read or as a change of it was seen. */
struct amb_leader_key {
    bool present;
    char member[AMB_NAME_SIZE];
    uint64_t nonce, revision;
};

/* What shows that no cancellation was promised to a user that this node does not know of: when the questions
 * were sent whose answers were the last to show it. */
struct amb_election_evidence {
    amb_ms watch_sent_at;    /* to the store, for all changes */
    amb_ms peers_queried_at; /* to every peer: the oldest question whose answer confirmed our leadership */
    bool unreachable;        /* no agent reaches this node, and another node would serve them better */
};

/* What has happened. Beside each: the fields of the input that it reads, `now` apart. */
enum amb_election_event {
    AMB_ELECTION_STORE_READ,     /* all keys were read: none */
    AMB_ELECTION_LEASE_GRANTED,  /* answer to AMB_ELECTION_GRANT_LEASE: claim_id, result, lease_id, nonce */
    AMB_ELECTION_CLAIM_ANSWERED, /* to AMB_ELECTION_COMMIT_CLAIM: claim_id, result, revision */
    AMB_ELECTION_KEY_READ,       /* to AMB_ELECTION_READ_KEY: claim_id, result, key */
    AMB_ELECTION_LEASE_RENEWED,  /* to AMB_ELECTION_RENEW_LEASE: lease_id, result, evidence */
    AMB_ELECTION_KEY_CHANGED,    /* the leader key was seen to change: key */
    AMB_ELECTION_TERM_SEEN,      /* in a heartbeat, a peer's message or a refused write: term */
    AMB_ELECTION_TICK,           /* time has passed: evidence */
};

struct amb_election_input {
    enum amb_election_event event;
    amb_ms now;
    enum amb_call_result result;
    uint64_t claim_id, lease_id, nonce, revision, term;
    struct amb_leader_key key;
    struct amb_election_evidence evidence;
};

/* What is to be done. Beside each: the fields of the action that say how. */
enum amb_election_action_type {
    AMB_ELECTION_GRANT_LEASE,  /* request a lease of the ttl, and draw a nonce for the claim: claim_id */
    AMB_ELECTION_COMMIT_CLAIM, /* write the key on the lease if it still has the expected revision: claim_id,
                                  lease_id, nonce, expected_revision */
    AMB_ELECTION_READ_KEY,     /* claim_id */
    AMB_ELECTION_RENEW_LEASE,  /* lease_id */
    AMB_ELECTION_REVOKE_LEASE, /* lease_id; not answered */
    AMB_ELECTION_LEADERSHIP_WON,
    AMB_ELECTION_LEADERSHIP_LOST,
};

struct amb_election_action {
    enum amb_election_action_type type;
    uint64_t claim_id, lease_id, nonce, expected_revision;
};

enum { AMB_ELECTION_MAX_ACTIONS = 4 };

struct amb_election_output {
    const char *cause; /* of the change of role, static text; NULL: there was none */
    uint32_t action_count;
    struct amb_election_action actions[AMB_ELECTION_MAX_ACTIONS];
};

/* Applies one event; the actions are to be carried out in their order. */
void amb_election_step(struct amb_election *election, const struct amb_election_input *input,
                       struct amb_election_output *output);

/* Whether this node may answer agents under its fencing token at this moment. A tick may be overdue: after a
 * stall, heartbeats that came meanwhile may be read before it. */
bool amb_election_may_answer_agents(const struct amb_election *election, amb_ms now,
                                    const struct amb_election_evidence *evidence);

/* How long a lease counts from when it was requested or its renewal was sent: less than its time to live, for
 * clock drift and for work that is under way when it ends. */
amb_ms amb_election_safe_lease(amb_ms ttl);

/* Whether the leadership lease is surely valid at this moment. */
bool amb_election_has_valid_lease(const struct amb_election *election, amb_ms now);

/* Whether the last renewal succeeded in time. If not, the store may be out of reach, and with it what it
 * would tell of cancellations. */
bool amb_election_has_recent_renewal(const struct amb_election *election, amb_ms now);

#endif
