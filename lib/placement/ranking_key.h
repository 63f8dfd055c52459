/* The key under which a ranking of slots is cached: everything that a score depends on apart from the slot.
 *
 * Functions are inline because each query is compared with many keys. They compare member by member because
 * structs may have padding between their members. */
#ifndef AMBERPIN_PLACEMENT_RANKING_KEY_H
#define AMBERPIN_PLACEMENT_RANKING_KEY_H

#include "amberpin/placement/slot_ranking.h"

#include <string.h>

/* A query. All pointers are borrowed. */
struct amb_ranking_query {
    const struct amb_placement_request *request;
    const struct amb_slot_annotation *annotation;
    const struct amb_preemption_terms *terms; /* NULL: without preemption */
    bool include_releasing;
};

/* The zones that a request allows are not part of the key, because a ranking has a tree for each zone. */
struct amb_ranking_key {
    struct amb_resources need;
    uint32_t type_mask;
    enum amb_priority priority;
    bool spot_allowed, long_running, deferrable, can_wait, opportunistic; /* as in the request */
    bool include_releasing;
    bool with_preemption;
    struct amb_preemption_terms terms;     /* valid with preemption */
    struct amb_slot_annotation annotation; /* its image is NULL; see `image` */
    char image[AMB_NAME_SIZE];
};

static inline void amb_ranking_key_init(struct amb_ranking_key *key, const struct amb_ranking_query *query) {
    const struct amb_placement_request *request = query->request;
    *key = (struct amb_ranking_key){.need = request->need,
                                    .type_mask = request->type_mask,
                                    .priority = request->priority,
                                    .spot_allowed = request->spot_allowed,
                                    .long_running = request->long_running,
                                    .deferrable = request->deferrable,
                                    .can_wait = request->can_wait,
                                    .opportunistic = request->opportunistic,
                                    .include_releasing = query->include_releasing,
                                    .with_preemption = query->terms != NULL,
                                    .annotation = *query->annotation};
    if (query->terms) key->terms = *query->terms;
    if (!query->annotation->ignores_image) strcpy(key->image, query->annotation->image);
    key->annotation.image = NULL; /* borrowed only for the query */
}

static inline bool is_same_annotation(const struct amb_ranking_key *key,
                                      const struct amb_slot_annotation *annotation) {
    const struct amb_slot_annotation *cached = &key->annotation;
    if (cached->ignores_image != annotation->ignores_image) return false;
    if (annotation->ignores_image) return true;
    return cached->image_gb == annotation->image_gb && cached->within_s == annotation->within_s &&
           cached->slack_s == annotation->slack_s && !strcmp(key->image, annotation->image);
}

static inline bool is_same_need(const struct amb_resources *left, const struct amb_resources *right) {
    return left->gpus == right->gpus && left->cpus == right->cpus && left->memory_gb == right->memory_gb;
}

static inline bool is_same_request(const struct amb_ranking_key *key,
                                   const struct amb_placement_request *request) {
    return is_same_need(&key->need, &request->need) && key->type_mask == request->type_mask &&
           key->priority == request->priority && key->spot_allowed == request->spot_allowed &&
           key->long_running == request->long_running && key->deferrable == request->deferrable &&
           key->can_wait == request->can_wait && key->opportunistic == request->opportunistic;
}

static inline bool is_same_preemptor(const struct amb_preemptor *left, const struct amb_preemptor *right) {
    return left->priority == right->priority && left->team == right->team &&
           left->within_guarantee == right->within_guarantee;
}

static inline bool is_same_terms(const struct amb_preemption_terms *left,
                                 const struct amb_preemption_terms *right) {
    return left->cost_kind == right->cost_kind && is_same_preemptor(&left->preemptor, &right->preemptor) &&
           left->image_only == right->image_only && left->placed_tasks == right->placed_tasks;
}

/* Returns whether this is the query's key. */
static inline bool amb_ranking_key_matches(const struct amb_ranking_key *key,
                                           const struct amb_ranking_query *query) {
    if (!is_same_request(key, query->request)) return false;
    if (key->include_releasing != query->include_releasing) return false;
    if (key->with_preemption != (query->terms != NULL)) return false;
    if (query->terms && !is_same_terms(&key->terms, query->terms)) return false;
    return is_same_annotation(key, query->annotation);
}

#endif
