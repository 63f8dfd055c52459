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

static const char *role_name(enum amb_election_role role) {
    static const char *const names[] = {"starting", "following", "claiming", "checking",
                                        "leading",  "unsure",    "fenced"};
    return names[role];
}

/* ---- what others ask ---- */

bool amb_election_has_leader_role(const struct amb_node *node) {
    return node->election.role >= AMB_ROLE_LEADER;
}

bool amb_election_may_act(const struct amb_node *node) {
    return amb_election_has_valid_lease(&node->election, amb_now());
}

bool amb_election_may_start_tasks(const struct amb_node *node) {
    return amb_election_may_act(node) && amb_election_has_recent_renewal(&node->election, amb_now());
}

/* Sending a worker to a node that is gone costs it seconds of its lease. */
static bool was_heard_recently(const struct amb_node *node, const char *member) {
    amb_ms patience = (amb_ms)(node->settings.heartbeat_s * 2500);
    for (uint32_t i = 0; i < node->peers.count; i++)
        if (!strcmp(node->peers.list[i].member, member))
            return amb_now() - node->peers.list[i].last_heard_at < patience;
    return false;
}

const char *amb_election_leader_name(const struct amb_node *node) {
    const struct amb_election *election = &node->election;
    if (amb_election_is_leader(node)) return node->settings.member;
    const char *name = election->holder[0] ? election->holder : NULL;
    uint64_t term = election->holder_revision;
    for (uint32_t i = 0; i < node->peers.count; i++) {
        const struct amb_peer *peer = &node->peers.list[i];
        if (peer->is_leader && peer->term > term) {
            name = peer->member;
            term = peer->term;
        }
    }
    if (!name || !strcmp(name, node->settings.member) || !was_heard_recently(node, name)) return NULL;
    return name;
}

/* ---- the core's inputs and actions ---- */

/* A leader that no worker reaches serves nobody while it holds the lease: when the workers come to another
 * node, or when no node can be reached either, somebody else should lead. */
static bool is_unreachable_by_agents(const struct amb_node *node, amb_ms now) {
    amb_ms silence = (amb_ms)(node->settings.heartbeat_s * 3000);
    if (node->election.role != AMB_ROLE_LEADER || now - node->fleet.last_heartbeat_at < silence ||
        now - node->controller.leader_since < silence || !node->controller.restored_at)
        return false;
    for (const struct amb_machine *machine = node->fleet.machines; machine; machine = machine->hh.next)
        if (machine->state == AMB_MACHINE_UP || machine->task_count)
            return amb_election_has_better_placed_peer(node, now);
    return false;
}

bool amb_election_is_leader(const struct amb_node *node) {
    amb_ms now = amb_now();
    const struct amb_election_evidence evidence = {.watch_sent_at = node->watch.last_read_sent_at,
                                                   .peers_queried_at =
                                                       amb_election_peers_confirmed_at(node, now)};
    return amb_election_may_answer_agents(&node->election, now, &evidence);
}

static struct amb_election_evidence current_evidence(const struct amb_node *node, amb_ms now) {
    return (struct amb_election_evidence){.watch_sent_at = node->watch.last_read_sent_at,
                                          .peers_queried_at = amb_election_peers_confirmed_at(node, now),
                                          .unreachable = is_unreachable_by_agents(node, now)};
}

/* A call to the state service under way. Its answer comes back with what it was for: the node may have given
 * that up, and begun anew, since. */
struct pending_call {
    struct amb_node *node;
    uint64_t claim_id, lease_id, nonce;
};

static void perform_action(struct amb_node *node, const struct amb_election_action *action,
                           const char *cause);

static void step_election(struct amb_node *node, struct amb_election_input input) {
    struct amb_election *election = &node->election;
    struct amb_election_output output;
    enum amb_election_role before = election->role;
    input.now = input.now ? input.now : amb_now();
    amb_election_step(election, &input, &output);
    if (election->role != before) {
        uint64_t term = amb_election_has_leader_role(node) ? election->term : election->highest_term;
        amb_info("election: %s -> %s, term %llu: %s", role_name(before), role_name(election->role),
                 (unsigned long long)term, output.cause);
        AMB_TRACE3(election_role, before, election->role, term);
    }
    for (uint32_t i = 0; i < output.action_count; i++) perform_action(node, &output.actions[i], output.cause);
}

