/* The catalogue of machine types, as the cloud lists it. */
#include "amberpin/codec/fields.h"
#include "amberpin/codec/messages.h"

#include <string.h>

bool amb_codec_type(const cbor_item_t *map, struct amb_type *type) {
    memset(type, 0, sizeof *type);
    if (!amb_field_name(map, "name", type->name) || !amb_field_amount(map, "vcpus", &type->size.cpus) ||
        !amb_field_amount(map, "accelerators", &type->size.gpus) ||
        !amb_field_amount(map, "ram_gb", &type->size.memory))
        return false;
    amb_field_amount(map, "local_gb", &type->cache_gb);
    amb_field_amount(map, "fetch_gb_per_s", &type->fetch_gb_s);
    amb_field_amount(map, "hourly", &type->price);
    amb_field_amount(map, "market_price", &type->spot_price);
    amb_field_amount(map, "boot_s", &type->boot_s);
    const cbor_item_t *zones = amb_cbor_get(map, "yards");
    for (size_t i = 0; i < amb_cbor_len(zones) && type->nzones < AMB_ZONES; i++)
        if (amb_cbor_str(amb_cbor_at(zones, i), type->zones[type->nzones], AMB_NAME)) type->nzones++;
    return true;
}
