/* Lease proxies. When the network between two zones is partitioned, agents that cannot reach the leader would
 * lose their leases and with them all their tasks. A node on their side that still reaches the key-value
 * store may answer their heartbeats on the leader's behalf: it sends the leader's fencing token, and no
 * commands except to stop the tasks of cancelled jobs. The leader must know about this, because it takes the
 * end of an agent's lease as one of its proofs that a task is gone. So a proxy first writes a key in a
 * transaction that requires the leader's term, attached to a lease of its own, and it stops when it cannot
 * renew that lease in time. docs/safety.md explains why this is safe. */
#ifndef AMBERPIN_LEASE_PROXY_H
#define AMBERPIN_LEASE_PROXY_H

#include "amberpin/base/loop.h"
#include "amberpin/config/settings.h"
#include "amberpin/model/model.h"

#include "amberpin/codec/cbor_item.h"

struct amb_node;

enum amb_lease_proxy_state {
    AMB_LEASE_PROXY_OFF,
    AMB_LEASE_PROXY_ACQUIRING, /* a lease was requested, or the proxy key is being written */
    AMB_LEASE_PROXY_ACTIVE,    /* answers the agents of its own zone */
};

/* A node that is or was a proxy, according to the last state of its key. */
struct amb_known_proxy {
    char member[AMB_NAME_SIZE];
    int zone; /* index in the catalogue; negative: the catalogue has no entry for its zone */
    uint64_t revision;
    bool present; /* the key exists */
    bool listed;  /* the key was found by the listing in progress */
};

struct amb_lease_proxy {
    /* This node as a proxy for the leader of `term`. */
    enum amb_lease_proxy_state state;
    uint64_t lease_id, term;
    amb_ms stopped_at;
    amb_ms renewed_at; /* when the last successful renewal was sent */
    amb_ms renewal_sent_at;
    bool renewal_pending;
    /* Proxies on other nodes. */
    struct amb_known_proxy known[AMB_PEERS_MAX + 1];
    uint32_t known_count;
    amb_ms zone_covered_at[AMB_ZONES_MAX]; /* when a proxy of the zone was last known; 0: never */
};

/* Starts or stops the proxy of this node, or renews its lease, as is due at `now`. */
void amb_lease_proxy_tick(struct amb_node *node, amb_ms now);

/* Whether this node may answer the heartbeat as a lease proxy. */
bool amb_lease_proxy_may_answer(const struct amb_node *node, const struct amb_agent_heartbeat *heartbeat);

/* ---- proxies on other nodes ---- */

/* Marks a new listing of all proxy keys. Call this before the first key (complete: false) and after the last
 * one (complete: true), when keys that the listing did not contain count as removed. */
void amb_lease_proxy_mark_listing(struct amb_node *node, bool complete);

/* Call this when the proxy key of a member was read or has changed. value NULL: it was removed. */
void amb_lease_proxy_apply_key(struct amb_node *node, const char *member, const struct amb_cbor_item *value,
                               uint64_t revision);

/* Whether another node may be answering agents of this zone under the leader's fencing token. False if the
 * zone is unknown (negative). */
bool amb_lease_proxy_is_active_in_zone(const struct amb_node *node, int zone);

#endif
