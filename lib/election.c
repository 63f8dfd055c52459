#include "amberpin/log.h"
#include "amberpin/node.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char LEADER_KEY[] = "a/leader";

static const char *role_name(enum amb_role r) {
    static const char *const names[] = {"starting", "following", "claiming", "checking",
                                        "leading",  "unsure",    "mute"};
    return names[r];
}

static void set_role(struct amb_node *n, enum amb_role to, const char *cause) {
    struct amb_election *e = &n->election;
    if (e->role == to) return;
    amb_info("election: %s -> %s, term %llu: %s", role_name(e->role), role_name(to),
             (unsigned long long)(to >= AMB_ROLE_LEADING ? e->term : e->highest), cause);
    e->role = to;
}

bool amb_leads(const struct amb_node *n) {
    return n->election.role == AMB_ROLE_LEADING || n->election.role == AMB_ROLE_UNSURE;
}

bool amb_holds_lead(const struct amb_node *n) {
    return n->election.role >= AMB_ROLE_LEADING;
}

static amb_ms sure_until(const struct amb_election *e) {
    /* Counted from when the renewal was sent; less a tenth for drift and for work already under way. */
    return e->renewed_at + e->ttl - e->ttl / 10;
}

bool amb_may_start(const struct amb_node *n) {
    return n->election.role == AMB_ROLE_LEADING && amb_now() < sure_until(&n->election);
}

const char *amb_leader_name(const struct amb_node *n) {
    const struct amb_election *e = &n->election;
    if (amb_leads(n)) return n->set.member;
    const char *name = e->holder[0] ? e->holder : NULL;
    uint64_t term = e->holder_stamp;
    amb_ms now = amb_now();
    for (uint32_t i = 0; i < n->peers.count; i++) {
        const struct amb_peer *p = &n->peers.list[i];
        if (p->leading && p->term > term) {
            name = p->member;
            term = p->term;
        }
    }
    if (!name || !strcmp(name, n->set.member)) return NULL;
    /* Sending a worker to a node that is gone costs it seconds of its lease. */
    for (uint32_t i = 0; i < n->peers.count; i++)
        if (!strcmp(n->peers.list[i].member, name))
            return now - n->peers.list[i].heard_at < (amb_ms)(n->set.report_s * 2500) ? name : NULL;
    return NULL;
}

static void resign(struct amb_node *n, const char *cause) {
    struct amb_election *e = &n->election;
    bool led = e->role >= AMB_ROLE_LEADING;
    if (e->lease) amb_store_drop(&n->store, e->lease);
    e->lease = 0;
    set_role(n, AMB_ROLE_FOLLOWING, cause);
    amb_store_share(&n->store, false);
    if (led) amb_controller_stop(n, cause);
}

void amb_election_saw_term(struct amb_node *n, uint64_t term, const char *who) {
    struct amb_election *e = &n->election;
    if (term > e->highest) e->highest = term;
    if (e->role >= AMB_ROLE_LEADING && term > e->term) {
        amb_info("election: %s shows term %llu", who, (unsigned long long)term);
        resign(n, "a higher term is known");
    }
}

static void win(struct amb_node *n, uint64_t stamp) {
    struct amb_election *e = &n->election;
    /* The answer may come late, when another leads: whoever has told it that it knows of a newer term must
     * not answer machines under an older one (amb_peer_quiet). */
    if (stamp < e->highest) {
        resign(n, "the claim is older than a term that is known");
        return;
    }
    e->term = stamp;
    if (stamp > e->highest) e->highest = stamp;
    strcpy(e->holder, n->set.member);
    e->holder_stamp = stamp;
    e->holder_nonce = e->nonce;
    e->renewed_at = e->claim_at;
    e->renew_sent_at = e->claim_at;
    e->renewing = false;
    set_role(n, AMB_ROLE_LEADING, "the leader key is ours");
    amb_store_share(&n->store, true);
    amb_controller_lead(n);
}

static void checked(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *n = arg;
    struct amb_election *e = &n->election;
    uint64_t nonce = 0, stamp = 0;
    if (e->role != AMB_ROLE_CHECKING) return;
    if (status == 200 && amb_cbor_uint(amb_cbor_get(amb_cbor_get(body, "value"), "nonce"), &nonce) &&
        amb_cbor_uint(amb_cbor_get(body, "stamp"), &stamp) && nonce == e->nonce) {
        win(n, stamp);
    } else if (status == 200 || status == 404) {
        /* A late claim can't be applied any more once its lease is dropped. */
        resign(n, "the claim was not carried out");
    } else if (amb_now() - e->claim_at > e->ttl) {
        resign(n, "the claim can't be checked in time");
    }
}

