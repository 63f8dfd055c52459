#include "amberpin/election/state_machine.h"

#include <string.h>

enum {
    TRIES_PER_LEASE = 4,  /* renewals and claims */
    OVERDUE_PERCENT = 35, /* of a lease, after which the next renewal should have been answered */
};

static void act(struct amb_election_output *out, struct amb_election_action action) {
    out->actions[out->count++] = action;
}

static void change_role(struct amb_election *election, struct amb_election_output *out, enum amb_role to,
                        const char *cause) {
    if (election->role == to) return;
    election->role = to;
    out->cause = cause;
}

static bool holds_lead(const struct amb_election *election) {
    return election->role >= AMB_ROLE_LEADING;
}

static amb_ms later(amb_ms a, amb_ms b) {
    return a > b ? a : b;
}

static amb_ms sooner(amb_ms a, amb_ms b) {
    return a < b ? a : b;
}

bool amb_election_sure(const struct amb_election *election, amb_ms now) {
    /* Counted from when the renewal was sent; less a tenth for drift and for work already under way. */
    return election->role == AMB_ROLE_LEADING &&
           now < election->renewed_at + election->ttl - election->ttl / 10;
}

bool amb_election_in_touch(const struct amb_election *election, amb_ms now) {
    return now < election->renewed_at + election->ttl * OVERDUE_PERCENT / 100;
}

/* ---- changes of role ---- */

static void become_follower(struct amb_election *election, struct amb_election_output *out,
                            const char *cause) {
    bool led = holds_lead(election);
    if (election->lease)
        act(out, (struct amb_election_action){.type = AMB_ELECTION_DROP_LEASE, .lease = election->lease});
    election->lease = 0;
    change_role(election, out, AMB_ROLE_FOLLOWING, cause);
    if (led) act(out, (struct amb_election_action){.type = AMB_ELECTION_LEAD_LOST});
}

static void begin_claim(struct amb_election *election, struct amb_election_output *out, amb_ms now,
                        uint64_t expect, const char *cause) {
    change_role(election, out, AMB_ROLE_CLAIMING, cause);
    election->claim++;
    election->expect = expect;
    election->lease = 0;
    election->claim_at = now;
    act(out, (struct amb_election_action){.type = AMB_ELECTION_GRANT_LEASE, .claim = election->claim});
}

static void begin_check(struct amb_election *election, struct amb_election_output *out) {
    change_role(election, out, AMB_ROLE_CHECKING, "the claim got no answer");
    act(out, (struct amb_election_action){.type = AMB_ELECTION_READ_KEY, .claim = election->claim});
}

static void begin_lead(struct amb_election *election, struct amb_election_output *out, uint64_t stamp) {
    /* The answer may come late, when another leads, or the key is gone: whoever has told it that it knows of
     * a newer term must not answer machines under an older one (amb_peer_quiet). */
    if (stamp < election->highest || stamp < election->holder_stamp) {
        become_follower(election, out, "the claim is older than what is known of the lead");
        return;
    }
    election->term = election->highest = stamp;
    strcpy(election->holder, election->member);
    election->holder_stamp = stamp;
    election->holder_nonce = election->nonce;
    election->renewed_at = election->renew_sent_at = election->claim_at;
    election->renewing = false;
    change_role(election, out, AMB_ROLE_LEADING, "the leader key is ours");
    act(out, (struct amb_election_action){.type = AMB_ELECTION_LEAD_WON});
}

/* Others are better placed: they get the time of a lease to claim first. */
static void give_up_lead(struct amb_election *election, struct amb_election_output *out, amb_ms now) {
    election->shun_until = now + election->shun_for;
    election->vacant_since = now;
    election->holder[0] = 0;
    become_follower(election, out, "no worker reaches this node");
}

/* After this a leader answers no report. Another node may have promised that a cancelled task is gone within
 * cancel_s, and a worker keeps a task for lease_s after our last answer. So when neither news nor word from
 * every peer comes (which would tell of the cancellation, or of another leader), we stop in time for that:
 * not much sooner, since when a cut lasts 30 s every task that reports here hangs on the last seconds
 * (docs/safety.md has the sum). News count only as long as renewals come too. */
