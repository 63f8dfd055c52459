#include "amberpin/election/state_machine.h"

#include <string.h>

enum {
    ATTEMPTS_PER_LEASE = 4,       /* renewals and claims */
    RENEWAL_OVERDUE_PERCENT = 35, /* of a lease, after which the next renewal should have been answered */
    LEASE_MARGIN_DIVISOR = 10,    /* a tenth of a lease is kept for clock drift and for work under way */
    VERIFY_FOR_LEASES = 2,        /* how long a claim without an answer is read back */
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
    change_role(election, output, AMB_ROLE_VERIFYING_CLAIM, "the claim got no answer");
    add_action(output,
               (struct amb_election_action){.type = AMB_ELECTION_READ_KEY, .claim_id = election->claim_id});
}

static void begin_leadership(struct amb_election *election, struct amb_election_output *output,
                             uint64_t revision) {
    /* The answer may come late, when another node leads or the key is gone. A node that has told others that
     * it knows of a newer term must not answer agents under an older one (amb_election_peers_fenced_at). */
    if (revision < election->highest_term || revision < election->holder_revision) {
        become_follower(election, output, "the claim is older than what is known of the lead");
        return;
    }
    election->term = election->highest_term = revision;
    strcpy(election->holder, election->member);
    election->holder_revision = revision;
    election->holder_nonce = election->nonce;
    election->renewed_at = election->renewal_sent_at = election->claimed_at;
    election->renewal_pending = false;
    change_role(election, output, AMB_ROLE_LEADER, "the leader key is ours");
    add_action(output, (struct amb_election_action){.type = AMB_ELECTION_LEADERSHIP_WON});
}

/* Other nodes are better placed: they get the time of a lease to become leader first. */
static void yield_leadership(struct amb_election *election, struct amb_election_output *output, amb_ms now) {
    election->yield_until = now + election->yield_duration;
    election->vacant_since = now;
    election->holder[0] = 0;
    become_follower(election, output, "no worker reaches this node");
}

/* After this moment a leader answers no agent. Another node may have promised that a cancelled task is gone
 * within cancel_s, and an agent keeps a task for its lease after the last answer. So a leader that neither
 * the store nor every peer answers (which would tell it of the cancellation, or of another leader) stops in
 * time for that promise. Not much sooner: in a network cut of 30 s, all tasks that depend on this node's
 * answers are saved or lost in the last seconds (docs/safety.md has the sum). Reads of changes count only as
 * long as renewals succeed too. */
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

/* Of a node that has the leader role: leader, unsure or fenced. */
static void update_role(struct amb_election *election, struct amb_election_output *output, amb_ms now,
                        const struct amb_election_evidence *evidence) {
    if (now > fencing_deadline(election, evidence))
        change_role(election, output, AMB_ROLE_FENCED, "neither news nor the peers' word that we still lead");
    else if (now >= election->renewed_at + amb_election_safe_lease(election->ttl))
        change_role(election, output, AMB_ROLE_UNSURE, "the lease could not be renewed in time");
    else
        change_role(election, output, AMB_ROLE_LEADER, "the lease is renewed");
}

/* ---- events ---- */

static void on_lease_granted(struct amb_election *election, const struct amb_election_input *input,
                             struct amb_election_output *output) {
    if (election->role != AMB_ROLE_CANDIDATE || input->claim_id != election->claim_id) return;
    if (input->result != AMB_CALL_OK) {
        become_follower(election, output, "no lease to be had");
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
    case AMB_CALL_CONFLICT: become_follower(election, output, "somebody else was first"); break;
    default: become_follower(election, output, "the claim was refused");
    }
}

static void on_key_read(struct amb_election *election, const struct amb_election_input *input,
                        struct amb_election_output *output) {
    if (election->role != AMB_ROLE_VERIFYING_CLAIM || input->claim_id != election->claim_id) return;
    if (input->result == AMB_CALL_OK && input->key.present && input->key.nonce == election->nonce)
        begin_leadership(election, output, input->key.revision);
    else if (input->result == AMB_CALL_OK || input->result == AMB_CALL_NOT_FOUND)
        /* A late claim can't be applied any more once its lease is revoked. */
        become_follower(election, output, "the claim was not carried out");
    else if (input->now - election->claimed_at > election->ttl)
        become_follower(election, output, "the claim can't be checked in time");
}

static void on_lease_renewed(struct amb_election *election, const struct amb_election_input *input,
                             struct amb_election_output *output) {
    /* The answer may be to a renewal of an earlier leadership, whose lease was another. */
    if (!election->renewal_pending || input->lease_id != election->lease_id) return;
    election->renewal_pending = false;
    if (!has_leader_role(election)) return;
    if (input->result == AMB_CALL_OK) {
        election->renewed_at = election->renewal_sent_at;
        update_role(election, output, input->now, &input->evidence);
    } else if (input->result == AMB_CALL_NOT_FOUND) {
        become_follower(election, output, "the lease has run out");
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
                        key->present ? "the leader key names another" : "the leader key is gone");
}

static void on_term_seen(struct amb_election *election, uint64_t term, struct amb_election_output *output) {
    if (term > election->highest_term) election->highest_term = term;
    if (has_leader_role(election) && term > election->term)
        become_follower(election, output, "a higher term is known");
}

static void tick_follower(struct amb_election *election, amb_ms now, struct amb_election_output *output) {
    bool is_yielding = now < election->yield_until && now - election->vacant_since < election->ttl;
    bool claimed_lately = now - election->claimed_at <= election->ttl / ATTEMPTS_PER_LEASE;
    if (!election->key_known || claimed_lately || is_yielding) return;
    if (!election->holder[0])
        begin_claim(election, output, now, 0, "nobody leads");
    else if (!strcmp(election->holder, election->member) &&
             election->holder_revision >= election->highest_term)
        /* Not when a higher term is known: then it is what we know of the key that is old, as on a node that
         * the store alone refuses, which would claim in vain four times a lease. */
        begin_claim(election, output, now, election->holder_revision,
                    "the key names this node's former self");
}

static void tick_leader(struct amb_election *election, const struct amb_election_input *input,
                        struct amb_election_output *output) {
    /* Only while the lease is valid: in an outage no other node could be elected. */
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
        if (claim_age > election->ttl) become_follower(election, output, "the claim took too long");
        break;
    case AMB_ROLE_VERIFYING_CLAIM:
        if (claim_age > VERIFY_FOR_LEASES * election->ttl)
            become_follower(election, output, "the claim can't be checked");
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
            change_role(election, output, AMB_ROLE_FOLLOWER, "the state service has been read");
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
