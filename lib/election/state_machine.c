#include "amberpin/election/state_machine.h"

#include <string.h>

enum {
    TRIES_PER_LEASE = 4,  /* renewals and claims */
    OVERDUE_PERCENT = 35, /* of a lease, after which the next renewal should have been answered */
};

static void act(struct amb_election_output *out, struct amb_election_action action) {
    out->actions[out->count++] = action;
}

static void change_role(struct amb_election *e, struct amb_election_output *out, enum amb_role to,
                        const char *cause) {
    if (e->role == to) return;
    e->role = to;
    out->cause = cause;
}

static bool holds_lead(const struct amb_election *e) {
    return e->role >= AMB_ROLE_LEADING;
}

static amb_ms later(amb_ms a, amb_ms b) {
    return a > b ? a : b;
}

static amb_ms sooner(amb_ms a, amb_ms b) {
    return a < b ? a : b;
}

bool amb_election_sure(const struct amb_election *e, amb_ms now) {
    /* Counted from when the renewal was sent; less a tenth for drift and for work already under way. */
    return e->role == AMB_ROLE_LEADING && now < e->renewed_at + e->ttl - e->ttl / 10;
}

bool amb_election_in_touch(const struct amb_election *e, amb_ms now) {
    return now < e->renewed_at + e->ttl * OVERDUE_PERCENT / 100;
}

/* ---- changes of role ---- */

static void become_follower(struct amb_election *e, struct amb_election_output *out, const char *cause) {
    bool led = holds_lead(e);
    if (e->lease) act(out, (struct amb_election_action){.type = AMB_ELECTION_DROP_LEASE, .lease = e->lease});
    e->lease = 0;
    change_role(e, out, AMB_ROLE_FOLLOWING, cause);
    if (led) act(out, (struct amb_election_action){.type = AMB_ELECTION_LEAD_LOST});
}

static void begin_claim(struct amb_election *e, struct amb_election_output *out, amb_ms now, uint64_t expect,
                        const char *cause) {
    change_role(e, out, AMB_ROLE_CLAIMING, cause);
    e->claim++;
    e->expect = expect;
    e->lease = 0;
    e->claim_at = now;
    act(out, (struct amb_election_action){.type = AMB_ELECTION_GRANT_LEASE, .claim = e->claim});
}

static void begin_check(struct amb_election *e, struct amb_election_output *out) {
    change_role(e, out, AMB_ROLE_CHECKING, "the claim got no answer");
    act(out, (struct amb_election_action){.type = AMB_ELECTION_READ_KEY, .claim = e->claim});
}

static void begin_lead(struct amb_election *e, struct amb_election_output *out, uint64_t stamp) {
    /* The answer may come late, when another leads, or the key is gone: whoever has told it that it knows of
     * a newer term must not answer machines under an older one (amb_peer_quiet). */
    if (stamp < e->highest || stamp < e->holder_stamp) {
        become_follower(e, out, "the claim is older than what is known of the lead");
        return;
    }
    e->term = e->highest = stamp;
    strcpy(e->holder, e->member);
    e->holder_stamp = stamp;
    e->holder_nonce = e->nonce;
    e->renewed_at = e->renew_sent_at = e->claim_at;
    e->renewing = false;
    change_role(e, out, AMB_ROLE_LEADING, "the leader key is ours");
    act(out, (struct amb_election_action){.type = AMB_ELECTION_LEAD_WON});
}

/* Others are better placed: they get the time of a lease to claim first. */
static void give_up_lead(struct amb_election *e, struct amb_election_output *out, amb_ms now) {
    e->shun_until = now + e->shun_for;
    e->vacant_since = now;
    e->holder[0] = 0;
    become_follower(e, out, "no worker reaches this node");
}

/* After this a leader answers no report. Another node may have promised that a cancelled task is gone within
 * cancel_s, and a worker keeps a task for lease_s after our last answer. So when neither news nor word from
 * every peer comes (which would tell of the cancellation, or of another leader), we stop in time for that:
 * not much sooner, since when a cut lasts 30 s every task that reports here hangs on the last seconds
 * (docs/safety.md has the sum). News count only as long as renewals come too. */
