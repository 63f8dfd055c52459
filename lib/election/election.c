#include "amberpin/election/election.h"

#include "amberpin/base/log.h"
#include "amberpin/base/trace.h"
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/node.h"

#include <stdlib.h>
#include <string.h>

/* Of the time that a cancellation leaves after a worker's lease, what a leader without news may use. */
static const double FENCE_SHARE = 0.95;
/* Lease checks and renewals: ticks within a lease. */
enum { TICKS_PER_LEASE = 20 };

static const char *role_name(enum amb_role r) {
    static const char *const names[] = {"starting", "following", "claiming", "checking",
                                        "leading",  "unsure",    "fenced"};
    return names[r];
}

/* ---- what others ask ---- */

bool amb_holds_lead(const struct amb_node *node) {
    return node->election.role >= AMB_ROLE_LEADING;
}

bool amb_may_start(const struct amb_node *node) {
    return amb_election_sure(&node->election, amb_now());
}

bool amb_may_order_start(const struct amb_node *node) {
    return amb_may_start(node) && amb_election_in_touch(&node->election, amb_now());
}

/* Sending a worker to a node that is gone costs it seconds of its lease. */
static bool heard_lately(const struct amb_node *node, const char *member) {
    amb_ms patience = (amb_ms)(node->set.report_s * 2500);
    for (uint32_t i = 0; i < node->peers.count; i++)
        if (!strcmp(node->peers.list[i].member, member))
            return amb_now() - node->peers.list[i].heard_at < patience;
    return false;
}

const char *amb_leader_name(const struct amb_node *node) {
    const struct amb_election *election = &node->election;
    if (amb_leads(node)) return node->set.member;
    const char *name = election->holder[0] ? election->holder : NULL;
    uint64_t term = election->holder_stamp;
    for (uint32_t i = 0; i < node->peers.count; i++) {
        const struct amb_peer *peer = &node->peers.list[i];
        if (peer->leading && peer->term > term) {
            name = peer->member;
            term = peer->term;
        }
    }
    if (!name || !strcmp(name, node->set.member) || !heard_lately(node, name)) return NULL;
    return name;
}

/* ---- the core's inputs and actions ---- */

/* A leader that no worker reaches serves nobody while it holds the lease: when the workers come to another
 * node, or when no node can be reached either, somebody else should lead. */
static bool unreachable(const struct amb_node *node, amb_ms now) {
    amb_ms silence = (amb_ms)(node->set.report_s * 3000);
    if (node->election.role != AMB_ROLE_LEADING || now - node->fleet.last_report_at < silence ||
        now - node->ctl.leading_since < silence || !node->ctl.loaded_at)
        return false;
    for (const struct amb_machine *machine = node->fleet.all; machine; machine = machine->hh.next)
        if (machine->state == AMB_MACHINE_UP || machine->ntasks) return amb_peer_better_placed(node, now);
    return false;
}

bool amb_leads(const struct amb_node *node) {
    amb_ms now = amb_now();
    const struct amb_election_evidence heard = {.news_asked_at = node->jobs.fresh_sent_at,
                                                .peers_asked_at = amb_peer_confirmed(node, now)};
    return amb_election_answers(&node->election, now, &heard);
}

static struct amb_election_evidence evidence(const struct amb_node *node, amb_ms now) {
    return (struct amb_election_evidence){.news_asked_at = node->jobs.fresh_sent_at,
                                          .peers_asked_at = amb_peer_confirmed(node, now),
                                          .unreachable = unreachable(node, now)};
}

/* A call to the state service under way. Its answer comes back with what it was for: the node may have given
 * that up, and begun anew, since. */
struct election_call {
    struct amb_node *node;
    uint64_t claim, lease, nonce;
};

static void perform(struct amb_node *node, const struct amb_election_action *action, const char *cause);