static void claimed(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *n = arg;
    struct amb_election *e = &n->election;
    uint64_t stamp = 0;
    if (e->role != AMB_ROLE_CLAIMING) return;
    if (status == 200 && amb_cbor_uint(amb_cbor_get(body, "epoch"), &stamp)) {
        win(n, stamp);
    } else if (status == 0) {
        set_role(n, AMB_ROLE_CHECKING, "the claim got no answer");
        amb_store_get(&n->store, LEADER_KEY, AMB_URGENT_LEASE, checked, n);
    } else {
        resign(n, status == 409 ? "somebody else was first" : "the claim was refused");
    }
}

static void granted(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *n = arg;
    struct amb_election *e = &n->election;
    if (e->role != AMB_ROLE_CLAIMING) return;
    if (status != 200 || !amb_cbor_uint(amb_cbor_get(body, "tenure"), &e->lease)) {
        resign(n, "no lease to be had");
        return;
    }
    struct amb_txn t = {0};
    struct amb_buf v = {0};
    amb_txn_guard(&t, LEADER_KEY, e->expect);
    amb_w_map(&v, 2);
    amb_w_str(&v, "member");
    amb_w_str(&v, n->set.member);
    amb_w_str(&v, "nonce");
    amb_w_uint(&v, e->nonce);
    amb_txn_put(&t, LEADER_KEY, &v, e->lease);
    amb_buf_free(&v);
    amb_store_commit(&n->store, &t, AMB_URGENT_LEASE, claimed, n);
}

static void claim(struct amb_node *n, uint64_t expect, const char *cause) {
    struct amb_election *e = &n->election;
    set_role(n, AMB_ROLE_CLAIMING, cause);
    e->nonce = amb_nonce();
    e->expect = expect;
    e->lease = 0;
    e->claim_at = amb_now();
    amb_store_grant(&n->store, e->ttl, granted, n);
}

/* Leading, unsure or mute? */
static void weigh(struct amb_node *n, amb_ms now) {
    struct amb_election *e = &n->election;
    /* Another node may have promised that a cancelled task is gone within cancel_s, and a worker keeps a task
     * for lease_s after our last answer. So when neither news nor word from every peer comes (which would
     * tell of the cancellation, or of another leader), we stop in time for that: not much sooner, since when
     * a cut lasts 30 s every task that reports here hangs on the last seconds (docs/safety.md has the sum).
     */
    amb_ms own = e->renewed_at < n->jobs.fresh_sent_at ? e->renewed_at : n->jobs.fresh_sent_at;
    amb_ms word = amb_peer_confirmed(n, now);
    amb_ms hold = (amb_ms)((n->set.cancel_s - n->set.lease_s) * 1000 * 0.95);
    if (hold < e->ttl) hold = e->ttl;
    if (now - (word > own ? word : own) > hold)
        set_role(n, AMB_ROLE_MUTE, "neither news nor the peers' word that we still lead");
    else if (now >= sure_until(e))
        set_role(n, AMB_ROLE_UNSURE, "the lease could not be renewed in time");
    else
        set_role(n, AMB_ROLE_LEADING, "the lease is renewed");
}

static void renewed(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *n = arg;
    struct amb_election *e = &n->election;
    (void)body;
    if (!e->renewing) return;
    e->renewing = false;
    if (e->role < AMB_ROLE_LEADING) return;
    if (status == 200) {
        e->renewed_at = e->renew_sent_at;
        weigh(n, amb_now());
    } else if (status == 404) {
        resign(n, "the lease has run out");
    }
}

/* A leader that no worker reaches serves nobody while it holds the lease: when the workers come to another
 * node, or when no node can be reached either, somebody else should lead. */
static bool cut_off(struct amb_node *n, amb_ms now) {
    amb_ms silence = (amb_ms)(n->set.report_s * 3000);
    if (now - n->fleet.knocked_at < silence || now - n->ctl.leading_since < silence || !n->ctl.loaded_at)
        return false;
    for (const struct amb_machine *m = n->fleet.all; m; m = m->hh.next)
        if (m->state == AMB_MACHINE_UP || m->ntasks) return amb_peer_better_placed(n, now);
    return false;
}

