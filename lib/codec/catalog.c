/* The catalogue of machine types, as the cloud lists it. */
#include "amberpin/codec/fields.h"
#include "amberpin/codec/messages.h"

#include <string.h>

bool amb_codec_type(const cbor_item_t *map, struct amb_machine_type *type) {
    memset(type, 0, sizeof *type);
    if (!amb_field_name(map, "name", type->name) || !amb_field_amount(map, "vcpus", &type->resources.cpus) ||
        !amb_field_amount(map, "accelerators", &type->resources.gpus) ||
        !amb_field_amount(map, "ram_gb", &type->resources.memory_gb))
        return false;
    amb_field_amount(map, "local_gb", &type->image_cache_gb);
    amb_field_amount(map, "fetch_gb_per_s", &type->image_fetch_gb_per_s);
    amb_field_amount(map, "hourly", &type->hourly_price);
    amb_field_amount(map, "market_price", &type->hourly_spot_price);
    amb_field_amount(map, "boot_s", &type->boot_s);
    const cbor_item_t *zones = amb_cbor_get(map, "yards");
    for (size_t i = 0; i < amb_cbor_len(zones) && type->zone_count < AMB_ZONES_MAX; i++)
        if (amb_cbor_str(amb_cbor_at(zones, i), type->zones[type->zone_count], AMB_NAME_SIZE))
            type->zone_count++;
    return true;
}
