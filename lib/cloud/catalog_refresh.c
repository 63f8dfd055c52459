#include "amberpin/cloud/catalog_refresh.h"

#include "amberpin/base/log.h"
#include "amberpin/cloud/cloud_calls.h"
#include "amberpin/node/node.h"

#include <stdlib.h>

static void handle_catalog(void *arg, int status, const char *body, size_t body_size) {
    struct amb_cloud_call *call = arg;
    struct amb_node *node = call->node;
    free(call);
    amb_cloud_note_status(node, status);
    cbor_item_t *item = status == 200 ? amb_cbor_parse(body, body_size) : NULL;
    const cbor_item_t *types = amb_cbor_map_get(item, "hulls");
    for (size_t i = 0; i < amb_cbor_list_length(types); i++) {
        struct amb_machine_type type;
        if (!amb_codec_decode_machine_type(amb_cbor_list_item(types, i), &type)) continue;
        int place = amb_catalog_find_type(&node->catalog, type.name);
        if (place < 0 && node->catalog.type_count < AMB_MACHINE_TYPES_MAX)
            place = (int)node->catalog.type_count++;
        if (place < 0) {
            amb_error("the cloud offers more than %d types: %s is not used", AMB_MACHINE_TYPES_MAX,
                      type.name);
            continue;
        }
        node->catalog.types[place] = type;
        for (uint32_t zone = 0; zone < type.zone_count; zone++)
            amb_catalog_find_or_add_zone(&node->catalog, type.zones[zone]);
        node->cloud.catalog_known = true;
    }
    if (item) cbor_decref(&item);
}

void amb_cloud_catalog_tick(struct amb_node *node, amb_ms now) {
    struct amb_cloud *cloud = &node->cloud;
    amb_ms stale = cloud->catalog_known ? amb_seconds_to_ms(node->settings.agent_lease_s * 6)
                                        : amb_seconds_to_ms(node->settings.heartbeat_s / 2);
    if ((!cloud->catalog_known || amb_election_is_leader(node)) &&
        (!cloud->catalog_requested_at || now - cloud->catalog_requested_at > stale) &&
        amb_cloud_take_token(node, now)) {
        cloud->catalog_requested_at = now;
        amb_http_call(node->settings.cloud_addr, "GET", "/catalog", NULL, NULL, 0,
                      amb_seconds_to_ms(node->settings.heartbeat_s * 3), handle_catalog,
                      amb_cloud_call_new(node));
    }
}