/* The input that an answer makes; frees the call's memory. */
static struct amb_election_input take_answer(struct pending_call *call, enum amb_election_event event,
                                             int status) {
    struct amb_election_input input = {.event = event,
                                       .result = amb_store_call_result(status),
                                       .claim_id = call->claim_id,
                                       .lease_id = call->lease_id,
                                       .nonce = call->nonce};
    free(call);
    return input;
}

static struct amb_election_apply_key decode_leader_key(const cbor_item_t *value, uint64_t revision) {
    struct amb_election_apply_key key = {.present = value != NULL, .revision = revision};
    if (!value) return key;
    amb_cbor_copy_string(amb_cbor_map_get(value, "member"), key.member, sizeof key.member);
    amb_cbor_get_uint(amb_cbor_map_get(value, "nonce"), &key.nonce);
    return key;
}

static void on_lease_granted(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node = ((struct pending_call *)arg)->node;
    struct amb_election_input input = take_answer(arg, AMB_ELECTION_LEASE_GRANTED, status);
    if (input.result == AMB_CALL_OK && !amb_cbor_get_uint(amb_cbor_map_get(body, "tenure"), &input.lease_id))
        input.result = AMB_CALL_NO_ANSWER;
    step_election(node, input);
}

static void on_claim_answered(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node = ((struct pending_call *)arg)->node;
    struct amb_election_input input = take_answer(arg, AMB_ELECTION_CLAIM_ANSWERED, status);
    if (input.result == AMB_CALL_OK && !amb_cbor_get_uint(amb_cbor_map_get(body, "epoch"), &input.revision))
        input.result = AMB_CALL_NO_ANSWER;
    step_election(node, input);
}

static void on_key_read(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node = ((struct pending_call *)arg)->node;
    struct amb_election_input input = take_answer(arg, AMB_ELECTION_KEY_READ, status);
    uint64_t revision = 0;
    if (input.result == AMB_CALL_OK && amb_cbor_get_uint(amb_cbor_map_get(body, "stamp"), &revision))
        input.key = decode_leader_key(amb_cbor_map_get(body, "value"), revision);
    step_election(node, input);
}

static void on_lease_renewed(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node = ((struct pending_call *)arg)->node;
    struct amb_election_input input = take_answer(arg, AMB_ELECTION_LEASE_RENEWED, status);
    (void)body;
    input.now = amb_now();
    input.evidence = current_evidence(node, input.now);
    step_election(node, input);
}

static void commit_claim(struct amb_node *node, const struct amb_election_action *action,
                         struct pending_call *call) {
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    amb_txn_compare(&transaction, AMB_LEADER_KEY, action->expected_revision);
    amb_cbor_write_map(&value, 2);
    amb_cbor_write_string(&value, "member");
    amb_cbor_write_string(&value, node->settings.member);
    amb_cbor_write_string(&value, "nonce");
    amb_cbor_write_uint(&value, action->nonce);
    amb_txn_put(&transaction, AMB_LEADER_KEY, &value, action->lease_id);
    amb_buf_free(&value);
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_LEASE, on_claim_answered, call);
}

static struct pending_call *pending_call_new(struct amb_node *node,
                                             const struct amb_election_action *action) {
    struct pending_call *call = amb_alloc(sizeof *call);
    *call = (struct pending_call){
        .node = node, .claim_id = action->claim_id, .lease_id = action->lease_id, .nonce = action->nonce};
    return call;
}

