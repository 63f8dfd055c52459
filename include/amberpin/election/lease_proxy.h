/* Lease proxies. When the network between two zones is cut, agents on the far side of the leader would lose
 * all their tasks with their lease. A node on their side that still reaches the key-value store may answer
 * their heartbeats for the leader: it gives the leader's fencing token, and no commands but to stop the tasks
 * of cancelled jobs. The leader must know, because the end of an agent's lease is one of its proofs that a
 * task is gone: so a proxy first writes a key, on condition of the leader's term and on a lease of its own,
 * and stops when it can't renew that lease in time. docs/safety.md has the reasoning. */
#ifndef AMBERPIN_LEASE_PROXY_H
#define AMBERPIN_LEASE_PROXY_H

#include "amberpin/base/loop.h"
#include "amberpin/config/settings.h"
#include "amberpin/model/model.h"

#include <cbor.h>

struct amb_node;

enum amb_lease_proxy_state {
    AMB_LEASE_PROXY_OFF,
    AMB_LEASE_PROXY_ACQUIRING, /* a lease was requested, or the key is being written */
    AMB_LEASE_PROXY_ACTIVE,    /* answers the agents of its own zone */
};

/* A node that was seen to be a proxy, as its key was last read. */
struct amb_known_proxy {
    char member[AMB_NAME_SIZE];
    int zone; /* of the catalogue; negative: of no zone that has a place there */
    uint64_t revision;
    bool present; /* the key stands */
    bool listed;  /* the key came up in the listing under way */
};

struct amb_lease_proxy {
    /* this node's own, for the leader of this term */
    enum amb_lease_proxy_state state;
    uint64_t lease_id, term;
    amb_ms stopped_at;
    amb_ms renewed_at; /* when the last renewal was sent that succeeded */
    amb_ms renewal_sent_at;
    bool renewal_pending;
    /* the other nodes' */
    struct amb_known_proxy known[AMB_PEERS_MAX + 1];
    uint32_t known_count;
    amb_ms zone_covered_at[AMB_ZONES_MAX]; /* when a proxy of the zone was last known of; 0: never */
};

/* Becomes a proxy, renews its lease or stops being one, as time passes. */
void amb_lease_proxy_tick(struct amb_node *node, amb_ms now);

/* Whether this node may answer the heartbeat as a proxy. */
bool amb_lease_proxy_may_answer(const struct amb_node *node, const struct amb_agent_heartbeat *heartbeat);

/* ---- the other nodes' proxies ---- */

/* The keys of all proxies are listed again: call before the first (complete: false) and after the last
 * (true), when those that did not come up are gone. */
void amb_lease_proxy_mark_listing(struct amb_node *node, bool complete);

/* A member's key was read or has changed; value NULL: it is gone. */
void amb_lease_proxy_apply_key(struct amb_node *node, const char *member, const cbor_item_t *value,
                               uint64_t revision);

/* Whether another node may be answering agents of this zone under the leader's fencing token. False if the
 * zone is unknown (negative). */
bool amb_lease_proxy_is_active_in_zone(const struct amb_node *node, int zone);

#endif