static amb_ms fenced_from(const struct amb_election *e, const struct amb_election_evidence *evidence) {
    amb_ms own = sooner(e->renewed_at, evidence->news_asked_at);
    return later(own, evidence->peers_asked_at) + later(e->fence_after, e->ttl);
}

bool amb_election_answers(const struct amb_election *e, amb_ms now,
                          const struct amb_election_evidence *evidence) {
    return (e->role == AMB_ROLE_LEADING || e->role == AMB_ROLE_UNSURE) && now <= fenced_from(e, evidence);
}

/* Leading, unsure or fenced? */
static void update_role(struct amb_election *e, struct amb_election_output *out, amb_ms now,
                        const struct amb_election_evidence *evidence) {
    if (now > fenced_from(e, evidence))
        change_role(e, out, AMB_ROLE_FENCED, "neither news nor the peers' word that we still lead");
    else if (now >= e->renewed_at + e->ttl - e->ttl / 10)
        change_role(e, out, AMB_ROLE_UNSURE, "the lease could not be renewed in time");
    else
        change_role(e, out, AMB_ROLE_LEADING, "the lease is renewed");
}

/* ---- what happens ---- */

static void lease_granted(struct amb_election *e, const struct amb_election_input *in,
                          struct amb_election_output *out) {
    if (e->role != AMB_ROLE_CLAIMING || in->claim != e->claim) return;
    if (in->result != AMB_CALL_OK) {
        become_follower(e, out, "no lease to be had");
        return;
    }
    e->lease = in->lease;
    e->nonce = in->nonce;
    act(out, (struct amb_election_action){.type = AMB_ELECTION_COMMIT_CLAIM,
                                          .claim = e->claim,
                                          .lease = e->lease,
                                          .nonce = e->nonce,
                                          .expect = e->expect});
}

static void claim_answered(struct amb_election *e, const struct amb_election_input *in,
                           struct amb_election_output *out) {
    if (e->role != AMB_ROLE_CLAIMING || in->claim != e->claim) return;
    switch (in->result) {
    case AMB_CALL_OK: begin_lead(e, out, in->stamp); break;
    case AMB_CALL_LOST: begin_check(e, out); break;
    case AMB_CALL_CONFLICT: become_follower(e, out, "somebody else was first"); break;
    default: become_follower(e, out, "the claim was refused");
    }
}

static void key_read(struct amb_election *e, const struct amb_election_input *in,
                     struct amb_election_output *out) {
    if (e->role != AMB_ROLE_CHECKING || in->claim != e->claim) return;
    if (in->result == AMB_CALL_OK && in->key.present && in->key.nonce == e->nonce)
        begin_lead(e, out, in->key.stamp);
    else if (in->result == AMB_CALL_OK || in->result == AMB_CALL_NOT_FOUND)
        /* A late claim can't be applied any more once its lease is dropped. */
        become_follower(e, out, "the claim was not carried out");
    else if (in->now - e->claim_at > e->ttl)
        become_follower(e, out, "the claim can't be checked in time");
}

static void lease_renewed(struct amb_election *e, const struct amb_election_input *in,
                          struct amb_election_output *out) {
    /* The answer may be to a renewal of an earlier lead, whose lease was another. */
    if (!e->renewing || in->lease != e->lease) return;
    e->renewing = false;
    if (!holds_lead(e)) return;
    if (in->result == AMB_CALL_OK) {
        e->renewed_at = e->renew_sent_at;
        update_role(e, out, in->now, &in->evidence);
    } else if (in->result == AMB_CALL_NOT_FOUND) {
        become_follower(e, out, "the lease has run out");
    }
}

