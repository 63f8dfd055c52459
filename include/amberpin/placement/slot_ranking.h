/* Finds the best slot for a placement request without scanning all slots each time. Pure: no input or output.
 *
 * Tasks of the same shape query the best slot repeatedly within a scheduling cycle, and only a few slots
 * change between two queries. So scores are cached by shape, in a winner tree for each zone: with n slots, of
 * which k have changed since the shape's previous query, a query takes O(k log n) time. The result is that of
 * amb_placement_find_best over all slots. (With 4,000 machines, a cycle that scanned all slots for each task
 * took 1.2 s of CPU time.) */
#ifndef AMBERPIN_PLACEMENT_SLOT_RANKING_H
#define AMBERPIN_PLACEMENT_SLOT_RANKING_H

#include "amberpin/placement/bin_packing.h"

/* The inputs from which the `has_image` and `start_risk` of slots are computed. */
struct amb_slot_annotation {
    const char *image; /* borrowed */
    double image_gb;
    double within_s, slack_s; /* as for amb_placement_start_risk */
    bool ignores_image;       /* start_risk is 0 wherever the image is; the other members are not used */
};

/* What decides which work may be preempted for a job. */
struct amb_preemptor {
    enum amb_priority priority;
    const struct amb_team *team; /* borrowed; NULL: unknown */
    bool within_guarantee;       /* the job fits into the unused part of its team's guarantee */
};

/* How the cost of a preemption is measured. */
enum amb_preemption_cost {
    AMB_PREEMPTION_COST_LOST_WORK, /* in seconds of lost work; only machines that are up are considered */
    AMB_PREEMPTION_COST_IMAGE,     /* 0 if the machine holds the image, else 1 */
};

/* How work may be preempted for a request. */
struct amb_preemption_terms {
    enum amb_preemption_cost cost_kind;
    struct amb_preemptor preemptor;
    bool image_only; /* only machines that hold the image are considered */
    /* Number of tasks that the cycle has placed. Each changes its team's usage, and so which work is
     * preemptible. */
    uint64_t placed_tasks;
};

/* The slots of a scheduling cycle. Slots may change and be appended, but keep their order and zones. */
struct amb_slot_list {
    const struct amb_slot *slots; /* borrowed */
    uint32_t count;
    /* Updates the annotations of a slot. */
    void (*annotate)(void *context, uint32_t slot_index);
    /* Computes the cost of preempting work on the slot for the request, regardless of whether its zone is
     * allowed. False: not enough is preemptible. May be NULL if nothing is preempted. */
    bool (*compute_cost)(void *context, uint32_t slot_index, const struct amb_placement_request *request,
                         const struct amb_preemption_terms *terms, double *cost);
    void *context;
};

struct amb_slot_ranking;

enum { AMB_SLOT_RANKINGS_MAX = 192 }; /* cached rankings; the least recently used is evicted */

/* Zero-initialised: empty. */
struct amb_slot_rankings {
    struct amb_slot_ranking *cached[AMB_SLOT_RANKINGS_MAX];
    uint32_t count;
    uint64_t query_count;
    uint32_t *changed_slots; /* the log of changes, oldest first */
    uint32_t change_count, change_capacity;
    uint32_t *latest_change; /* for each slot that has changed, the index in the log of its latest change */
    uint32_t latest_change_capacity;
    uint32_t *place_in_zone; /* for each slot, its index in the `slots` of its zone */
    uint32_t indexed_count, place_capacity;
    struct amb_zone_slots {
        uint32_t *slots;
        uint32_t count, capacity;
    } zones[AMB_ZONES_MAX];
};

/* To be called after each change of a slot other than to its annotations, and after each change of the data
 * that its annotations are computed from. */
void amb_slot_rankings_mark_changed(struct amb_slot_rankings *rankings, uint32_t slot_index);
/* Returns the index of the best feasible slot, with its annotations up to date; -1: there is none. Of slots
 * that score the same it is the first, as with amb_placement_find_best. */
int amb_slot_rankings_find_best(struct amb_slot_rankings *rankings, const struct amb_slot_list *list,
                                const struct amb_slot_annotation *annotation,
                                const struct amb_placement_request *request, bool include_releasing);
/* Returns the index of the slot on which preemption for the request costs least, with its annotations up to
 * date; -1: there is none. Of slots with the same cost it is the first. */
int amb_slot_rankings_find_cheapest_preemption(struct amb_slot_rankings *rankings,
                                               const struct amb_slot_list *list,
                                               const struct amb_slot_annotation *annotation,
                                               const struct amb_placement_request *request,
                                               const struct amb_preemption_terms *terms);
/* Frees the memory that the rankings own and leaves them empty. */
void amb_slot_rankings_free(struct amb_slot_rankings *rankings);

#endif
