#include "amberpin/model/model.h"

#include <string.h>

bool amb_latest_first(char (*names)[AMB_NAME], double *gb, uint32_t *count, uint32_t most, const char *name,
                      double figure) {
    uint32_t i = 0;
    while (i < *count && strcmp(names[i], name)) i++;
    bool fresh = i == *count;
    if (fresh) {
        if (*count < most) ++*count;
        i = *count - 1;
    }
    memmove(names[1], names[0], i * sizeof names[0]);
    strcpy(names[0], name);
    if (gb) {
        memmove(&gb[1], &gb[0], i * sizeof gb[0]);
        gb[0] = figure;
    }
    return fresh;
}

bool amb_spec_allows(const struct amb_spec *spec, const char *type) {
    for (uint32_t i = 0; i < spec->ntypes; i++)
        if (!strcmp(spec->types[i], type)) return true;
    return !spec->ntypes;
}

int amb_catalog_type(const struct amb_catalog *catalog, const char *name) {
    for (uint32_t i = 0; i < catalog->ntypes; i++)
        if (!strcmp(catalog->types[i].name, name)) return (int)i;
    return -1;
}

int amb_catalog_zone(struct amb_catalog *catalog, const char *name) {
    if (!*name) return -1;
    for (uint32_t i = 0; i < catalog->nzones; i++)
        if (!strcmp(catalog->zones[i], name)) return (int)i;
    if (catalog->nzones == AMB_ZONES) return -1;
    strcpy(catalog->zones[catalog->nzones], name);
    return (int)catalog->nzones++;
}
