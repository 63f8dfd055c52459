/* Deputies: a node keeps a cut-off zone's workers alive for a leader that can't be reached from there. */
#ifndef AMBERPIN_DEPUTY_H
#define AMBERPIN_DEPUTY_H

#include "amberpin/base/loop.h"
#include "amberpin/config/settings.h"
#include "amberpin/model/model.h"

#include <cbor.h>

struct amb_node;

enum amb_lease_proxy_state {
    AMB_LEASE_PROXY_OFF,
    AMB_LEASE_PROXY_ACQUIRING, /* lease asked for, or the key being written */
    AMB_LEASE_PROXY_ACTIVE, /* answers reports of its own zone with the leader's token, and starts nothing */
};

struct amb_lease_proxy {
    enum amb_lease_proxy_state state;
    uint64_t lease_id, term;
    amb_ms stopped_at, renewed_at, renewal_sent_at;
    bool renewal_pending;
    /* As the leader sees others: when a deputy of a zone was last known of. */
    struct {
        char member[AMB_NAME_SIZE];
        int zone;
        uint64_t stamp;
        bool present, seen;
    } known[AMB_PEERS_MAX + 1];
    uint32_t known_count;
    amb_ms zone_covered_at[AMB_ZONES_MAX];
};

void amb_lease_proxy_tick(struct amb_node *node, amb_ms now);
/* The deputies' keys are listed anew: before the first (over: false) and after the last. */
void amb_lease_proxy_mark_listing(struct amb_node *node, bool complete);
/* News of a deputy's key; value NULL: it is gone. */
void amb_lease_proxy_apply_key(struct amb_node *node, const char *member, const cbor_item_t *value,
                               uint64_t revision);
/* May this node answer the report as a deputy? */
bool amb_lease_proxy_may_answer(const struct amb_node *node, const struct amb_agent_heartbeat *heartbeat);
/* May somebody else be answering machines of this zone under our token? */
bool amb_lease_proxy_is_active_in_zone(const struct amb_node *node, int zone);

#endif
