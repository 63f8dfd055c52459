/* Weighted deficit round robin over teams: pure, no input or output. */
#ifndef AMBERPIN_WDRR_H
#define AMBERPIN_WDRR_H

#include "amberpin/model/model.h"

struct amb_wdrr_item {
    double size; /* in the resource that guarantees are named in */
    struct amb_resources need;
    void *what;
};

enum amb_wdrr_try { AMB_TRY_ADMITTED, AMB_TRY_NO_FIT };

struct amb_wdrr_ops {
    /* The team's next item, NULL when it has none left to try in this round. */
    bool (*next)(void *arg, uint32_t team, struct amb_wdrr_item *out);
    enum amb_wdrr_try (*admit)(void *arg, uint32_t team, const struct amb_wdrr_item *item);
    /* The item stays out of the rest of this round. */
    void (*skip)(void *arg, uint32_t team, const struct amb_wdrr_item *item);
    /* Has the team nothing waiting at all? Only then its deficit is forgotten. */
    bool (*idle)(void *arg, uint32_t team);
    void *arg;
};

double amb_wdrr_size(const struct amb_resources *need, bool by_gpus);
bool amb_wdrr_by_gpus(const struct amb_team *teams, uint32_t n); /* does any guarantee name GPUs? */
void amb_wdrr_prepare(struct amb_team *teams, uint32_t n,
                      bool by_gpus); /* weights, full buckets, no deficit */
void amb_wdrr_refill(struct amb_team *teams, uint32_t n, double seconds);
bool amb_wdrr_within_limit(const struct amb_team *team, const struct amb_resources *need, double times);
bool amb_wdrr_within_guarantee(const struct amb_team *team, const struct amb_resources *need);
/* One round: turns are taken until nobody can be admitted. Returns how many were. */
uint32_t amb_wdrr_round(struct amb_team *teams, uint32_t n, uint32_t first, const struct amb_wdrr_ops *ops);

#endif
