/* The cloud's catalogue: its machine types with their zones and prices. Machines refer to types and zones by
 * their index in the catalogue. */
#ifndef AMBERPIN_MODEL_CATALOG_H
#define AMBERPIN_MODEL_CATALOG_H

#include "amberpin/model/limits.h"
#include "amberpin/model/resources.h"

#include <stdint.h>

struct amb_machine_type {
    char name[AMB_NAME_SIZE];
    struct amb_resources resources;
    double image_cache_gb, image_fetch_gb_per_s;
    double hourly_price, hourly_spot_price;
    double boot_s; /* from the request for a machine to its first heartbeat */
    uint32_t zone_count;
    char zones[AMB_ZONES_MAX][AMB_NAME_SIZE]; /* that offer the type */
};

struct amb_catalog {
    uint32_t type_count, zone_count;
    struct amb_machine_type types[AMB_MACHINE_TYPES_MAX];
    char zones[AMB_ZONES_MAX][AMB_NAME_SIZE]; /* known so far, in the order in which they became known */
};

/* Returned by the lookups below for a name that is not in the catalogue. */
enum { AMB_CATALOG_UNKNOWN = -1 };

/* The index of the machine type, or AMB_CATALOG_UNKNOWN. */
int amb_catalog_find_type(const struct amb_catalog *catalog, const char *name);
/* The index of the zone, which is added if it is new; AMB_CATALOG_UNKNOWN if the name is empty
 * or AMB_ZONES_MAX others are known. */
int amb_catalog_find_or_add_zone(struct amb_catalog *catalog, const char *name);

#endif
