#include "amberpin/model/recent_names.h"

#include <string.h>

bool amb_recent_names_add(char (*names)[AMB_NAME_SIZE], double *sizes_gb, uint32_t *count, uint32_t capacity,
                          const char *name, double size_gb) {
    uint32_t i = 0;
    while (i < *count && strcmp(names[i], name)) i++;
    bool is_new = i == *count;
    if (is_new) {
        if (*count < capacity) ++*count;
        i = *count - 1;
    }
    memmove(names[1], names[0], i * sizeof names[0]);
    strcpy(names[0], name);
    if (sizes_gb) {
        memmove(&sizes_gb[1], &sizes_gb[0], i * sizeof sizes_gb[0]);
        sizes_gb[0] = size_gb;
    }
    return is_new;
}
