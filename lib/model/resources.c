#include "amberpin/model/model.h"

bool amb_res_fits(const struct amb_res *need, const struct amb_res *room) {
    const double slack = 1e-6;
    return need->cpus <= room->cpus + slack && need->gpus <= room->gpus + slack &&
           need->memory <= room->memory + slack;
}

void amb_res_add(struct amb_res *sum, const struct amb_res *part, double times) {
    sum->cpus += part->cpus * times;
    sum->gpus += part->gpus * times;
    sum->memory += part->memory * times;
}