static void step(struct amb_node *node, struct amb_election_input in) {
    struct amb_election *election = &node->election;
    struct amb_election_output out;
    enum amb_role before = election->role;
    in.now = in.now ? in.now : amb_now();
    amb_election_step(election, &in, &out);
    if (election->role != before) {
        uint64_t term = amb_holds_lead(node) ? election->term : election->highest;
        amb_info("election: %s -> %s, term %llu: %s", role_name(before), role_name(election->role),
                 (unsigned long long)term, out.cause);
        AMB_TRACE3(election_role, before, election->role, term);
    }
    for (uint32_t i = 0; i < out.count; i++) perform(node, &out.actions[i], out.cause);
}

/* The input that an answer makes; frees the call's memory. */
static struct amb_election_input answered(struct election_call *call, enum amb_election_event event,
                                          int status) {
    struct amb_election_input in = {.event = event,
                                    .result = amb_store_result(status),
                                    .claim = call->claim,
                                    .lease = call->lease,
                                    .nonce = call->nonce};
    free(call);
    return in;
}

static struct amb_election_key key_of(const cbor_item_t *value, uint64_t stamp) {
    struct amb_election_key key = {.present = value != NULL, .stamp = stamp};
    if (!value) return key;
    amb_cbor_str(amb_cbor_get(value, "member"), key.member, sizeof key.member);
    amb_cbor_uint(amb_cbor_get(value, "nonce"), &key.nonce);
    return key;
}

static void lease_granted(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node = ((struct election_call *)arg)->node;
    struct amb_election_input in = answered(arg, AMB_ELECTION_LEASE_GRANTED, status);
    if (in.result == AMB_CALL_OK && !amb_cbor_uint(amb_cbor_get(body, "tenure"), &in.lease))
        in.result = AMB_CALL_LOST;
    step(node, in);
}

static void claim_answered(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node = ((struct election_call *)arg)->node;
    struct amb_election_input in = answered(arg, AMB_ELECTION_CLAIM_ANSWERED, status);
    if (in.result == AMB_CALL_OK && !amb_cbor_uint(amb_cbor_get(body, "epoch"), &in.stamp))
        in.result = AMB_CALL_LOST;
    step(node, in);
}

static void key_read(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node = ((struct election_call *)arg)->node;
    struct amb_election_input in = answered(arg, AMB_ELECTION_KEY_READ, status);
    uint64_t stamp = 0;
    if (in.result == AMB_CALL_OK && amb_cbor_uint(amb_cbor_get(body, "stamp"), &stamp))
        in.key = key_of(amb_cbor_get(body, "value"), stamp);
    step(node, in);
}

static void lease_renewed(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node = ((struct election_call *)arg)->node;
    struct amb_election_input in = answered(arg, AMB_ELECTION_LEASE_RENEWED, status);
    (void)body;
    in.now = amb_now();
    in.evidence = evidence(node, in.now);
    step(node, in);
}

static void commit_claim(struct amb_node *node, const struct amb_election_action *action,
                         struct election_call *call) {
    struct amb_txn transaction = {0};
    struct amb_buf v = {0};
    amb_txn_guard(&transaction, AMB_LEADER_KEY, action->expect);
    amb_w_map(&v, 2);
    amb_w_str(&v, "member");
    amb_w_str(&v, node->set.member);
    amb_w_str(&v, "nonce");
    amb_w_uint(&v, action->nonce);
    amb_txn_put(&transaction, AMB_LEADER_KEY, &v, action->lease);
    amb_buf_free(&v);
    amb_store_commit(&node->store, &transaction, AMB_URGENT_LEASE, claim_answered, call);
}

static struct election_call *call_for(struct amb_node *node, const struct amb_election_action *action) {
    struct election_call *call = amb_alloc(sizeof *call);
    *call = (struct election_call){
        .node = node, .claim = action->claim, .lease = action->lease, .nonce = action->nonce};
    return call;
}