static void key_changed(struct amb_election *e, const struct amb_election_key *key,
                        struct amb_election_output *out) {
    if (key->stamp < e->holder_stamp) return; /* older than what is known */
    e->key_known = true;
    if (key->stamp == e->holder_stamp && key->nonce == e->holder_nonce && !strcmp(key->member, e->holder))
        return;
    strcpy(e->holder, key->member);
    e->holder_stamp = key->stamp;
    e->holder_nonce = key->nonce;
    if (key->present) e->highest = key->stamp > e->highest ? key->stamp : e->highest;
    if (holds_lead(e) && key->stamp > e->term && (!key->present || key->nonce != e->nonce))
        become_follower(e, out, key->present ? "the leader key names another" : "the leader key is gone");
}

static void term_seen(struct amb_election *e, uint64_t term, struct amb_election_output *out) {
    if (term > e->highest) e->highest = term;
    if (holds_lead(e) && term > e->term) become_follower(e, out, "a higher term is known");
}

static void follower_tick(struct amb_election *e, amb_ms now, struct amb_election_output *out) {
    bool yields = now < e->shun_until && now - e->vacant_since < e->ttl;
    if (!e->key_known || now - e->claim_at <= e->ttl / TRIES_PER_LEASE || yields) return;
    if (!e->holder[0])
        begin_claim(e, out, now, 0, "nobody leads");
    else if (!strcmp(e->holder, e->member) && e->holder_stamp >= e->highest)
        /* Not when a higher term is known: then it is our news of the key that is old, as with a node that
         * the state service refuses alone, which would claim in vain four times a lease. */
        begin_claim(e, out, now, e->holder_stamp, "the key names this node's former self"); /* it is dead */
}

static void leader_tick(struct amb_election *e, const struct amb_election_input *in,
                        struct amb_election_output *out) {
    /* Only while the lease is sure: in an outage nobody else could be elected. */
    if (e->role == AMB_ROLE_LEADING && in->evidence.unreachable) {
        give_up_lead(e, out, in->now);
        return;
    }
    if (!e->renewing && in->now - e->renew_sent_at >= e->ttl / TRIES_PER_LEASE) {
        e->renewing = true;
        e->renew_sent_at = in->now;
        act(out, (struct amb_election_action){.type = AMB_ELECTION_EXTEND_LEASE, .lease = e->lease});
    }
    update_role(e, out, in->now, &in->evidence);
}

static void tick(struct amb_election *e, const struct amb_election_input *in,
                 struct amb_election_output *out) {
    amb_ms claiming = in->now - e->claim_at;
    if (e->holder[0]) e->vacant_since = in->now;
    switch (e->role) {
    case AMB_ROLE_STARTING: break;
    case AMB_ROLE_FOLLOWING: follower_tick(e, in->now, out); break;
    case AMB_ROLE_CLAIMING:
        if (claiming > e->ttl) become_follower(e, out, "the claim took too long");
        break;
    case AMB_ROLE_CHECKING:
        if (claiming > 2 * e->ttl) become_follower(e, out, "the claim can't be checked");
        break;
    default: leader_tick(e, in, out);
    }
}

void amb_election_step(struct amb_election *e, const struct amb_election_input *in,
                       struct amb_election_output *out) {
    memset(out, 0, sizeof *out);
    switch (in->event) {
    case AMB_ELECTION_STORE_READ:
        if (e->role == AMB_ROLE_STARTING)
            change_role(e, out, AMB_ROLE_FOLLOWING, "the state service has been read");
        break;
    case AMB_ELECTION_LEASE_GRANTED: lease_granted(e, in, out); break;
    case AMB_ELECTION_CLAIM_ANSWERED: claim_answered(e, in, out); break;
    case AMB_ELECTION_KEY_READ: key_read(e, in, out); break;
    case AMB_ELECTION_LEASE_RENEWED: lease_renewed(e, in, out); break;
    case AMB_ELECTION_KEY_CHANGED: key_changed(e, &in->key, out); break;
    case AMB_ELECTION_TERM_SEEN: term_seen(e, in->term, out); break;
    case AMB_ELECTION_TICK: tick(e, in, out); break;
    }
}