static void perform_action(struct amb_node *node, const struct amb_election_action *action,
                           const char *cause) {
    struct amb_store *store = &node->store;
    struct pending_call *call;
    switch (action->type) {
    case AMB_ELECTION_GRANT_LEASE:
        call = pending_call_new(node, action);
        call->nonce = amb_nonce(); /* tells the key of this claim from all others */
        amb_store_grant_lease(store, node->election.ttl, on_lease_granted, call);
        break;
    case AMB_ELECTION_COMMIT_CLAIM: commit_claim(node, action, pending_call_new(node, action)); break;
    case AMB_ELECTION_READ_KEY:
        amb_store_get(store, AMB_LEADER_KEY, AMB_STORE_PRIORITY_LEASE, on_key_read,
                      pending_call_new(node, action));
        break;
    case AMB_ELECTION_RENEW_LEASE:
        amb_store_renew_lease(store, action->lease_id, on_lease_renewed, pending_call_new(node, action));
        break;
    case AMB_ELECTION_REVOKE_LEASE: amb_store_revoke_lease(store, action->lease_id); break;
    case AMB_ELECTION_LEADERSHIP_WON:
        amb_store_set_leadership(store, true);
        amb_event_post(node, &(struct amb_event){.type = AMB_EVENT_LEADERSHIP_GAINED});
        break;
    case AMB_ELECTION_LEADERSHIP_LOST:
        amb_store_set_leadership(store, false);
        amb_event_post(node, &(struct amb_event){.type = AMB_EVENT_LEADERSHIP_LOST, .cause = cause});
        break;
    }
}

/* ---- what others tell ---- */

void amb_election_observe_term(struct amb_node *node, uint64_t term, const char *source) {
    if (amb_election_has_leader_role(node) && term > node->election.term)
        amb_info("election: %s shows term %llu", source, (unsigned long long)term);
    step_election(node, (struct amb_election_input){.event = AMB_ELECTION_TERM_SEEN, .term = term});
}

void amb_election_apply_key(struct amb_node *node, const cbor_item_t *value, uint64_t revision) {
    struct amb_election_input input = {.event = AMB_ELECTION_KEY_CHANGED,
                                       .key = decode_leader_key(value, revision)};
    if (revision != node->election.holder_revision)
        amb_debug("election: leader key names '%s' at %llu", input.key.member, (unsigned long long)revision);
    step_election(node, input);
}

void amb_election_tick(struct amb_node *node, amb_ms now) {
    step_election(node, (struct amb_election_input){
                            .event = AMB_ELECTION_TICK, .now = now, .evidence = current_evidence(node, now)});
}

static void on_election_timer(void *arg) {
    struct amb_node *node = arg;
    amb_ms now = amb_now(), due = node->election_timer.at;
    bool renewed_before = node->election.renewal_pending;
    amb_timer_in(&node->election_timer, node->election.ttl / TICKS_PER_LEASE, on_election_timer, node);
    amb_election_tick(node, now);
    if (!renewed_before && node->election.renewal_pending) /* bench/waits.c reads this line */
        amb_debug("election: lease renewal sent %lld ms after it was due", (long long)(amb_now() - due));
}

void amb_election_start(struct amb_node *node) {
    step_election(node, (struct amb_election_input){.event = AMB_ELECTION_STORE_READ});
    if (!node->election_timer.position) on_election_timer(node);
}

/* ---- settings ---- */

static amb_ms leader_lease_ttl(const struct amb_node *node) {
    enum { SHORTEST = 100, LONGEST = 600000 }; /* what the state service allows */
    amb_ms ttl =
        amb_seconds_to_ms(node->options.leader_lease_share * amb_settings_lease_base_s(&node->settings));
    return ttl < SHORTEST ? SHORTEST : ttl > LONGEST ? LONGEST : ttl;
}

void amb_election_init(struct amb_node *node) {
    struct amb_election *election = &node->election;
    strcpy(election->member, node->settings.member);
    election->ttl = leader_lease_ttl(node);
    election->fence_after =
        (amb_ms)((node->settings.cancel_s - node->settings.agent_lease_s) * 1000 * FENCE_SHARE);
    election->yield_for = (amb_ms)(node->settings.agent_lease_s * 1000);
}

/* One renewal without an answer must not cost the lead: with calls given up after a report period of 4 s it
 * would have cost a lease of 3 s. */
amb_ms amb_election_call_timeout(const struct amb_node *node) {
    amb_ms third = node->election.ttl / 3, report = amb_seconds_to_ms(node->settings.heartbeat_s);
    return third < report ? third : report;
}
