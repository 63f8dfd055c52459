#include "amberpin/election/state_machine.h"

#include <string.h>

enum {
    ATTEMPTS_PER_LEASE = 4, /* renewals, and claims, per time to live of the lease */
    /* Percentage of the time to live after which the renewal that follows a successful one should have been
     * answered too. */
    RENEWAL_OVERDUE_PERCENT = 35,
    LEASE_MARGIN_DIVISOR = 10, /* a tenth of the lease is reserved for clock drift and work in progress */
    VERIFY_FOR_LEASES = 2,     /* lease periods for which an unanswered claim is read back */
};

const char *amb_election_role_name(enum amb_election_role role) {
    static const char *const names[] = {"starting", "following", "claiming", "checking",
                                        "leading",  "unsure",    "fenced"};
    return names[role];
}

static void add_action(struct amb_election_output *output, struct amb_election_action action) {
    output->actions[output->action_count++] = action;
}

static void change_role(struct amb_election *election, struct amb_election_output *output,
                        enum amb_election_role new_role, const char *cause) {
    if (election->role == new_role) return;
    election->role = new_role;
    output->cause = cause;
}

static bool has_leader_role(const struct amb_election *election) {
    return election->role >= AMB_ROLE_LEADER;
}

static amb_ms later_of(amb_ms first, amb_ms second) {
    return first > second ? first : second;
}

amb_ms amb_election_safe_lease(amb_ms ttl) {
    return ttl - ttl / LEASE_MARGIN_DIVISOR;
}

bool amb_election_has_valid_lease(const struct amb_election *election, amb_ms now) {
    return election->role == AMB_ROLE_LEADER &&
           now < election->renewed_at + amb_election_safe_lease(election->ttl);
}

bool amb_election_has_recent_renewal(const struct amb_election *election, amb_ms now) {
    return now < election->renewed_at + election->ttl * RENEWAL_OVERDUE_PERCENT / 100;
}

/* ---- changes of role ---- */

static void become_follower(struct amb_election *election, struct amb_election_output *output,
                            const char *cause) {
    bool had_leader_role = has_leader_role(election);
    if (election->lease_id)
        add_action(output, (struct amb_election_action){.type = AMB_ELECTION_REVOKE_LEASE,
                                                        .lease_id = election->lease_id});
    election->lease_id = 0;
    change_role(election, output, AMB_ROLE_FOLLOWER, cause);
    if (had_leader_role)
        add_action(output, (struct amb_election_action){.type = AMB_ELECTION_LEADERSHIP_LOST});
}

static void begin_claim(struct amb_election *election, struct amb_election_output *output, amb_ms now,
                        uint64_t expected_revision, const char *cause) {
    change_role(election, output, AMB_ROLE_CANDIDATE, cause);
    election->claim_id++;
    election->expected_revision = expected_revision;
    election->lease_id = 0;
    election->claimed_at = now;
    add_action(output, (struct amb_election_action){.type = AMB_ELECTION_GRANT_LEASE,
                                                    .claim_id = election->claim_id});
}

static void begin_claim_verification(struct amb_election *election, struct amb_election_output *output) {
    change_role(election, output, AMB_ROLE_VERIFYING_CLAIM, "no answer to the claim of the leader key");
    add_action(output,
               (struct amb_election_action){.type = AMB_ELECTION_READ_KEY, .claim_id = election->claim_id});
}

static void begin_leadership(struct amb_election *election, struct amb_election_output *output,
                             uint64_t revision) {
    /* The answer may arrive after another node has become leader or the key has been removed. A node that has
     * told its peers that it knows a newer term must not answer agents under an older one
     * (amb_election_peers_fenced_at). */
    if (revision < election->highest_term || revision < election->holder_revision) {
        become_follower(election, output, "claim is stale: a newer term or leader key revision is known");
        return;
    }
    election->term = election->highest_term = revision;
    strcpy(election->holder, election->member);
    election->holder_revision = revision;
    election->holder_nonce = election->nonce;
    election->renewed_at = election->renewal_sent_at = election->claimed_at;
    election->renewal_pending = false;
    change_role(election, output, AMB_ROLE_LEADER, "leader key acquired");
    add_action(output, (struct amb_election_action){.type = AMB_ELECTION_LEADERSHIP_WON});
}

/* Gives up leadership to nodes with better connectivity. They get one lease period to become leader before
 * this node claims again. */
static void yield_leadership(struct amb_election *election, struct amb_election_output *output, amb_ms now) {
    election->yield_until = now + election->yield_duration;
    election->vacant_since = now;
    election->holder[0] = 0;
    become_follower(election, output, "no worker reaches this node, leadership yielded");
}

