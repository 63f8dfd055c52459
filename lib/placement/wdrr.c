#include "amberpin/placement/wdrr.h"

#include <math.h>

/* Both kinds of deployment we know guarantee GPUs and no cores. In cores every team would weigh one and a
 * CPU-heavy task would cost more turns than a GPU-heavy one, so size and weight are counted in the resource
 * that the guarantees name (see docs/design.md). */
double amb_wdrr_size(const struct amb_res *need, bool by_gpus) {
    double size = by_gpus ? need->gpus : need->cpus;
    return size > 0 ? size : 1;
}

bool amb_wdrr_by_gpus(const struct amb_team *teams, uint32_t n) {
    for (uint32_t i = 0; i < n; i++)
        if (teams[i].guarantee.gpus > 0) return true;
    return false;
}

static bool has_guarantee(const struct amb_team *team) {
    return team->guarantee.gpus > 0 || team->guarantee.cpus > 0;
}

static bool any_guarantee(const struct amb_team *teams, uint32_t n) {
    for (uint32_t i = 0; i < n; i++)
        if (has_guarantee(&teams[i])) return true;
    return false;
}

void amb_wdrr_prepare(struct amb_team *teams, uint32_t n, bool by_gpus) {
    bool some_are_guaranteed = any_guarantee(teams, n);
    for (uint32_t i = 0; i < n; i++) {
        struct amb_team *t = &teams[i];
        double guarantee = by_gpus ? t->guarantee.gpus : t->guarantee.cpus;
        double limit = by_gpus ? t->limit.gpus : t->limit.cpus;
        t->weight = fmax(1, guarantee);
        t->opportunistic = some_are_guaranteed && !has_guarantee(t);
        t->bucket_max = limit > 0 ? 60 * limit : INFINITY;
        t->bucket = t->bucket_max;
        t->deficit = 0;
    }
}

void amb_wdrr_refill(struct amb_team *teams, uint32_t n, double seconds) {
    for (uint32_t i = 0; i < n; i++) {
        struct amb_team *t = &teams[i];
        if (isinf(t->bucket_max)) continue;
        t->bucket = fmin(t->bucket_max, t->bucket + seconds * t->bucket_max / 60);
    }
}

bool amb_wdrr_within_limit(const struct amb_team *t, const struct amb_res *need, double times) {
    const double slack = 1e-6;
    if (t->limit.cpus > 0 && t->used.cpus + need->cpus * times > t->limit.cpus + slack) return false;
    if (t->limit.gpus > 0 && t->used.gpus + need->gpus * times > t->limit.gpus + slack) return false;
    return true;
}

bool amb_wdrr_within_guarantee(const struct amb_team *t, const struct amb_res *need) {
    const double slack = 1e-6;
    if (!has_guarantee(t)) return false;
    if (t->guarantee.cpus > 0 && t->used.cpus + need->cpus > t->guarantee.cpus + slack) return false;
    if (t->guarantee.gpus > 0 && t->used.gpus + need->gpus > t->guarantee.gpus + slack) return false;
    return true;
}

uint32_t amb_wdrr_round(struct amb_team *teams, uint32_t n, uint32_t first, const struct amb_wdrr_ops *ops) {
    uint32_t admitted = 0;
    bool more = true;
    while (more) {
        more = false;
        for (uint32_t k = 0; k < n; k++) {
            uint32_t i = (first + k) % n;
            struct amb_team *t = &teams[i];
            struct amb_wdrr_item item;
            if (!ops->next(ops->arg, i, &item)) {
                if (ops->idle(ops->arg, i)) t->deficit = 0; /* idle turns pass on */
                continue;
            }
            /* The cap keeps a shortage from piling up turns that would be taken all at once later; an item
             * larger than a turn still comes up after enough of them. */
            t->deficit = fmin(t->deficit + t->weight, fmax(t->weight, item.size));
            do {
                if (t->deficit + 1e-9 < item.size) {
                    more = true; /* saves up for it */
                    break;
                }
                if (t->bucket + 1e-9 < item.size || !amb_wdrr_within_limit(t, &item.need, 1) ||
                    ops->admit(ops->arg, i, &item) == AMB_TRY_NO_FIT) {
                    ops->skip(ops->arg, i, &item);
                    continue;
                }
                t->deficit -= item.size;
                t->bucket -= item.size;
                admitted++;
                more = true;
            } while (ops->next(ops->arg, i, &item));
        }
    }
    return admitted;
}
