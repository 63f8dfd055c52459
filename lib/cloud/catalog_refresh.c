#include "catalog_refresh.h"

#include "amberpin/base/log.h"
#include "amberpin/cloud/cloud_calls.h"
#include "amberpin/codec/cloud_messages.h"
#include "amberpin/codec/messages.h"
#include "amberpin/node/node.h"

#include <stdlib.h>

/* The age at which the leader reads the catalogue again, in agent leases. */
static const double REFRESH_LEASES = 6;
/* The time between requests while the catalogue is unknown, in heartbeat periods. */
static const double RETRY_HEARTBEATS = 0.5;

static void add_type(struct amb_node *node, const struct amb_machine_type *type) {
    int index = amb_catalog_find_type(&node->catalog, type->name);
    if (index < 0 && node->catalog.type_count < AMB_MACHINE_TYPES_MAX)
        index = (int)node->catalog.type_count++;
    if (index < 0) {
        amb_error("catalogue: more than %d machine types: %s is ignored", AMB_MACHINE_TYPES_MAX, type->name);
        return;
    }
    node->catalog.types[index] = *type;
    for (uint32_t zone = 0; zone < type->zone_count; zone++)
        amb_catalog_find_or_add_zone(&node->catalog, type->zones[zone]);
    node->cloud.catalog_known = true;
}

static void handle_catalog(void *arg, int status, const char *body, size_t body_size) {
    struct amb_cloud_call *call = arg;
    struct amb_node *node = call->node;
    free(call);
    amb_cloud_handle_status(node, status);
    const struct amb_cbor_item *item = status == 200 ? amb_cbor_parse(body, body_size) : NULL;
    struct amb_cbor_cursor types = amb_cbor_list_begin(amb_codec_catalog_types(item));
    const struct amb_cbor_item *entry;
    while ((entry = amb_cbor_next(&types)) != NULL) {
        struct amb_machine_type type;
        if (amb_codec_decode_machine_type(entry, &type)) add_type(node, &type);
    }
}

static bool is_due(const struct amb_node *node, amb_ms now) {
    const struct amb_cloud *cloud = &node->cloud;
    double interval_s = cloud->catalog_known ? node->settings.agent_lease_s * REFRESH_LEASES
                                             : node->settings.heartbeat_s * RETRY_HEARTBEATS;
    if (cloud->catalog_known && !amb_election_is_leader(node)) return false;
    return !cloud->catalog_requested_at || now - cloud->catalog_requested_at > amb_seconds_to_ms(interval_s);
}

void amb_cloud_catalog_tick(struct amb_node *node, amb_ms now) {
    if (!is_due(node, now) || !amb_cloud_take_token(node, now)) return;
    node->cloud.catalog_requested_at = now;
    amb_cloud_get(node, AMB_CLOUD_CATALOG_PATH, handle_catalog, amb_cloud_call_new(node));
}
