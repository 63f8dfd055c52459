/* The best slot for a placement request, without a look at every slot each time. Pure: no input or output.
 *
 * Tasks of the same shape ask for the best slot again and again within a scheduling cycle, and only a few
 * slots change between two queries. So scores are cached by shape, in a winner tree for each zone: a query
 * costs as many steps as slots have changed since the last one, times the logarithm of their number. It finds
 * what amb_placement_find_best finds among all slots. (With 4,000 machines a cycle that looked at each slot
 * for each task took 1.2 s of a core.) */
#ifndef AMBERPIN_PLACEMENT_SLOT_RANKING_H
#define AMBERPIN_PLACEMENT_SLOT_RANKING_H

#include "amberpin/placement/bin_packing.h"

/* What the `has_image` and `start_risk` of slots are computed for. */
struct amb_slot_annotation {
    const char *image; /* borrowed */
    double image_gb;
    double within_s, slack_s; /* as amb_placement_start_risk takes them */
    bool ignores_image;       /* no start is at risk, wherever the image is; the other members do not count */
};

/* On what grounds a job may have other work preempted. */
struct amb_preemptor {
    enum amb_priority priority;
    const struct amb_team *team; /* borrowed; NULL: unknown */
    bool within_guarantee;       /* the job fits into what its team is guaranteed */
};

/* In what the cost of a preemption is counted. */
enum amb_preemption_cost {
    AMB_PREEMPTION_COST_LOST_WORK, /* seconds of lost work; only machines that are up */
    AMB_PREEMPTION_COST_IMAGE,     /* whether the image is missing */
};

/* On what terms other work is preempted for a request. */
struct amb_preemption_terms {
    enum amb_preemption_cost cost_kind;
    struct amb_preemptor claim;
    bool image_only; /* only on machines that hold the image */
    /* How many tasks the cycle has placed: each changes what its team uses, and so what is preemptible. */
    uint64_t placed_tasks;
};

/* The slots of a scheduling cycle. They may change and grow in number, but keep their order and zones. */
struct amb_slot_list {
    const struct amb_slot *slots; /* borrowed */
    uint32_t count;
    /* Brings the annotations of a slot up to date. */
    void (*annotate)(void *context, uint32_t slot_index);
    /* What it costs to preempt work on the slot for the request, whether its zone is allowed or not. False:
     * not enough is preemptible. May be NULL where nothing is preempted. */
    bool (*compute_cost)(void *context, uint32_t slot_index, const struct amb_placement_request *request,
                         const struct amb_preemption_terms *terms, double *cost);
    void *context;
};

struct amb_slot_ranking;

enum { AMB_SLOT_RANKINGS_MAX = 192 }; /* cached; the least recently used is evicted */

/* All zero: empty. */
struct amb_slot_rankings {
    struct amb_slot_ranking *cached[AMB_SLOT_RANKINGS_MAX];
    uint32_t count;
    uint64_t query_count;
    uint32_t *changed_slots; /* the log of changes, oldest first */
    uint32_t change_count, change_capacity;
    uint32_t *latest_change; /* of each slot that has changed: its place in the log */
    uint32_t latest_change_capacity;
    uint32_t *place_in_zone; /* of each slot */
    uint32_t indexed_count, place_capacity;
    struct amb_zone_slots {
        uint32_t *slots;
        uint32_t count, capacity;
    } zones[AMB_ZONES_MAX];
};

/* A slot has changed beside its annotations, or something has that these are computed from. */
void amb_slot_rankings_note_change(struct amb_slot_rankings *rankings, uint32_t slot_index);
/* The best feasible slot, annotated; -1: there is none. Of equals the first, as amb_placement_find_best. */
int amb_slot_rankings_find_best(struct amb_slot_rankings *rankings, const struct amb_slot_list *list,
                                const struct amb_slot_annotation *annotation,
                                const struct amb_placement_request *request, bool include_releasing);
/* The slot on which preemption for the request costs least, annotated; -1: there is none. Of equals the
 * first. */
int amb_slot_rankings_find_cheapest_preemption(struct amb_slot_rankings *rankings,
                                               const struct amb_slot_list *list,
                                               const struct amb_slot_annotation *annotation,
                                               const struct amb_placement_request *request,
                                               const struct amb_preemption_terms *terms);
/* Frees what the rankings own, and leaves them empty. */
void amb_slot_rankings_free(struct amb_slot_rankings *rankings);

#endif