/* The time after which a leader no longer answers agents. Another node may have promised a user that a
 * cancelled task has stopped within cancel_s, and an agent keeps a task running for one agent lease after the
 * last answer. The store, and likewise all peers together, would tell this leader of the cancellation or of
 * another leader. A leader that hears from neither must stop early enough to keep the promise. It must not
 * stop much earlier: in a network partition of 30 s, the last seconds decide whether the tasks that depend on
 * this node's answers survive (docs/safety.md has the calculation). Watch reads count only while lease
 * renewals succeed too. */
static amb_ms fencing_deadline(const struct amb_election *election,
                               const struct amb_election_evidence *evidence) {
    amb_ms store_contact_at = amb_earlier(election->renewed_at, evidence->watch_sent_at);
    return later_of(store_contact_at, evidence->peers_queried_at) +
           later_of(election->fence_after, election->ttl);
}

bool amb_election_may_answer_agents(const struct amb_election *election, amb_ms now,
                                    const struct amb_election_evidence *evidence) {
    return (election->role == AMB_ROLE_LEADER || election->role == AMB_ROLE_UNSURE) &&
           now <= fencing_deadline(election, evidence);
}

/* Sets the role of a node that has the leader role to leader, unsure or fenced. */
static void update_role(struct amb_election *election, struct amb_election_output *output, amb_ms now,
                        const struct amb_election_evidence *evidence) {
    if (now > fencing_deadline(election, evidence))
        change_role(election, output, AMB_ROLE_FENCED,
                    "no recent contact with the state service and no recent confirmation by all peers");
    else if (now >= election->renewed_at + amb_election_safe_lease(election->ttl))
        change_role(election, output, AMB_ROLE_UNSURE, "leadership lease was not renewed in time");
    else
        change_role(election, output, AMB_ROLE_LEADER, "leadership lease renewed");
}

/* ---- events ---- */

static void on_lease_granted(struct amb_election *election, const struct amb_election_input *input,
                             struct amb_election_output *output) {
    if (election->role != AMB_ROLE_CANDIDATE || input->claim_id != election->claim_id) return;
    if (input->result != AMB_CALL_OK) {
        become_follower(election, output, "state service granted no lease");
        return;
    }
    election->lease_id = input->lease_id;
    election->nonce = input->nonce;
    add_action(output, (struct amb_election_action){.type = AMB_ELECTION_COMMIT_CLAIM,
                                                    .claim_id = election->claim_id,
                                                    .lease_id = election->lease_id,
                                                    .nonce = election->nonce,
                                                    .expected_revision = election->expected_revision});
}

static void on_claim_answered(struct amb_election *election, const struct amb_election_input *input,
                              struct amb_election_output *output) {
    if (election->role != AMB_ROLE_CANDIDATE || input->claim_id != election->claim_id) return;
    switch (input->result) {
    case AMB_CALL_OK: begin_leadership(election, output, input->revision); break;
    case AMB_CALL_NO_ANSWER: begin_claim_verification(election, output); break;
    case AMB_CALL_CONFLICT:
        become_follower(election, output, "leader key changed before the claim was committed");
        break;
    default: become_follower(election, output, "state service refused the claim");
    }
}

static void on_key_read(struct amb_election *election, const struct amb_election_input *input,
                        struct amb_election_output *output) {
    if (election->role != AMB_ROLE_VERIFYING_CLAIM || input->claim_id != election->claim_id) return;
    if (input->result == AMB_CALL_OK && input->key.present && input->key.nonce == election->nonce)
        begin_leadership(election, output, input->key.revision);
    else if (input->result == AMB_CALL_OK || input->result == AMB_CALL_NOT_FOUND)
        /* Once its lease is revoked, a delayed claim cannot be committed any more. */
        become_follower(election, output, "claim was not committed");
    else if (input->now - election->claimed_at > election->ttl)
        become_follower(election, output,
                        "leader key could not be read back while the claim's lease was valid");
}

static void on_lease_renewed(struct amb_election *election, const struct amb_election_input *input,
                             struct amb_election_output *output) {
    /* The answer may belong to a renewal from an earlier term, which was on another lease. */
    if (!election->renewal_pending || input->lease_id != election->lease_id) return;
    election->renewal_pending = false;
    if (!has_leader_role(election)) return;
    if (input->result == AMB_CALL_OK) {
        election->renewed_at = election->renewal_sent_at;
        update_role(election, output, input->now, &input->evidence);
    } else if (input->result == AMB_CALL_NOT_FOUND) {
        become_follower(election, output, "leadership lease expired");
    }
}

