/* Tracks which other nodes are lease proxies, by their keys in the key-value store, and when each zone last
 * had one. Until that time an agent of the zone may have been answered and may have kept its tasks. */
#include "proxy_registry.h"

#include "amberpin/base/log.h"
#include "amberpin/codec/election_records.h"
#include "amberpin/node/node.h"

#include <string.h>

/* If the proxy's key exists, its zone has been covered until `now`. */
static void mark_covered(struct amb_lease_proxy *proxy, const struct amb_known_proxy *known, amb_ms now) {
    if (known->present && known->zone >= 0) proxy->zone_covered_at[known->zone] = now;
}

void proxy_registry_refresh(struct amb_lease_proxy *proxy, amb_ms now) {
    for (uint32_t i = 0; i < proxy->known_count; i++) mark_covered(proxy, &proxy->known[i], now);
}

void amb_lease_proxy_mark_listing(struct amb_node *node, bool complete) {
    struct amb_lease_proxy *proxy = &node->lease_proxy;
    for (uint32_t i = 0; i < proxy->known_count; i++) {
        struct amb_known_proxy *known = &proxy->known[i];
        if (complete && !known->listed) known->present = false;
        known->listed = false;
    }
}

static struct amb_known_proxy *find(struct amb_lease_proxy *proxy, const char *member) {
    for (uint32_t i = 0; i < proxy->known_count; i++)
        if (!strcmp(proxy->known[i].member, member)) return &proxy->known[i];
    return NULL;
}

/* Returns NULL if the table is full or the name is too long for a member. */
static struct amb_known_proxy *add(struct amb_lease_proxy *proxy, const char *member) {
    if (proxy->known_count == AMB_PEERS_MAX + 1 || strlen(member) >= AMB_NAME_SIZE) return NULL;
    struct amb_known_proxy *known = &proxy->known[proxy->known_count++];
    strcpy(known->member, member);
    return known;
}

void amb_lease_proxy_apply_key(struct amb_node *node, const char *member, const struct amb_cbor_item *value,
                               uint64_t revision) {
    struct amb_lease_proxy *proxy = &node->lease_proxy;
    struct amb_known_proxy *known = find(proxy, member);
    if (!known && value) known = add(proxy, member);
    if (!known) return;
    known->listed = true;
    if (revision < known->revision) return;
    char zone[AMB_NAME_SIZE];
    amb_lease_proxy_record_decode(value, zone);
    mark_covered(proxy, known, amb_now());
    known->revision = revision;
    known->present = value != NULL;
    if (value) known->zone = amb_catalog_find_or_add_zone(&node->catalog, zone);
    mark_covered(proxy, known, amb_now());
    amb_info("lease proxy: %s %s for zone %s", member, value ? "is active" : "has stopped", zone);
}

bool amb_lease_proxy_is_active_in_zone(const struct amb_node *node, int zone) {
    if (zone < 0) return false;
    for (uint32_t i = 0; i < node->lease_proxy.known_count; i++) {
        const struct amb_known_proxy *known = &node->lease_proxy.known[i];
        if (known->present && known->zone == zone) return true;
    }
    return false;
}
