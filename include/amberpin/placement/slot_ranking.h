/* The best slot for a wish, without looking at every slot each time: pure, no input or output.
 *
 * Tasks of the same shape ask for the best slot again and again within a round, and between two questions
 * only a few slots change. So the scores are kept by shape, in a tree of winners for each zone: a question
 * costs as many steps as slots have changed since the last, times the logarithm of their number. What is
 * found is what amb_placement_find_best finds among all slots. (With 4,000 machines a round that looked at
 * each for each task took 1.2 s of a core.) */
#ifndef AMBERPIN_SLOT_RANKING_H
#define AMBERPIN_SLOT_RANKING_H

#include "amberpin/placement/bin_packing.h"

/* What a slot's `has_image` and `late` are marked for. */
struct amb_slot_annotation {
    const char *image;
    double image_gb;
    double within_s, slack_s; /* as amb_placement_start_risk takes them */
    bool ignores_image;       /* where the image is does not matter */
};

/* On what grounds a job may have other work stopped. */
struct amb_preemption_claim {
    enum amb_priority priority;
    const struct amb_team *team; /* borrowed; NULL: unknown */
    bool within_guarantee;       /* the job fits into what its team is guaranteed */
};

/* What a preemption costs. */
enum amb_preemption_cost {
    AMB_PREEMPTION_COST_LOST_WORK, /* seconds of work lost; only machines that are up */
    AMB_PREEMPTION_COST_IMAGE,     /* whether the image is missing */
};

/* On what terms other work is stopped for a request. */
struct amb_preemption_terms {
    enum amb_preemption_cost cost_kind;
    struct amb_preemption_claim claim;
    bool image_only; /* only where the image is */
    uint64_t
        placed_tasks; /* in the cycle so far: what teams use, and so what is preemptible, has changed since */
};

/* The slots of a round. They may change and grow in number, but keep their order and zones. */
struct amb_slot_list {
    const struct amb_slot *slots;
    uint32_t count;
    /* Brings the marks of a slot up to date with the marking at hand. */
    void (*annotate)(void *context, uint32_t slot);
    /* What it costs to make room for the wish on the slot, on these terms, wherever its zone. False: it can't
     * be. */
    bool (*compute_cost)(void *context, uint32_t slot, const struct amb_placement_request *wish,
                         const struct amb_preemption_terms *terms, double *cost);
    void *context;
};

struct amb_slot_ranking;

enum { AMB_SLOT_RANKINGS_MAX = 192 }; /* shapes that are kept; the one longest unused makes way */

struct amb_slot_rankings {
    struct amb_slot_ranking *cached[AMB_SLOT_RANKINGS_MAX];
    uint32_t count;
    uint64_t query_count;
    uint32_t *changed_slots; /* slots, in the order of their changes */
    uint32_t change_count, change_capacity;
    uint32_t *latest_change; /* of each slot: its place in `changed` */
    uint32_t latest_change_capacity;
    uint32_t *place_in_zone; /* of each slot, within its zone */
    uint32_t indexed_count, place_capacity;
    struct amb_zone_slots {
        uint32_t *slots;
        uint32_t count, capacity;
    } zones[AMB_ZONES_MAX];
};

/* A slot has changed in anything but its marks, or in what they are made from. */
void amb_slot_rankings_note_change(struct amb_slot_rankings *rankings, uint32_t slot_index);
/* Best of the slots that can take it, or -1, as amb_placement_find_best with all slots marked so. */
int amb_slot_rankings_find_best(struct amb_slot_rankings *rankings, const struct amb_slot_list *list,
                                const struct amb_slot_annotation *annotation,
                                const struct amb_placement_request *request, bool include_releasing);
/* The slot on which it costs least to make room, of equals the first; or -1. Its marks are made. */
int amb_slot_rankings_find_cheapest_preemption(struct amb_slot_rankings *rankings,
                                               const struct amb_slot_list *list,
                                               const struct amb_slot_annotation *annotation,
                                               const struct amb_placement_request *request,
                                               const struct amb_preemption_terms *terms);
void amb_slot_rankings_free(struct amb_slot_rankings *rankings);

#endif
