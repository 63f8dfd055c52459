#include "amberpin/model/model.h"

bool amb_resources_fit(const struct amb_resources *need, const struct amb_resources *available) {
    const double slack = 1e-6;
    return need->cpus <= available->cpus + slack && need->gpus <= available->gpus + slack &&
           need->memory_gb <= available->memory_gb + slack;
}

void amb_resources_add(struct amb_resources *sum, const struct amb_resources *part, double factor) {
    sum->cpus += part->cpus * factor;
    sum->gpus += part->gpus * factor;
    sum->memory_gb += part->memory_gb * factor;
}
