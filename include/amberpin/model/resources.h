/* Resources that machines offer and tasks need. */
#ifndef AMBERPIN_MODEL_RESOURCES_H
#define AMBERPIN_MODEL_RESOURCES_H

#include <stdbool.h>

struct amb_resources {
    double cpus, gpus, memory_gb;
};

/* Whether `need` is available in every dimension, with a slack for rounding. */
bool amb_resources_fit(const struct amb_resources *need, const struct amb_resources *available);
/* Adds `part` times `factor` to `sum`; a negative factor subtracts. */
void amb_resources_add(struct amb_resources *sum, const struct amb_resources *part, double factor);

#endif