static void on_key_changed(struct amb_election *election, const struct amb_leader_key *key,
                           struct amb_election_output *output) {
    if (key->revision < election->holder_revision) return; /* older than what is known */
    election->key_known = true;
    if (key->revision == election->holder_revision && key->nonce == election->holder_nonce &&
        !strcmp(key->member, election->holder))
        return;
    strcpy(election->holder, key->member);
    election->holder_revision = key->revision;
    election->holder_nonce = key->nonce;
    if (key->present && key->revision > election->highest_term) election->highest_term = key->revision;
    if (has_leader_role(election) && key->revision > election->term &&
        (!key->present || key->nonce != election->nonce))
        become_follower(election, output,
                        key->present ? "another claim holds the leader key" : "leader key was removed");
}

static void on_term_seen(struct amb_election *election, uint64_t term, struct amb_election_output *output) {
    if (term > election->highest_term) election->highest_term = term;
    if (has_leader_role(election) && term > election->term)
        become_follower(election, output, "a higher term was seen");
}

static void tick_follower(struct amb_election *election, amb_ms now, struct amb_election_output *output) {
    bool is_yielding = now < election->yield_until && now - election->vacant_since < election->ttl;
    bool claimed_lately = now - election->claimed_at <= election->ttl / ATTEMPTS_PER_LEASE;
    if (!election->key_known || claimed_lately || is_yielding) return;
    if (!election->holder[0])
        begin_claim(election, output, now, 0, "there is no leader");
    else if (!strcmp(election->holder, election->member) &&
             election->holder_revision >= election->highest_term)
        /* If a higher term is known, this node's view of the key is outdated, for example because the store
         * refuses only this node. It would then claim in vain four times per lease period. */
        begin_claim(election, output, now, election->holder_revision,
                    "leader key was written by an earlier process of this node");
}

static void tick_leader(struct amb_election *election, const struct amb_election_input *input,
                        struct amb_election_output *output) {
    /* Yields only while the lease is valid: during an outage of the store no other node could be elected. */
    if (election->role == AMB_ROLE_LEADER && input->evidence.unreachable) {
        yield_leadership(election, output, input->now);
        return;
    }
    if (!election->renewal_pending &&
        input->now - election->renewal_sent_at >= election->ttl / ATTEMPTS_PER_LEASE) {
        election->renewal_pending = true;
        election->renewal_sent_at = input->now;
        add_action(output, (struct amb_election_action){.type = AMB_ELECTION_RENEW_LEASE,
                                                        .lease_id = election->lease_id});
    }
    update_role(election, output, input->now, &input->evidence);
}

static void tick(struct amb_election *election, const struct amb_election_input *input,
                 struct amb_election_output *output) {
    amb_ms claim_age = input->now - election->claimed_at;
    if (election->holder[0]) election->vacant_since = input->now;
    switch (election->role) {
    case AMB_ROLE_STARTING: break;
    case AMB_ROLE_FOLLOWER: tick_follower(election, input->now, output); break;
    case AMB_ROLE_CANDIDATE:
        if (claim_age > election->ttl)
            become_follower(election, output, "no answer to the claim within a lease period");
        break;
    case AMB_ROLE_VERIFYING_CLAIM:
        if (claim_age > VERIFY_FOR_LEASES * election->ttl)
            become_follower(election, output,
                            "leader key could not be read back: claim verification timed out");
        break;
    default: tick_leader(election, input, output);
    }
}

void amb_election_step(struct amb_election *election, const struct amb_election_input *input,
                       struct amb_election_output *output) {
    memset(output, 0, sizeof *output);
    switch (input->event) {
    case AMB_ELECTION_STORE_READ:
        if (election->role == AMB_ROLE_STARTING)
            change_role(election, output, AMB_ROLE_FOLLOWER, "initial read of the state service completed");
        break;
    case AMB_ELECTION_LEASE_GRANTED: on_lease_granted(election, input, output); break;
    case AMB_ELECTION_CLAIM_ANSWERED: on_claim_answered(election, input, output); break;
    case AMB_ELECTION_KEY_READ: on_key_read(election, input, output); break;
    case AMB_ELECTION_LEASE_RENEWED: on_lease_renewed(election, input, output); break;
    case AMB_ELECTION_KEY_CHANGED: on_key_changed(election, &input->key, output); break;
    case AMB_ELECTION_TERM_SEEN: on_term_seen(election, input->term, output); break;
    case AMB_ELECTION_TICK: tick(election, input, output); break;
    }
}
