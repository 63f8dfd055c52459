/* A short list of names, most recently used first. */
#ifndef AMBERPIN_MODEL_RECENT_NAMES_H
#define AMBERPIN_MODEL_RECENT_NAMES_H

#include "amberpin/model/limits.h"

#include <stdbool.h>
#include <stdint.h>

/* Moves the name to the front, or inserts it there; a full list drops its last entry. Returns whether the
 * name is new. `names` has room for `capacity` entries, `sizes_gb` (NULL: none are kept) for a size of
 * each. */
bool amb_recent_names_add(char (*names)[AMB_NAME_SIZE], double *sizes_gb, uint32_t *count, uint32_t capacity,
                          const char *name, double size_gb);

#endif
