/* Weighted deficit round robin over teams. Pure: no input or output.
 *
 * Each team has a weight (its guarantee), a deficit counter and a token bucket. A turn adds the weight to the
 * deficit counter. An item is admitted if its size does not exceed the deficit counter and the tokens in the
 * bucket, and the team stays within its limit. */
#ifndef AMBERPIN_PLACEMENT_WDRR_H
#define AMBERPIN_PLACEMENT_WDRR_H

#include "amberpin/model/model.h"

/* A task or a whole gang. */
struct amb_wdrr_item {
    double size; /* see amb_wdrr_item_size */
    struct amb_resources need;
    void *payload; /* for the caller's use */
};

enum amb_wdrr_result {
    AMB_WDRR_ADMITTED,
    AMB_WDRR_NO_FIT, /* the item can't be placed now */
};

/* Callbacks for the caller's queues. Teams are identified by their index. */
struct amb_wdrr_ops {
    /* Gets the team's next item. False: none is left to try in this run. */
    bool (*next)(void *context, uint32_t team_index, struct amb_wdrr_item *item);
    enum amb_wdrr_result (*admit)(void *context, uint32_t team_index, const struct amb_wdrr_item *item);
    /* Excludes the item from the rest of this run. */
    void (*skip)(void *context, uint32_t team_index, const struct amb_wdrr_item *item);
    /* Returns whether the team has nothing waiting at all. Only then is its deficit counter reset. */
    bool (*is_idle)(void *context, uint32_t team_index);
    void *context;
};

/* The size of an item: its need in GPUs or cores, whichever resource the guarantees name, and 1 if it needs
 * none of it. */
double amb_wdrr_item_size(const struct amb_resources *need, bool sized_by_gpus);
/* Returns whether any team's guarantee names GPUs. */
bool amb_wdrr_is_sized_by_gpus(const struct amb_team *teams, uint32_t team_count);
/* Sets each team's weight, fills its bucket, resets its deficit counter and determines whether the team is
 * opportunistic. */
void amb_wdrr_prepare(struct amb_team *teams, uint32_t team_count, bool sized_by_gpus);
/* Refills the buckets for `seconds` of elapsed time. An empty bucket is full after a minute. */
void amb_wdrr_refill(struct amb_team *teams, uint32_t team_count, double seconds);
/* Returns whether the team stays within its limit with `count` more tasks of this need. */
bool amb_wdrr_is_within_limit(const struct amb_team *team, const struct amb_resources *need, double count);
/* Returns whether the team has a guarantee and the need fits into the unused part of it. */
bool amb_wdrr_is_within_guarantee(const struct amb_team *team, const struct amb_resources *need);
/* Gives the teams turns, beginning with first_team, until nothing more can be admitted. Returns the number of
 * items admitted. */
uint32_t amb_wdrr_run(struct amb_team *teams, uint32_t team_count, uint32_t first_team,
                      const struct amb_wdrr_ops *ops);

#endif
