#include "amberpin/model/model.h"

#include <string.h>

bool amb_recent_names_add(char (*names)[AMB_NAME_SIZE], double *sizes_gb, uint32_t *count, uint32_t capacity,
                          const char *name, double size_gb) {
    uint32_t i = 0;
    while (i < *count && strcmp(names[i], name)) i++;
    bool fresh = i == *count;
    if (fresh) {
        if (*count < capacity) ++*count;
        i = *count - 1;
    }
    memmove(names[1], names[0], i * sizeof names[0]);
    strcpy(names[0], name);
    if (sizes_gb) {
        memmove(&sizes_gb[1], &sizes_gb[0], i * sizeof sizes_gb[0]);
        sizes_gb[0] = size_gb;
    }
    return fresh;
}

bool amb_job_spec_allows_type(const struct amb_job_spec *spec, const char *type) {
    for (uint32_t i = 0; i < spec->allowed_type_count; i++)
        if (!strcmp(spec->allowed_types[i], type)) return true;
    return !spec->allowed_type_count;
}

int amb_catalog_find_type(const struct amb_catalog *catalog, const char *name) {
    for (uint32_t i = 0; i < catalog->type_count; i++)
        if (!strcmp(catalog->types[i].name, name)) return (int)i;
    return -1;
}

int amb_catalog_find_or_add_zone(struct amb_catalog *catalog, const char *name) {
    if (!*name) return -1;
    for (uint32_t i = 0; i < catalog->zone_count; i++)
        if (!strcmp(catalog->zones[i], name)) return (int)i;
    if (catalog->zone_count == AMB_ZONES_MAX) return -1;
    strcpy(catalog->zones[catalog->zone_count], name);
    return (int)catalog->zone_count++;
}
