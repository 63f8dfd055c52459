#include "amberpin/model/catalog.h"

#include <string.h>

int amb_catalog_find_type(const struct amb_catalog *catalog, const char *name) {
    for (uint32_t i = 0; i < catalog->type_count; i++)
        if (!strcmp(catalog->types[i].name, name)) return (int)i;
    return AMB_CATALOG_UNKNOWN;
}

int amb_catalog_find_or_add_zone(struct amb_catalog *catalog, const char *name) {
    if (!*name) return AMB_CATALOG_UNKNOWN;
    for (uint32_t i = 0; i < catalog->zone_count; i++)
        if (!strcmp(catalog->zones[i], name)) return (int)i;
    if (catalog->zone_count == AMB_ZONES_MAX) return AMB_CATALOG_UNKNOWN;
    strcpy(catalog->zones[catalog->zone_count], name);
    return (int)catalog->zone_count++;
}
