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

static void set_state(struct amb_node *node, enum amb_deputy_state to, const char *cause) {
    static const char *const names[] = {"off", "asking", "active"};
    struct amb_deputy *deputy = &node->deputy;
    if (deputy->state == to) return;
    amb_info("deputy: %s -> %s for term %llu: %s", names[deputy->state], names[to],
             (unsigned long long)deputy->term, cause);
    deputy->state = to;
}

static void stop(struct amb_node *node, const char *cause) {
    struct amb_deputy *deputy = &node->deputy;
    if (deputy->lease) amb_store_drop(&node->store, deputy->lease);
    deputy->lease = 0;
    deputy->since = amb_now();
    set_state(node, AMB_DEPUTY_OFF, cause);
}

static bool sure(const struct amb_node *node, amb_ms now) {
    const struct amb_election *election = &node->election;
    return now < node->deputy.renewed_at + election->ttl - election->ttl / 10;
}

static void written(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node = arg;
    (void)body;
    if (node->deputy.state != AMB_DEPUTY_ASKING) return;
    if (status == 200)
        set_state(node, AMB_DEPUTY_ACTIVE, "the leader can't be reached from here");
    else
        stop(node, "the key could not be written");
}

static void granted(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node = arg;
    struct amb_deputy *deputy = &node->deputy;
    if (deputy->state != AMB_DEPUTY_ASKING) return;
    if (status != 200 || !amb_cbor_uint(amb_cbor_get(body, "tenure"), &deputy->lease)) {
        stop(node, "no lease to be had");
        return;
    }
    char key[AMB_NAME + 16];
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    snprintf(key, sizeof key, "a/deputy/%s", node->set.member);
    amb_txn_guard(&transaction, AMB_LEADER_KEY, deputy->term);
    amb_w_map(&value, 2);
    amb_w_str(&value, "zone");
    amb_w_str(&value, node->set.zone);
    amb_w_str(&value, "term");
    amb_w_uint(&value, deputy->term);
    amb_txn_put(&transaction, key, &value, deputy->lease);
    amb_buf_free(&value);
    amb_store_commit(&node->store, &transaction, AMB_URGENT_LEASE, written, node);
}

static void renewed(void *arg, int status, const cbor_item_t *body) {
    struct amb_node *node = arg;
    struct amb_deputy *deputy = &node->deputy;
    (void)body;
    deputy->renewing = false;
    if (deputy->state != AMB_DEPUTY_ACTIVE) return;
    if (status == 200)
        deputy->renewed_at = deputy->renew_sent_at;
    else if (status == 404)
        stop(node, "its lease has run out");
}

static bool leader_heard(const struct amb_node *node, amb_ms now, amb_ms within) {
    for (uint32_t i = 0; i < node->peers.count; i++)
        if (!strcmp(node->peers.list[i].member, node->election.holder))
            return now - node->peers.list[i].heard_at < within;
    return true; /* nobody we know of: nothing to stand in for */
}

void amb_deputy_tick(struct amb_node *node, amb_ms now) {
    struct amb_deputy *deputy = &node->deputy;
    const struct amb_election *election = &node->election;
    for (uint32_t i = 0; i < deputy->nknown; i++)
        if (deputy->known[i].present && deputy->known[i].zone >= 0)
            deputy->zone_at[deputy->known[i].zone] = now;
    amb_ms report = (amb_ms)(node->set.report_s * 1000);
    bool leads_elsewhere = election->role == AMB_ROLE_FOLLOWING && election->holder[0] &&
                           strcmp(election->holder, node->set.member);
    bool fresh = now - node->jobs.fresh_at < election->ttl;
    if (deputy->state == AMB_DEPUTY_OFF) {
        /* The key outlives a leader that has died by its lease, and heartbeats come twice a report: silence
         * must last longer than either, but workers find another node after five seconds and have a lease to
         * lose.
         */
        amb_ms silence = election->ttl > report * 3 / 2 ? election->ttl : report * 3 / 2;
        if (!leads_elsewhere || !fresh || now - deputy->since < report || leader_heard(node, now, silence))
            return;
        deputy->term = election->holder_stamp;
        deputy->renewed_at = deputy->renew_sent_at = now;
        deputy->renewing = false;
        set_state(node, AMB_DEPUTY_ASKING, "no word from the leader, which still holds its lease");
        amb_store_grant(&node->store, election->ttl, granted, node);
        return;
    }
    if (!leads_elsewhere || election->holder_stamp != deputy->term)
        stop(node, "the lead has changed");
    else if (leader_heard(node, now, report))
        stop(node, "the leader can be reached again");
    else if (!sure(node, now) || !fresh)
        stop(node, "its lease can't be renewed in time");
    else if (deputy->state == AMB_DEPUTY_ACTIVE && !deputy->renewing &&
             now - deputy->renew_sent_at >= election->ttl / 4) {
        deputy->renewing = true;
        deputy->renew_sent_at = now;
        amb_store_extend(&node->store, deputy->lease, renewed, node);
    }
}

bool amb_deputy_answers(const struct amb_node *node, const struct amb_report *heartbeat) {
    return node->deputy.state == AMB_DEPUTY_ACTIVE && sure(node, amb_now()) &&
           node->election.highest <= node->deputy.term && !strcmp(heartbeat->zone, node->set.zone) &&
           heartbeat->token <= node->deputy.term;
}

/* The keys are listed anew: what is not among them has gone, unnoticed. */
void amb_deputy_listing(struct amb_node *node, bool over) {
    struct amb_deputy *deputy = &node->deputy;
    for (uint32_t i = 0; i < deputy->nknown; i++) {
        if (over && !deputy->known[i].seen) deputy->known[i].present = false;
        deputy->known[i].seen = false;
    }
}

void amb_deputy_key(struct amb_node *node, const char *member, const cbor_item_t *value, uint64_t stamp) {
    struct amb_deputy *deputy = &node->deputy;
    uint32_t i = 0;
    while (i < deputy->nknown && strcmp(deputy->known[i].member, member)) i++;
    if (i == deputy->nknown) {
        if (!value || deputy->nknown == AMB_PEERS + 1 || strlen(member) >= AMB_NAME) return;
        strcpy(deputy->known[deputy->nknown++].member, member);
    }
    deputy->known[i].seen = true;
    if (stamp < deputy->known[i].stamp) return;
    char zone[AMB_NAME] = "";
    if (value) amb_cbor_str(amb_cbor_get(value, "zone"), zone, sizeof zone);
    /* What was known until this moment counts until this moment. */
    if (deputy->known[i].present && deputy->known[i].zone >= 0)
        deputy->zone_at[deputy->known[i].zone] = amb_now();
    deputy->known[i].stamp = stamp;
    deputy->known[i].present = value != NULL;
    if (value) deputy->known[i].zone = amb_catalog_zone(&node->catalog, zone);
    if (value && deputy->known[i].zone >= 0) deputy->zone_at[deputy->known[i].zone] = amb_now();
    amb_info("deputy: %s %s for zone %s", member, value ? "stands in" : "has stopped", zone);
}

bool amb_deputy_in_zone(const struct amb_node *node, int zone) {
    for (uint32_t i = 0; i < node->deputy.nknown; i++)
        if (node->deputy.known[i].present && node->deputy.known[i].zone == zone && zone >= 0) return true;
    return false;
}