static amb_ms fenced_from(const struct amb_election *election, const struct amb_election_evidence *evidence) {
    amb_ms own = sooner(election->renewed_at, evidence->news_asked_at);
    return later(own, evidence->peers_asked_at) + later(election->fence_after, election->ttl);
}

bool amb_election_answers(const struct amb_election *election, amb_ms now,
                          const struct amb_election_evidence *evidence) {
    return (election->role == AMB_ROLE_LEADING || election->role == AMB_ROLE_UNSURE) &&
           now <= fenced_from(election, evidence);
}

/* Leading, unsure or fenced? */
static void update_role(struct amb_election *election, struct amb_election_output *out, amb_ms now,
                        const struct amb_election_evidence *evidence) {
    if (now > fenced_from(election, evidence))
        change_role(election, out, AMB_ROLE_FENCED, "neither news nor the peers' word that we still lead");
    else if (now >= election->renewed_at + election->ttl - election->ttl / 10)
        change_role(election, out, AMB_ROLE_UNSURE, "the lease could not be renewed in time");
    else
        change_role(election, out, AMB_ROLE_LEADING, "the lease is renewed");
}

/* ---- what happens ---- */

static void lease_granted(struct amb_election *election, const struct amb_election_input *in,
                          struct amb_election_output *out) {
    if (election->role != AMB_ROLE_CLAIMING || in->claim != election->claim) return;
    if (in->result != AMB_CALL_OK) {
        become_follower(election, out, "no lease to be had");
        return;
    }
    election->lease = in->lease;
    election->nonce = in->nonce;
    act(out, (struct amb_election_action){.type = AMB_ELECTION_COMMIT_CLAIM,
                                          .claim = election->claim,
                                          .lease = election->lease,
                                          .nonce = election->nonce,
                                          .expect = election->expect});
}

static void claim_answered(struct amb_election *election, const struct amb_election_input *in,
                           struct amb_election_output *out) {
    if (election->role != AMB_ROLE_CLAIMING || in->claim != election->claim) return;
    switch (in->result) {
    case AMB_CALL_OK: begin_lead(election, out, in->stamp); break;
    case AMB_CALL_LOST: begin_check(election, out); break;
    case AMB_CALL_CONFLICT: become_follower(election, out, "somebody else was first"); break;
    default: become_follower(election, out, "the claim was refused");
    }
}

static void key_read(struct amb_election *election, const struct amb_election_input *in,
                     struct amb_election_output *out) {
    if (election->role != AMB_ROLE_CHECKING || in->claim != election->claim) return;
    if (in->result == AMB_CALL_OK && in->key.present && in->key.nonce == election->nonce)
        begin_lead(election, out, in->key.stamp);
    else if (in->result == AMB_CALL_OK || in->result == AMB_CALL_NOT_FOUND)
        /* A late claim can't be applied any more once its lease is dropped. */
        become_follower(election, out, "the claim was not carried out");
    else if (in->now - election->claim_at > election->ttl)
        become_follower(election, out, "the claim can't be checked in time");
}

static void lease_renewed(struct amb_election *election, const struct amb_election_input *in,
                          struct amb_election_output *out) {
    /* The answer may be to a renewal of an earlier lead, whose lease was another. */
    if (!election->renewing || in->lease != election->lease) return;
    election->renewing = false;
    if (!holds_lead(election)) return;
    if (in->result == AMB_CALL_OK) {
        election->renewed_at = election->renew_sent_at;
        update_role(election, out, in->now, &in->evidence);
    } else if (in->result == AMB_CALL_NOT_FOUND) {
        become_follower(election, out, "the lease has run out");
    }
}

