#include "amberpin/election/lease_proxy.h"

#include "amberpin/base/log.h"
#include "amberpin/codec/election_records.h"
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/node.h"
#include "proxy_registry.h"

#include <stdio.h>
#include <string.h>

static const char KEY_PREFIX[] = "a/deputy/";

enum { RENEWALS_PER_LEASE = 4 };

/* ---- state ---- */

static const char *state_name(enum amb_lease_proxy_state state) {
    static const char *const names[] = {"off", "asking", "active"};
    return names[state];
}

static void set_state(struct amb_node *node, enum amb_lease_proxy_state new_state, const char *cause) {
    struct amb_lease_proxy *proxy = &node->lease_proxy;
    if (proxy->state == new_state) return;
    amb_info("lease proxy: %s -> %s for term %llu: %s", state_name(proxy->state), state_name(new_state),
             (unsigned long long)proxy->term, cause);
    proxy->state = new_state;
}

static void stop(struct amb_node *node, const char *cause) {
    struct amb_lease_proxy *proxy = &node->lease_proxy;
    if (proxy->lease_id) amb_store_revoke_lease(&node->store, proxy->lease_id);
    proxy->lease_id = 0;
    proxy->stopped_at = amb_now();
    set_state(node, AMB_LEASE_PROXY_OFF, cause);
}

static bool has_valid_lease(const struct amb_node *node, amb_ms now) {
    return now < node->lease_proxy.renewed_at + amb_election_safe_lease(node->election.ttl);
}

static void on_key_written(void *arg, int status, const struct amb_cbor_item *body) {
    struct amb_node *node = arg;
    (void)body;
    if (node->lease_proxy.state != AMB_LEASE_PROXY_ACQUIRING) return;
    if (amb_store_call_result(status) == AMB_CALL_OK)
        set_state(node, AMB_LEASE_PROXY_ACTIVE, "leader is unreachable, proxy key written");
    else
        stop(node, "proxy key could not be written");
}

static void write_key(struct amb_node *node) {
    const struct amb_lease_proxy *proxy = &node->lease_proxy;
    char key[sizeof KEY_PREFIX + AMB_NAME_SIZE];
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    snprintf(key, sizeof key, "%s%s", KEY_PREFIX, node->settings.member);
    amb_lease_proxy_record_encode(node->settings.zone, proxy->term, &value);
    amb_txn_compare(&transaction, AMB_LEADER_KEY, proxy->term);
    amb_txn_put(&transaction, key, &value, proxy->lease_id);
    amb_buf_free(&value);
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_LEASE, on_key_written, node);
}

static void on_lease_granted(void *arg, int status, const struct amb_cbor_item *body) {
    struct amb_node *node = arg;
    struct amb_lease_proxy *proxy = &node->lease_proxy;
    if (proxy->state != AMB_LEASE_PROXY_ACQUIRING) return;
    if (amb_store_lease_result(status, body, &proxy->lease_id) == AMB_CALL_OK)
        write_key(node);
    else
        stop(node, "state service granted no lease");
}

static void on_lease_renewed(void *arg, int status, const struct amb_cbor_item *body) {
    struct amb_node *node = arg;
    struct amb_lease_proxy *proxy = &node->lease_proxy;
    (void)body;
    proxy->renewal_pending = false;
    if (proxy->state != AMB_LEASE_PROXY_ACTIVE) return;
    enum amb_call_result result = amb_store_call_result(status);
    if (result == AMB_CALL_OK)
        proxy->renewed_at = proxy->renewal_sent_at;
    else if (result == AMB_CALL_NOT_FOUND)
        stop(node, "proxy lease expired");
}

/* ---- starting and stopping ---- */

static bool another_node_leads(const struct amb_node *node) {
    const struct amb_election *election = &node->election;
    return election->role == AMB_ROLE_FOLLOWER && election->holder[0] &&
           strcmp(election->holder, node->settings.member) != 0;
}