static void perform(struct amb_node *node, const struct amb_election_action *action, const char *cause) {
    struct amb_store *store = &node->store;
    struct election_call *call;
    switch (action->type) {
    case AMB_ELECTION_GRANT_LEASE:
        call = call_for(node, action);
        call->nonce = amb_nonce(); /* tells the key of this claim from all others */
        amb_store_grant(store, node->election.ttl, lease_granted, call);
        break;
    case AMB_ELECTION_COMMIT_CLAIM: commit_claim(node, action, call_for(node, action)); break;
    case AMB_ELECTION_READ_KEY:
        amb_store_get(store, AMB_LEADER_KEY, AMB_URGENT_LEASE, key_read, call_for(node, action));
        break;
    case AMB_ELECTION_EXTEND_LEASE:
        amb_store_extend(store, action->lease, lease_renewed, call_for(node, action));
        break;
    case AMB_ELECTION_DROP_LEASE: amb_store_drop(store, action->lease); break;
    case AMB_ELECTION_LEAD_WON:
        amb_store_share(store, true);
        amb_event_post(node, &(struct amb_event){.type = AMB_EVENT_LEAD_WON});
        break;
    case AMB_ELECTION_LEAD_LOST:
        amb_store_share(store, false);
        amb_event_post(node, &(struct amb_event){.type = AMB_EVENT_LEAD_LOST, .cause = cause});
        break;
    }
}

/* ---- what others tell ---- */

void amb_election_saw_term(struct amb_node *node, uint64_t term, const char *who) {
    if (amb_holds_lead(node) && term > node->election.term)
        amb_info("election: %s shows term %llu", who, (unsigned long long)term);
    step(node, (struct amb_election_input){.event = AMB_ELECTION_TERM_SEEN, .term = term});
}

void amb_election_key(struct amb_node *node, const cbor_item_t *value, uint64_t stamp) {
    struct amb_election_input in = {.event = AMB_ELECTION_KEY_CHANGED, .key = key_of(value, stamp)};
    if (stamp != node->election.holder_stamp)
        amb_debug("election: leader key names '%s' at %llu", in.key.member, (unsigned long long)stamp);
    step(node, in);
}

void amb_election_tick(struct amb_node *node, amb_ms now) {
    step(node, (struct amb_election_input){
                   .event = AMB_ELECTION_TICK, .now = now, .evidence = evidence(node, now)});
}

static void tick(void *arg) {
    struct amb_node *node = arg;
    amb_ms now = amb_now(), due = node->election_timer.at;
    bool renewed_before = node->election.renewing;
    amb_timer_in(&node->election_timer, node->election.ttl / TICKS_PER_LEASE, tick, node);
    amb_election_tick(node, now);
    if (!renewed_before && node->election.renewing) /* bench/waits.c reads this line */
        amb_debug("election: lease renewal sent %lld ms after it was due", (long long)(amb_now() - due));
}

void amb_election_ready(struct amb_node *node) {
    step(node, (struct amb_election_input){.event = AMB_ELECTION_STORE_READ});
    if (!node->election_timer.slot) tick(node);
}

/* ---- settings ---- */

static amb_ms leader_ttl(const struct amb_node *node) {
    enum { SHORTEST = 100, LONGEST = 600000 }; /* what the state service allows */
    amb_ms ttl = amb_secs(node->opt.leader_ttl * amb_settings_lease_base(&node->set));
    return ttl < SHORTEST ? SHORTEST : ttl > LONGEST ? LONGEST : ttl;
}

void amb_election_init(struct amb_node *node) {
    struct amb_election *election = &node->election;
    strcpy(election->member, node->set.member);
    election->ttl = leader_ttl(node);
    election->fence_after = (amb_ms)((node->set.cancel_s - node->set.lease_s) * 1000 * FENCE_SHARE);
    election->shun_for = (amb_ms)(node->set.lease_s * 1000);
}

/* One renewal without an answer must not cost the lead: with calls given up after a report period of 4 s it
 * would have cost a lease of 3 s. */
amb_ms amb_election_patience(const struct amb_node *node) {
    amb_ms third = node->election.ttl / 3, report = amb_secs(node->set.report_s);
    return third < report ? third : report;
}
