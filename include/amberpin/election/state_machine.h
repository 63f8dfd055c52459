/* Leader election as a pure state machine. Its input is an event with a timestamp, its output the new role
 * and the calls to make. It performs no input or output and has no clock or randomness of its own, so that
 * table-driven tests can cover it (tests/election/test_election.c). docs/safety.md, "Leadership", explains
 * the design; election.c connects it to the node. */
#ifndef AMBERPIN_ELECTION_STATE_MACHINE_H
#define AMBERPIN_ELECTION_STATE_MACHINE_H

#include "amberpin/base/call_result.h"
#include "amberpin/model/model.h"

/* A node in AMB_ROLE_LEADER or any later state has the leader role: it was elected and knows of no successor.
 */
enum amb_election_role {
    AMB_ROLE_STARTING,        /* has not completed its initial read of the store */
    AMB_ROLE_FOLLOWER,        /* another node leads, or there is no leader */
    AMB_ROLE_CANDIDATE,       /* a lease was requested, or the leader key is being written */
    AMB_ROLE_VERIFYING_CLAIM, /* the write was not answered, so the key is read back */
    AMB_ROLE_LEADER,          /* the lease is certainly valid */
    AMB_ROLE_UNSURE,          /* the lease may have expired: starts no tasks but keeps running ones alive */
    AMB_ROLE_FENCED,          /* out of contact with the store and the peers for too long: answers no agent */
};

/* The role's name in the log. */
const char *amb_election_role_name(enum amb_election_role role);

/* The state. Other modules may read it, but only amb_election_step changes it. Initialize it with zeroes and
 * the settings. */
struct amb_election {
    /* settings */
    char member[AMB_NAME_SIZE]; /* this node */
    amb_ms ttl;                 /* time to live of the leadership lease */
    amb_ms fence_after;         /* time without contact to the store or all peers (at least the ttl) */
    amb_ms yield_duration; /* after yielding, no claim for this time unless there is no leader for a ttl */
    /* role */
    enum amb_election_role role;
    uint64_t term;         /* of this node, while it has the leader role */
    uint64_t highest_term; /* seen from any source */
    /* the current claim, or else the last one */
    uint64_t claim_id, nonce, expected_revision;
    amb_ms claimed_at;
    /* the lease that the leader key is attached to; 0: none */
    uint64_t lease_id;
    bool renewal_pending;
    amb_ms renewed_at; /* when the last successful renewal was sent */
    amb_ms renewal_sent_at;
    /* the leader key, as last known */
    bool key_known;
    char holder[AMB_NAME_SIZE]; /* the member named by the key; empty: none */
    uint64_t holder_revision, holder_nonce;
    amb_ms vacant_since, yield_until;
};

/* The leader key as read from the store or reported by the watch. */
struct amb_leader_key {
    bool present;
    char member[AMB_NAME_SIZE];
    uint64_t nonce, revision;
};

/* Evidence that no cancellation unknown to this node has been promised to a user. Each time is when the
 * request was sent whose answer last showed this. */
struct amb_election_evidence {
    amb_ms watch_sent_at;    /* the watch request to the store */
    amb_ms peers_queried_at; /* to the peers: the oldest request among those whose answers are each peer's
                                latest confirmation of this node's leadership */
    bool unreachable;        /* no agent reaches this node, and another node should lead */
};

/* Events. Beside each one are the input fields that it reads in addition to `now`. */
enum amb_election_event {
    AMB_ELECTION_STORE_READ,     /* the initial read of all keys completed: none */
    AMB_ELECTION_LEASE_GRANTED,  /* answer to AMB_ELECTION_GRANT_LEASE: claim_id, result, lease_id, nonce */
    AMB_ELECTION_CLAIM_ANSWERED, /* answer to AMB_ELECTION_COMMIT_CLAIM: claim_id, result, revision */
    AMB_ELECTION_KEY_READ,       /* answer to AMB_ELECTION_READ_KEY: claim_id, result, key */
    AMB_ELECTION_LEASE_RENEWED,  /* answer to AMB_ELECTION_RENEW_LEASE: lease_id, result, evidence */
    AMB_ELECTION_KEY_CHANGED,    /* the watch reported a change of the leader key: key */
    AMB_ELECTION_TERM_SEEN,      /* in a heartbeat, a peer's message or a refused write: term */
    AMB_ELECTION_TICK,           /* periodic: evidence */
};

struct amb_election_input {
    enum amb_election_event event;
    amb_ms now;
    enum amb_call_result result;
    uint64_t claim_id, lease_id, nonce, revision, term;
    struct amb_leader_key key;
    struct amb_election_evidence evidence;
};

/* Calls and announcements that the caller makes. Beside each one are the action fields that it uses. */
enum amb_election_action_type {
    AMB_ELECTION_GRANT_LEASE,  /* request a lease of the ttl and draw a nonce for the claim: claim_id */
    AMB_ELECTION_COMMIT_CLAIM, /* write the key, attached to the lease, if it still has the expected revision:
                                  claim_id, lease_id, nonce, expected_revision */
    AMB_ELECTION_READ_KEY,     /* claim_id */
    AMB_ELECTION_RENEW_LEASE,  /* lease_id */
    AMB_ELECTION_REVOKE_LEASE, /* lease_id; its answer is not reported back */
    AMB_ELECTION_LEADERSHIP_WON,
    AMB_ELECTION_LEADERSHIP_LOST,
};

struct amb_election_action {
    enum amb_election_action_type type;
    uint64_t claim_id, lease_id, nonce, expected_revision;
};

enum { AMB_ELECTION_MAX_ACTIONS = 4 };

struct amb_election_output {
    const char *cause; /* of the role change, static text; NULL: the role did not change */
    uint32_t action_count;
    struct amb_election_action actions[AMB_ELECTION_MAX_ACTIONS];
};

/* Applies one event. The caller must carry out the actions in order. */
void amb_election_step(struct amb_election *election, const struct amb_election_input *input,
                       struct amb_election_output *output);

/* Whether this node may answer agents under its fencing token at `now`. This does not rely on a recent tick:
 * after a stall, heartbeats that arrived meanwhile may be processed before the overdue tick. */
bool amb_election_may_answer_agents(const struct amb_election *election, amb_ms now,
                                    const struct amb_election_evidence *evidence);

/* How long a lease counts as valid after it was requested or its renewal was sent. This is less than its time
 * to live, to allow for clock drift and for work in progress when it ends. */
amb_ms amb_election_safe_lease(amb_ms ttl);

/* Whether the leadership lease is certainly valid at `now`. */
bool amb_election_has_valid_lease(const struct amb_election *election, amb_ms now);

/* Whether the last renewal succeeded in time. If not, the store may be unreachable, so that a read would fail
 * and cancellations recorded there may be unknown to this node. */
bool amb_election_has_recent_renewal(const struct amb_election *election, amb_ms now);

#endif
