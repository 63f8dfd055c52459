#include "amberpin/model/resources.h"

/* Sums over many tasks accumulate floating-point rounding errors. */
static const double ROUNDING_SLACK = 1e-6;

bool amb_resources_fit(const struct amb_resources *need, const struct amb_resources *available) {
    return need->cpus <= available->cpus + ROUNDING_SLACK && need->gpus <= available->gpus + ROUNDING_SLACK &&
           need->memory_gb <= available->memory_gb + ROUNDING_SLACK;
}

void amb_resources_add(struct amb_resources *sum, const struct amb_resources *part, double factor) {
    sum->cpus += part->cpus * factor;
    sum->gpus += part->gpus * factor;
    sum->memory_gb += part->memory_gb * factor;
}