static bool watch_is_current(const struct amb_node *node, amb_ms now) {
    return now - node->watch.last_read_at < node->election.ttl;
}

static bool was_leader_heard(const struct amb_node *node, amb_ms now, amb_ms within) {
    for (uint32_t i = 0; i < node->peers.count; i++)
        if (!strcmp(node->peers.list[i].member, node->election.holder))
            return now - node->peers.list[i].last_heard_at < within;
    return true; /* the leader is not a known peer: do not act for it */
}

static amb_ms heartbeat_period(const struct amb_node *node) {
    return amb_seconds_to_ms(node->settings.heartbeat_s);
}

/* How long the leader must be silent before this node becomes its proxy. The period is not shorter than the
 * leader's lease, for which the leader key outlives a leader that has died, nor than three peer messages,
 * which are sent twice per heartbeat period. It is not longer either, because agents look for another node
 * after 5 s and have a lease to lose. */
static amb_ms leader_silence(const struct amb_node *node) {
    amb_ms three_messages = heartbeat_period(node) * 3 / 2;
    return node->election.ttl > three_messages ? node->election.ttl : three_messages;
}

static bool should_start(const struct amb_node *node, amb_ms now) {
    if (!another_node_leads(node) || !watch_is_current(node, now)) return false;
    if (now - node->lease_proxy.stopped_at < heartbeat_period(node)) return false;
    return !was_leader_heard(node, now, leader_silence(node));
}

static void start(struct amb_node *node, amb_ms now) {
    struct amb_lease_proxy *proxy = &node->lease_proxy;
    proxy->term = node->election.holder_revision;
    proxy->renewed_at = proxy->renewal_sent_at = now;
    proxy->renewal_pending = false;
    set_state(node, AMB_LEASE_PROXY_ACQUIRING, "no heartbeat from the leader, which still holds its lease");
    amb_store_grant_lease(&node->store, node->election.ttl, on_lease_granted, node);
}

/* Why this node must stop being a proxy; NULL: it need not. */
static const char *reason_to_stop(const struct amb_node *node, amb_ms now) {
    if (!another_node_leads(node) || node->election.holder_revision != node->lease_proxy.term)
        return "leadership has changed";
    if (was_leader_heard(node, now, heartbeat_period(node))) return "leader is reachable again";
    if (!has_valid_lease(node, now) || !watch_is_current(node, now))
        return "proxy lease not renewed in time, or watch not current";
    return NULL;
}

static void renew_if_due(struct amb_node *node, amb_ms now) {
    struct amb_lease_proxy *proxy = &node->lease_proxy;
    if (proxy->state != AMB_LEASE_PROXY_ACTIVE || proxy->renewal_pending) return;
    if (now - proxy->renewal_sent_at < node->election.ttl / RENEWALS_PER_LEASE) return;
    proxy->renewal_pending = true;
    proxy->renewal_sent_at = now;
    amb_store_renew_lease(&node->store, proxy->lease_id, on_lease_renewed, node);
}

void amb_lease_proxy_tick(struct amb_node *node, amb_ms now) {
    proxy_registry_refresh(&node->lease_proxy, now);
    if (node->lease_proxy.state == AMB_LEASE_PROXY_OFF) {
        if (should_start(node, now)) start(node, now);
        return;
    }
    const char *reason = reason_to_stop(node, now);
    if (reason)
        stop(node, reason);
    else
        renew_if_due(node, now);
}

bool amb_lease_proxy_may_answer(const struct amb_node *node, const struct amb_agent_heartbeat *heartbeat) {
    return node->lease_proxy.state == AMB_LEASE_PROXY_ACTIVE && has_valid_lease(node, amb_now()) &&
           node->election.highest_term <= node->lease_proxy.term &&
           !strcmp(heartbeat->zone, node->settings.zone) &&
           heartbeat->fencing_token <= node->lease_proxy.term;
}
