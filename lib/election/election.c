/* Connects the election's state machine to the key-value store, the timer and the node's events. */
#include "amberpin/election/election.h"

#include "amberpin/base/log.h"
#include "amberpin/base/trace.h"
#include "amberpin/codec/election_records.h"
#include "amberpin/codec/kvstore_messages.h"
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/node.h"
#include "internal.h"

#include <stdlib.h>
#include <string.h>

/* A leader without contact is fenced after this share of the difference between cancel_s and the agent lease.
 */
static const double FENCE_SHARE = 0.95;

enum {
    TICKS_PER_LEASE = 20,   /* ticks per time to live of the lease */
    CALLS_PER_LEASE = 3,    /* a call times out early enough for two more */
    MIN_LEASE_TTL_MS = 100, /* the store's limits for a lease */
    MAX_LEASE_TTL_MS = 600000,
};

/* ---- settings ---- */

static amb_ms leader_lease_ttl(const struct amb_node *node) {
    double base_s = amb_settings_lease_base_s(&node->settings);
    amb_ms ttl = amb_seconds_to_ms(node->options.leader_lease_share * base_s);
    if (ttl < MIN_LEASE_TTL_MS) return MIN_LEASE_TTL_MS;
    return ttl > MAX_LEASE_TTL_MS ? MAX_LEASE_TTL_MS : ttl;
}

void amb_election_init(struct amb_node *node) {
    struct amb_election *election = &node->election;
    strcpy(election->member, node->settings.member);
    election->ttl = leader_lease_ttl(node);
    election->fence_after =
        (amb_ms)((node->settings.cancel_s - node->settings.agent_lease_s) * 1000 * FENCE_SHARE);
    election->yield_duration = (amb_ms)(node->settings.agent_lease_s * 1000);
}

/* A single unanswered renewal must not end the leadership. A timeout of one heartbeat period is too long for
 * that: with a period of 4 s it would outlast a lease of 3 s. */
amb_ms amb_election_call_timeout(const struct amb_node *node) {
    amb_ms heartbeat_period = amb_seconds_to_ms(node->settings.heartbeat_s);
    return amb_earlier(node->election.ttl / CALLS_PER_LEASE, heartbeat_period);
}

/* ---- state machine ---- */

static void perform_action(struct amb_node *node, const struct amb_election_action *action,
                           const char *cause);

static void log_role_change(const struct amb_node *node, enum amb_election_role before, const char *cause) {
    const struct amb_election *election = &node->election;
    uint64_t term = amb_election_has_leader_role(node) ? election->term : election->highest_term;
    amb_info("election: %s -> %s, term %llu: %s", amb_election_role_name(before),
             amb_election_role_name(election->role), (unsigned long long)term, cause);
    AMB_TRACE3(election_role, before, election->role, term);
}

/* Applies the event and carries out the resulting actions. If input.now is 0, the current time is used. */
static void step_election(struct amb_node *node, struct amb_election_input input) {
    struct amb_election_output output;
    enum amb_election_role before = node->election.role;
    if (!input.now) input.now = amb_now();
    amb_election_step(&node->election, &input, &output);
    if (node->election.role != before) log_role_change(node, before, output.cause);
    for (uint32_t i = 0; i < output.action_count; i++) perform_action(node, &output.actions[i], output.cause);
}

/* ---- calls to the store ---- */

/* A call in flight. It keeps the ids of the claim and the lease that it was made for, since the node may have
 * abandoned that claim and begun another before the answer arrives. */
struct pending_call {
    struct amb_node *node;
    uint64_t claim_id, lease_id, nonce;
};

static struct pending_call *pending_call_new(struct amb_node *node,
                                             const struct amb_election_action *action) {
    struct pending_call *call = amb_alloc(sizeof *call);
    *call = (struct pending_call){
        .node = node, .claim_id = action->claim_id, .lease_id = action->lease_id, .nonce = action->nonce};
    return call;
}

/* Fills the input with the event and the call's ids, frees the call and returns its node. */
static struct amb_node *pending_call_take(struct pending_call *call, enum amb_election_event event,
                                          struct amb_election_input *input) {
    struct amb_node *node = call->node;
    *input = (struct amb_election_input){
        .event = event, .claim_id = call->claim_id, .lease_id = call->lease_id, .nonce = call->nonce};
    free(call);
    return node;
}

/* value NULL: the key does not exist. */
static struct amb_leader_key decode_leader_key(const struct amb_cbor_item *value, uint64_t revision) {
    struct amb_leader_record record;
    struct amb_leader_key key = {.present = value != NULL, .revision = revision};
    amb_leader_record_decode(value, &record);
    strcpy(key.member, record.member);
    key.nonce = record.nonce;
    return key;
}

static void on_lease_granted(void *arg, int status, const struct amb_cbor_item *body) {
    struct amb_election_input input;
    struct amb_node *node = pending_call_take(arg, AMB_ELECTION_LEASE_GRANTED, &input);
    input.result = amb_store_lease_result(status, body, &input.lease_id);
    step_election(node, input);
}

static void on_claim_answered(void *arg, int status, const struct amb_cbor_item *body) {
    struct amb_election_input input;
    struct amb_node *node = pending_call_take(arg, AMB_ELECTION_CLAIM_ANSWERED, &input);
    input.result = amb_store_commit_result(status, body, &input.revision);
    step_election(node, input);
}

