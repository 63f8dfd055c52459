/* When the network between two zones is cut, workers on the far side of the leader would lose all their tasks
 * with their lease. A node on their side that still reaches the state service may answer them in the leader's
 * name: it gives the leader's token, and no orders but to stop the tasks of cancelled jobs. The leader must
 * know, because the end of a worker's lease is one of its proofs that a task is gone: so a deputy first
 * writes a key, under a guard on the leader's term and on a lease of its own, and stops when it can't renew
 * that in time. */
#include "amberpin/base/log.h"
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/node.h"

#include <stdio.h>
#include <string.h>

static void set_state(struct amb_node *node, enum amb_lease_proxy_state new_state, const char *cause) {
    static const char *const names[] = {"off", "asking", "active"};
    struct amb_lease_proxy *proxy = &node->lease_proxy;
    if (proxy->state == new_state) return;
    amb_info("deputy: %s -> %s for term %llu: %s", names[proxy->state], names[new_state],
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
    const struct amb_election *election = &node->election;
    return now < node->lease_proxy.renewed_at + election->ttl - election->ttl / 10;
}

static void on_key_written(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node = arg;
    (void)body;
    if (node->lease_proxy.state != AMB_LEASE_PROXY_ACQUIRING) return;
    if (status == 200)
        set_state(node, AMB_LEASE_PROXY_ACTIVE, "the leader can't be reached from here");
    else
        stop(node, "the key could not be written");
}

static void on_lease_granted(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node = arg;
    struct amb_lease_proxy *proxy = &node->lease_proxy;
    if (proxy->state != AMB_LEASE_PROXY_ACQUIRING) return;
    if (status != 200 || !amb_cbor_get_uint(amb_cbor_map_get(body, "tenure"), &proxy->lease_id)) {
        stop(node, "no lease to be had");
        return;
    }
    char key[AMB_NAME_SIZE + 16];
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    snprintf(key, sizeof key, "a/deputy/%s", node->settings.member);
    amb_txn_compare(&transaction, AMB_LEADER_KEY, proxy->term);
    amb_cbor_write_map(&value, 2);
    amb_cbor_write_string(&value, "zone");
    amb_cbor_write_string(&value, node->settings.zone);
    amb_cbor_write_string(&value, "term");
    amb_cbor_write_uint(&value, proxy->term);
    amb_txn_put(&transaction, key, &value, proxy->lease_id);
    amb_buf_free(&value);
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_LEASE, on_key_written, node);
}

static void on_lease_renewed(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node = arg;
    struct amb_lease_proxy *proxy = &node->lease_proxy;
    (void)body;
    proxy->renewal_pending = false;
    if (proxy->state != AMB_LEASE_PROXY_ACTIVE) return;
    if (status == 200)
        proxy->renewed_at = proxy->renewal_sent_at;
    else if (status == 404)
        stop(node, "its lease has run out");
}

static bool was_leader_heard(const struct amb_node *node, amb_ms now, amb_ms within) {
    for (uint32_t i = 0; i < node->peers.count; i++)
        if (!strcmp(node->peers.list[i].member, node->election.holder))
            return now - node->peers.list[i].last_heard_at < within;
    return true; /* nobody we know of: nothing to stand in for */
}

