/* The key under which a ranking of slots is cached: all that a score depends on beside the slot. */
#ifndef AMBERPIN_PLACEMENT_RANKING_KEY_H
#define AMBERPIN_PLACEMENT_RANKING_KEY_H

#include "amberpin/placement/slot_ranking.h"

/* What is asked for. All is borrowed. */
struct amb_ranking_query {
    const struct amb_placement_request *request;
    const struct amb_slot_annotation *annotation;
    const struct amb_preemption_terms *terms; /* NULL: nothing is preempted */
    bool include_releasing;
};

/* The zones that a request allows are no part of it: a ranking has a tree for each zone. */
struct amb_ranking_key {
    struct amb_resources need;
    uint32_t type_mask;
    enum amb_priority priority;
    bool spot_allowed, long_running, deferrable, can_wait, opportunistic; /* as in the request */
    bool include_releasing;
    bool with_preemption; /* on these terms */
    struct amb_preemption_terms terms;
    struct amb_slot_annotation annotation; /* without the image's name */
    char image[AMB_NAME_SIZE];
};

void amb_ranking_key_init(struct amb_ranking_key *key, const struct amb_ranking_query *query);
/* Is it the key of the query? */
bool amb_ranking_key_matches(const struct amb_ranking_key *key, const struct amb_ranking_query *query);

#endif
