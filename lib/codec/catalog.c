/* Decodes the machine types of the cloud's catalogue. */
#include "amberpin/codec/messages.h"
#include "fields.h"

#include <string.h>

bool amb_codec_decode_machine_type(const struct amb_cbor_item *map, struct amb_machine_type *type) {
    memset(type, 0, sizeof *type);
    if (!amb_codec_read_name(map, "name", type->name) ||
        !amb_codec_read_amount(map, "vcpus", &type->resources.cpus) ||
        !amb_codec_read_amount(map, "accelerators", &type->resources.gpus) ||
        !amb_codec_read_amount(map, "ram_gb", &type->resources.memory_gb))
        return false;
    amb_codec_read_amount(map, "local_gb", &type->image_cache_gb);
    amb_codec_read_amount(map, "fetch_gb_per_s", &type->image_fetch_gb_per_s);
    amb_codec_read_amount(map, "hourly", &type->hourly_price);
    amb_codec_read_amount(map, "market_price", &type->hourly_spot_price);
    amb_codec_read_amount(map, "boot_s", &type->boot_s);
    struct amb_cbor_cursor zones = amb_cbor_list_begin(amb_cbor_map_get(map, "yards"));
    const struct amb_cbor_item *zone;
    while (type->zone_count < AMB_ZONES_MAX && (zone = amb_cbor_next(&zones)) != NULL)
        if (amb_cbor_copy_string(zone, type->zones[type->zone_count], AMB_NAME_SIZE)) type->zone_count++;
    return true;
}