static void on_key_read(void *arg, int status, const struct amb_cbor_item *body) {
    struct amb_election_input input;
    struct amb_kvstore_entry entry;
    struct amb_node *node = pending_call_take(arg, AMB_ELECTION_KEY_READ, &input);
    input.result = amb_store_call_result(status);
    if (input.result == AMB_CALL_OK && amb_kvstore_decode_entry(body, &entry))
        input.key = decode_leader_key(entry.value, entry.revision);
    step_election(node, input);
}

static void on_lease_renewed(void *arg, int status, const struct amb_cbor_item *body) {
    struct amb_election_input input;
    struct amb_node *node = pending_call_take(arg, AMB_ELECTION_LEASE_RENEWED, &input);
    (void)body;
    input.result = amb_store_call_result(status);
    input.now = amb_now();
    input.evidence = election_full_evidence(node, input.now);
    step_election(node, input);
}

static void grant_lease(struct amb_node *node, const struct amb_election_action *action) {
    struct pending_call *call = pending_call_new(node, action);
    call->nonce = amb_nonce(); /* distinguishes this claim's key from that of any other claim */
    amb_store_grant_lease(&node->store, node->election.ttl, on_lease_granted, call);
}

static void commit_claim(struct amb_node *node, const struct amb_election_action *action) {
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    amb_txn_compare(&transaction, AMB_LEADER_KEY, action->expected_revision);
    amb_leader_record_encode(node->settings.member, action->nonce, &value);
    amb_txn_put(&transaction, AMB_LEADER_KEY, &value, action->lease_id);
    amb_buf_free(&value);
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_LEASE, on_claim_answered,
                     pending_call_new(node, action));
}

static void read_leader_key(struct amb_node *node, const struct amb_election_action *action) {
    amb_store_get(&node->store, AMB_LEADER_KEY, AMB_STORE_PRIORITY_LEASE, on_key_read,
                  pending_call_new(node, action));
}

static void renew_lease(struct amb_node *node, const struct amb_election_action *action) {
    amb_store_renew_lease(&node->store, action->lease_id, on_lease_renewed, pending_call_new(node, action));
}

static void announce_leadership(struct amb_node *node, bool is_leader, const char *cause) {
    amb_store_set_leadership(&node->store, is_leader);
    amb_event_post(
        node, &(struct amb_event){.type = is_leader ? AMB_EVENT_LEADERSHIP_GAINED : AMB_EVENT_LEADERSHIP_LOST,
                                  .cause = is_leader ? NULL : cause});
}

static void perform_action(struct amb_node *node, const struct amb_election_action *action,
                           const char *cause) {
    switch (action->type) {
    case AMB_ELECTION_GRANT_LEASE: grant_lease(node, action); break;
    case AMB_ELECTION_COMMIT_CLAIM: commit_claim(node, action); break;
    case AMB_ELECTION_READ_KEY: read_leader_key(node, action); break;
    case AMB_ELECTION_RENEW_LEASE: renew_lease(node, action); break;
    case AMB_ELECTION_REVOKE_LEASE: amb_store_revoke_lease(&node->store, action->lease_id); break;
    case AMB_ELECTION_LEADERSHIP_WON: announce_leadership(node, true, cause); break;
    case AMB_ELECTION_LEADERSHIP_LOST: announce_leadership(node, false, cause); break;
    }
}

/* ---- events from other modules ---- */

void amb_election_observe_term(struct amb_node *node, uint64_t term, const char *source) {
    if (amb_election_has_leader_role(node) && term > node->election.term)
        amb_info("election: %s reports higher term %llu", source, (unsigned long long)term);
    step_election(node, (struct amb_election_input){.event = AMB_ELECTION_TERM_SEEN, .term = term});
}

void amb_election_apply_key(struct amb_node *node, const struct amb_cbor_item *value, uint64_t revision) {
    struct amb_election_input input = {.event = AMB_ELECTION_KEY_CHANGED,
                                       .key = decode_leader_key(value, revision)};
    if (revision != node->election.holder_revision)
        amb_debug("election: leader key held by '%s' at revision %llu", input.key.member,
                  (unsigned long long)revision);
    step_election(node, input);
}

void amb_election_tick(struct amb_node *node, amb_ms now) {
    step_election(node, (struct amb_election_input){.event = AMB_ELECTION_TICK,
                                                    .now = now,
                                                    .evidence = election_full_evidence(node, now)});
}

static void on_election_timer(void *arg) {
    struct amb_node *node = arg;
    amb_ms now = amb_now(), due = node->election_timer.at;
    bool was_renewal_pending = node->election.renewal_pending;
    amb_timer_set_after(&node->election_timer, node->election.ttl / TICKS_PER_LEASE, on_election_timer, node);
    amb_election_tick(node, now);
    if (!was_renewal_pending && node->election.renewal_pending) /* bench/waits.c parses this line */
        amb_debug("election: lease renewal sent %lld ms after it was due", (long long)(amb_now() - due));
}

void amb_election_start(struct amb_node *node) {
    step_election(node, (struct amb_election_input){.event = AMB_ELECTION_STORE_READ});
    if (!node->election_timer.position) on_election_timer(node);
}
