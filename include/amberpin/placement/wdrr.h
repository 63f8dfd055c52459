/* Weighted deficit round robin over teams: pure, no input or output. */
#ifndef AMBERPIN_WDRR_H
#define AMBERPIN_WDRR_H

#include "amberpin/model/model.h"

struct amb_wdrr_item {
    double size; /* in the resource that guarantees are named in */
    struct amb_resources need;
    void *payload;
};

enum amb_wdrr_result { AMB_WDRR_ADMITTED, AMB_WDRR_NO_FIT };

struct amb_wdrr_ops {
    /* The team's next item, NULL when it has none left to try in this round. */
    bool (*next)(void *arg, uint32_t team, struct amb_wdrr_item *out);
    enum amb_wdrr_result (*admit)(void *arg, uint32_t team, const struct amb_wdrr_item *item);
    /* The item stays out of the rest of this round. */
    void (*skip)(void *arg, uint32_t team, const struct amb_wdrr_item *item);
    /* Has the team nothing waiting at all? Only then its deficit is forgotten. */
    bool (*is_idle)(void *arg, uint32_t team);
    void *context;
};

double amb_wdrr_item_size(const struct amb_resources *need, bool sized_by_gpus);
bool amb_wdrr_is_sized_by_gpus(const struct amb_team *teams,
                               uint32_t team_count); /* does any guarantee name GPUs? */
void amb_wdrr_prepare(struct amb_team *teams, uint32_t team_count,
                      bool sized_by_gpus); /* weights, full buckets, no deficit */
void amb_wdrr_refill(struct amb_team *teams, uint32_t team_count, double seconds);
bool amb_wdrr_is_within_limit(const struct amb_team *team, const struct amb_resources *need, double count);
bool amb_wdrr_is_within_guarantee(const struct amb_team *team, const struct amb_resources *need);
/* One round: turns are taken until nobody can be admitted. Returns how many were. */
uint32_t amb_wdrr_run(struct amb_team *teams, uint32_t team_count, uint32_t first_team,
                      const struct amb_wdrr_ops *ops);

#endif