void amb_lease_proxy_tick(struct amb_node *node, amb_ms now) {
    struct amb_lease_proxy *proxy = &node->lease_proxy;
    const struct amb_election *election = &node->election;
    for (uint32_t i = 0; i < proxy->known_count; i++)
        if (proxy->known[i].present && proxy->known[i].zone >= 0)
            proxy->zone_covered_at[proxy->known[i].zone] = now;
    amb_ms heartbeat_period = (amb_ms)(node->settings.heartbeat_s * 1000);
    bool another_leads = election->role == AMB_ROLE_FOLLOWER && election->holder[0] &&
                         strcmp(election->holder, node->settings.member);
    bool watch_is_current = now - node->watch.last_read_at < election->ttl;
    if (proxy->state == AMB_LEASE_PROXY_OFF) {
        /* The key outlives a leader that has died by its lease, and heartbeats come twice a report: silence
         * must last longer than either, but workers find another node after five seconds and have a lease to
         * lose.
         */
        amb_ms silence = election->ttl > heartbeat_period * 3 / 2 ? election->ttl : heartbeat_period * 3 / 2;
        if (!another_leads || !watch_is_current || now - proxy->stopped_at < heartbeat_period ||
            was_leader_heard(node, now, silence))
            return;
        proxy->term = election->holder_revision;
        proxy->renewed_at = proxy->renewal_sent_at = now;
        proxy->renewal_pending = false;
        set_state(node, AMB_LEASE_PROXY_ACQUIRING, "no word from the leader, which still holds its lease");
        amb_store_grant_lease(&node->store, election->ttl, on_lease_granted, node);
        return;
    }
    if (!another_leads || election->holder_revision != proxy->term)
        stop(node, "the lead has changed");
    else if (was_leader_heard(node, now, heartbeat_period))
        stop(node, "the leader can be reached again");
    else if (!has_valid_lease(node, now) || !watch_is_current)
        stop(node, "its lease can't be renewed in time");
    else if (proxy->state == AMB_LEASE_PROXY_ACTIVE && !proxy->renewal_pending &&
             now - proxy->renewal_sent_at >= election->ttl / 4) {
        proxy->renewal_pending = true;
        proxy->renewal_sent_at = now;
        amb_store_renew_lease(&node->store, proxy->lease_id, on_lease_renewed, node);
    }
}

bool amb_lease_proxy_may_answer(const struct amb_node *node, const struct amb_agent_heartbeat *heartbeat) {
    return node->lease_proxy.state == AMB_LEASE_PROXY_ACTIVE && has_valid_lease(node, amb_now()) &&
           node->election.highest_term <= node->lease_proxy.term &&
           !strcmp(heartbeat->zone, node->settings.zone) &&
           heartbeat->fencing_token <= node->lease_proxy.term;
}

/* The keys are listed anew: what is not among them has gone, unnoticed. */
void amb_lease_proxy_mark_listing(struct amb_node *node, bool complete) {
    struct amb_lease_proxy *proxy = &node->lease_proxy;
    for (uint32_t i = 0; i < proxy->known_count; i++) {
        if (complete && !proxy->known[i].seen) proxy->known[i].present = false;
        proxy->known[i].seen = false;
    }
}

void amb_lease_proxy_apply_key(struct amb_node *node, const char *member, const cbor_item_t *value,
                               uint64_t revision) {
    struct amb_lease_proxy *proxy = &node->lease_proxy;
    uint32_t i = 0;
    while (i < proxy->known_count && strcmp(proxy->known[i].member, member)) i++;
    if (i == proxy->known_count) {
        if (!value || proxy->known_count == AMB_PEERS_MAX + 1 || strlen(member) >= AMB_NAME_SIZE) return;
        strcpy(proxy->known[proxy->known_count++].member, member);
    }
    proxy->known[i].seen = true;
    if (revision < proxy->known[i].stamp) return;
    char zone[AMB_NAME_SIZE] = "";
    if (value) amb_cbor_copy_string(amb_cbor_map_get(value, "zone"), zone, sizeof zone);
    /* What was known until this moment counts until this moment. */
    if (proxy->known[i].present && proxy->known[i].zone >= 0)
        proxy->zone_covered_at[proxy->known[i].zone] = amb_now();
    proxy->known[i].stamp = revision;
    proxy->known[i].present = value != NULL;
    if (value) proxy->known[i].zone = amb_catalog_find_or_add_zone(&node->catalog, zone);
    if (value && proxy->known[i].zone >= 0) proxy->zone_covered_at[proxy->known[i].zone] = amb_now();
    amb_info("deputy: %s %s for zone %s", member, value ? "stands in" : "has stopped", zone);
}

bool amb_lease_proxy_is_active_in_zone(const struct amb_node *node, int zone) {
    for (uint32_t i = 0; i < node->lease_proxy.known_count; i++)
        if (node->lease_proxy.known[i].present && node->lease_proxy.known[i].zone == zone && zone >= 0)
            return true;
    return false;
}
