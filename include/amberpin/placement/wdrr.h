/* Weighted deficit round robin over teams. Pure: no input or output.
 *
 * Each team has a weight (its guarantee), a deficit counter and a token bucket. A turn adds the weight to the
 * deficit; an item is admitted when deficit and bucket hold its size and the team's limit has room for it. */
#ifndef AMBERPIN_PLACEMENT_WDRR_H
#define AMBERPIN_PLACEMENT_WDRR_H

#include "amberpin/model/model.h"

/* A task, or a whole gang. */
struct amb_wdrr_item {
    double size; /* as amb_wdrr_item_size says */
    struct amb_resources need;
    void *payload; /* the caller's */
};

enum amb_wdrr_result {
    AMB_WDRR_ADMITTED,
    AMB_WDRR_NO_FIT, /* nothing can take the item now */
};

/* The caller's queues. Teams are named by their index. */
struct amb_wdrr_ops {
    /* The team's next item; false: none is left to try in this run. */
    bool (*next)(void *context, uint32_t team_index, struct amb_wdrr_item *item);
    enum amb_wdrr_result (*admit)(void *context, uint32_t team_index, const struct amb_wdrr_item *item);
    /* The item stays out of the rest of this run. */
    void (*skip)(void *context, uint32_t team_index, const struct amb_wdrr_item *item);
    /* Has the team nothing waiting at all? Only then its deficit is reset. */
    bool (*is_idle)(void *context, uint32_t team_index);
    void *context;
};

/* Sizes are counted in the resource that guarantees name, at least 1. */
double amb_wdrr_item_size(const struct amb_resources *need, bool sized_by_gpus);
/* Does any guarantee name GPUs? */
bool amb_wdrr_is_sized_by_gpus(const struct amb_team *teams, uint32_t team_count);
/* Sets weights and full buckets, no deficit, and which teams are opportunistic. */
void amb_wdrr_prepare(struct amb_team *teams, uint32_t team_count, bool sized_by_gpus);
/* Refills the buckets for so many seconds: an empty bucket is full after a minute. */
void amb_wdrr_refill(struct amb_team *teams, uint32_t team_count, double seconds);
/* Does the team stay within its limit with `count` more tasks of this need? */
bool amb_wdrr_is_within_limit(const struct amb_team *team, const struct amb_resources *need, double count);
/* Has the team a guarantee, and does the need fit into what is left of it? */
bool amb_wdrr_is_within_guarantee(const struct amb_team *team, const struct amb_resources *need);
/* Takes turns, beginning with first_team, until nothing more can be admitted. Returns how many items were. */
uint32_t amb_wdrr_run(struct amb_team *teams, uint32_t team_count, uint32_t first_team,
                      const struct amb_wdrr_ops *ops);

#endif