static void key_changed(struct amb_election *election, const struct amb_election_key *key,
                        struct amb_election_output *out) {
    if (key->stamp < election->holder_stamp) return; /* older than what is known */
    election->key_known = true;
    if (key->stamp == election->holder_stamp && key->nonce == election->holder_nonce &&
        !strcmp(key->member, election->holder))
        return;
    strcpy(election->holder, key->member);
    election->holder_stamp = key->stamp;
    election->holder_nonce = key->nonce;
    if (key->present) election->highest = key->stamp > election->highest ? key->stamp : election->highest;
    if (holds_lead(election) && key->stamp > election->term &&
        (!key->present || key->nonce != election->nonce))
        become_follower(election, out,
                        key->present ? "the leader key names another" : "the leader key is gone");
}

static void term_seen(struct amb_election *election, uint64_t term, struct amb_election_output *out) {
    if (term > election->highest) election->highest = term;
    if (holds_lead(election) && term > election->term)
        become_follower(election, out, "a higher term is known");
}

static void follower_tick(struct amb_election *election, amb_ms now, struct amb_election_output *out) {
    bool yields = now < election->shun_until && now - election->vacant_since < election->ttl;
    if (!election->key_known || now - election->claim_at <= election->ttl / TRIES_PER_LEASE || yields) return;
    if (!election->holder[0])
        begin_claim(election, out, now, 0, "nobody leads");
    else if (!strcmp(election->holder, election->member) && election->holder_stamp >= election->highest)
        /* Not when a higher term is known: then it is our news of the key that is old, as with a node that
         * the state service refuses alone, which would claim in vain four times a lease. */
        begin_claim(election, out, now, election->holder_stamp,
                    "the key names this node's former self"); /* it is dead */
}

static void leader_tick(struct amb_election *election, const struct amb_election_input *in,
                        struct amb_election_output *out) {
    /* Only while the lease is sure: in an outage nobody else could be elected. */
    if (election->role == AMB_ROLE_LEADING && in->evidence.unreachable) {
        give_up_lead(election, out, in->now);
        return;
    }
    if (!election->renewing && in->now - election->renew_sent_at >= election->ttl / TRIES_PER_LEASE) {
        election->renewing = true;
        election->renew_sent_at = in->now;
        act(out, (struct amb_election_action){.type = AMB_ELECTION_EXTEND_LEASE, .lease = election->lease});
    }
    update_role(election, out, in->now, &in->evidence);
}

static void tick(struct amb_election *election, const struct amb_election_input *in,
                 struct amb_election_output *out) {
    amb_ms claiming = in->now - election->claim_at;
    if (election->holder[0]) election->vacant_since = in->now;
    switch (election->role) {
    case AMB_ROLE_STARTING: break;
    case AMB_ROLE_FOLLOWING: follower_tick(election, in->now, out); break;
    case AMB_ROLE_CLAIMING:
        if (claiming > election->ttl) become_follower(election, out, "the claim took too long");
        break;
    case AMB_ROLE_CHECKING:
        if (claiming > 2 * election->ttl) become_follower(election, out, "the claim can't be checked");
        break;
    default: leader_tick(election, in, out);
    }
}

void amb_election_step(struct amb_election *election, const struct amb_election_input *in,
                       struct amb_election_output *out) {
    memset(out, 0, sizeof *out);
    switch (in->event) {
    case AMB_ELECTION_STORE_READ:
        if (election->role == AMB_ROLE_STARTING)
            change_role(election, out, AMB_ROLE_FOLLOWING, "the state service has been read");
        break;
    case AMB_ELECTION_LEASE_GRANTED: lease_granted(election, in, out); break;
    case AMB_ELECTION_CLAIM_ANSWERED: claim_answered(election, in, out); break;
    case AMB_ELECTION_KEY_READ: key_read(election, in, out); break;
    case AMB_ELECTION_LEASE_RENEWED: lease_renewed(election, in, out); break;
    case AMB_ELECTION_KEY_CHANGED: key_changed(election, &in->key, out); break;
    case AMB_ELECTION_TERM_SEEN: term_seen(election, in->term, out); break;
    case AMB_ELECTION_TICK: tick(election, in, out); break;
    }
}