void amb_election_tick(struct amb_node *n, amb_ms now) {
    struct amb_election *e = &n->election;
    if (e->holder[0]) e->vacant_since = now;
    bool yields = now < e->shun_until && now - e->vacant_since < e->ttl;
    if (e->role == AMB_ROLE_FOLLOWING && e->key_known && now - e->claim_at > e->ttl / 4 && !yields) {
        if (!e->holder[0])
            claim(n, 0, "nobody leads");
        else if (!strcmp(e->holder, n->set.member) && e->holder_stamp >= e->highest)
            /* Not when a higher term is known: then it is our news of the key that is old, as with a node
             * that the state service refuses alone, which would claim in vain four times a lease. */
            claim(n, e->holder_stamp, "the key names this node's former self"); /* which is dead */
    } else if (e->role == AMB_ROLE_CLAIMING && now - e->claim_at > e->ttl) {
        resign(n, "the claim took too long");
    } else if (e->role == AMB_ROLE_CHECKING && now - e->claim_at > 2 * e->ttl) {
        resign(n, "the claim can't be checked");
    }
    if (e->role < AMB_ROLE_LEADING) return;
    /* Only while the lease is sure: in an outage nobody else could be elected. */
    if (e->role == AMB_ROLE_LEADING && cut_off(n, now)) {
        e->shun_until = now + (amb_ms)(n->set.lease_s * 1000);
        e->vacant_since = now;
        e->holder[0] = 0;
        resign(n, "no worker reaches this node");
        return;
    }
    if (!e->renewing && now - e->renew_sent_at >= e->ttl / 4) {
        e->renewing = true;
        e->renew_sent_at = now;
        amb_store_extend(&n->store, e->lease, renewed, n);
    }
    weigh(n, now);
}

static void tick(void *arg) {
    struct amb_node *n = arg;
    amb_timer_in(&n->election.timer, n->election.ttl / 20, tick, n);
    amb_election_tick(n, amb_now());
}

void amb_election_key(struct amb_node *n, const cbor_item_t *value, uint64_t stamp) {
    struct amb_election *e = &n->election;
    if (stamp < e->holder_stamp) return; /* older than what is known */
    uint64_t nonce = 0;
    char member[AMB_NAME] = "";
    if (value) {
        amb_cbor_str(amb_cbor_get(value, "member"), member, sizeof member);
        amb_cbor_uint(amb_cbor_get(value, "nonce"), &nonce);
    }
    e->key_known = true;
    if (stamp == e->holder_stamp && nonce == e->holder_nonce && !strcmp(member, e->holder)) return;
    strcpy(e->holder, member);
    e->holder_stamp = stamp;
    e->holder_nonce = nonce;
    if (value && stamp > e->highest) e->highest = stamp;
    amb_debug("election: leader key names '%s' at %llu", member, (unsigned long long)stamp);
    if (e->role >= AMB_ROLE_LEADING && stamp > e->term && (!value || nonce != e->nonce))
        resign(n, value ? "the leader key names another" : "the leader key is gone");
}

void amb_election_ready(struct amb_node *n) {
    struct amb_election *e = &n->election;
    if (e->role == AMB_ROLE_STARTING) set_role(n, AMB_ROLE_FOLLOWING, "the state service has been read");
    if (!e->timer.slot) tick(n);
}

void amb_election_init(struct amb_node *n) {
    struct amb_election *e = &n->election;
    /* A lease longer than what a cancellation allows for serves nobody while its holder is dead: with
     * workers' leases of 22 s nothing was placed for 6.6 s, of the 10 s in which some work is to start. */
    double grace = n->set.cancel_s - n->set.lease_s;
    e->ttl = amb_secs(n->opt.leader_ttl * fmin(n->set.lease_s, grace > 0 ? grace / 2 : n->set.lease_s));
    if (e->ttl < 100) e->ttl = 100;
    if (e->ttl > 600000) e->ttl = 600000;
}

/* One renewal without an answer must not cost the lead: with calls given up after a report period of 4 s it
 * would have cost a lease of 3 s. */
amb_ms amb_election_patience(const struct amb_node *n) {
    amb_ms third = n->election.ttl / 3, report = amb_secs(n->set.report_s);
    return third < report ? third : report;
}
