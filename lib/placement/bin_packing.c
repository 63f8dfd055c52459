/* Bin packing: feasibility of slots for placement requests, and the scores that decide between slots. */
#include "amberpin/placement/bin_packing.h"

#include <float.h>
#include <math.h>

/* Weights of the parts of a score. A slot's start risk and fullness range from 0 to 1. */
static const double START_WEIGHT = 7;
static const double DEFERRABLE_START_WEIGHT = 0.5; /* for requests without a start objective */
static const double SPOT_WEIGHT = 2;
static const double FULLNESS_WITHOUT_GPUS_WEIGHT = 3;
static const double RESERVED_PENALTY = 2;
static const double LONG_RUNNING_WEIGHT = 1.5;
/* The time of a fetch deviates from its nominal time by up to this share of it (given by the protocol). */
static const double FETCH_TIME_VARIATION = 1.0 / 3;
/* The weight of the probability of a late start in the start risk; the rest is that of the fetch time. */
static const double LATE_PROBABILITY_WEIGHT = 0.85;

uint32_t amb_placement_max_tasks_per_zone(uint32_t task_count) {
    return (task_count + 1) / 2;
}

uint32_t amb_placement_count_tasks_in_unknown_zones(const struct amb_job *job) {
    uint32_t known = 0;
    for (uint32_t zone = 0; zone < AMB_ZONES_MAX; zone++) known += job->zone_task_counts[zone];
    /* During a capacity plan `known` may be larger: it includes planned tasks that are not bound yet. */
    return job->bound_count > known ? job->bound_count - known : 0;
}

/* What counts is whether the start is in time: of two machines that are both too slow the faster one is
 * hardly better, and two that are both fast enough are about equal. With the fetch's share of the time alone,
 * fetches of 9 s and 19 s within 10 s scored about the same, and services were placed where they were certain
 * to start late. */
double amb_placement_start_risk(double fetch_s, double within_s, double slack_s) {
    if (fetch_s <= 0 || within_s <= 0) return 0;
    double share = fmin(1, fetch_s / within_s);
    if (slack_s < 0) return share;
    double probability_in_time =
        ((within_s - slack_s) / fetch_s - (1 - FETCH_TIME_VARIATION)) / (2 * FETCH_TIME_VARIATION);
    return LATE_PROBABILITY_WEIGHT * (1 - fmax(0, fmin(1, probability_in_time))) +
           (1 - LATE_PROBABILITY_WEIGHT) * share;
}

/* Batch work of lower priority than the reservation may use the slot, since it is preempted when the expected
 * work arrives; other batch work is kept off. So is opportunistic work, since preemption takes time: gangs
 * that were to start within 25 s, 20 s of which their image fetch took, started 4 s late on machines filled
 * with opportunistic work. */
static bool is_reserved_against(const struct amb_placement_request *request, const struct amb_slot *slot) {
    if (!request->deferrable || slot->reserved_priority < 0) return false;
    return request->opportunistic || (int)request->priority >= slot->reserved_priority;
}

struct amb_resources amb_placement_available(const struct amb_slot *slot, bool include_releasing) {
    struct amb_resources available = slot->available;
    if (include_releasing) amb_resources_add(&available, &slot->releasing_soon, 1);
    return available;
}

bool amb_placement_is_zone_allowed(const struct amb_placement_request *request, int zone) {
    if (request->zone >= 0 && request->zone != zone) return false;
    if (request->excluded_zones >> zone & 1) return false;
    return !request->max_tasks_per_zone || request->tasks_by_zone[zone] < request->max_tasks_per_zone;
}

bool amb_placement_is_allowed_ignoring_zone(const struct amb_placement_request *request,
                                            const struct amb_slot *slot) {
    if (!slot->usable || slot->type < 0 || slot->zone < 0) return false;
    if (!(request->type_mask >> slot->type & 1)) return false;
    if (slot->spot && !request->spot_allowed) return false;
    if (request->can_wait && is_reserved_against(request, slot)) return false;
    return !slot->claimed_by_gang ||
           (!request->deferrable && (int)request->priority >= slot->reserved_priority);
}

bool amb_placement_is_allowed(const struct amb_placement_request *request, const struct amb_slot *slot) {
    return amb_placement_is_allowed_ignoring_zone(request, slot) &&
           amb_placement_is_zone_allowed(request, slot->zone);
}

bool amb_placement_is_feasible(const struct amb_placement_request *request, const struct amb_slot *slot,
                               bool include_releasing) {
    if (!amb_placement_is_allowed_ignoring_zone(request, slot)) return false;
    struct amb_resources available = amb_placement_available(slot, include_releasing);
    if (!request->long_running) amb_resources_add(&available, &slot->reserved, -1);
    return amb_resources_fit(&request->need, &available);
}

/* A task without GPUs avoids machines with free GPUs, because the cores that it uses there are missing for
 * work that needs both. Among such machines spot instances are not preferred, because their price is that of
 * their GPUs. Gangs that need whole machines once waited for 50 s while 200 GPUs were free, since each
 * machine ran a few such tasks. */
static double compute_packing_score(const struct amb_placement_request *request, const struct amb_slot *slot,
                                    double free_gpus) {
    double spot_score = slot->spot ? SPOT_WEIGHT : 0;
    if (slot->size_gpus <= 0) return spot_score;
    double fullness = 1 - (free_gpus - request->need.gpus) / slot->size_gpus;
    return request->need.gpus > 0 ? spot_score + fullness : FULLNESS_WITHOUT_GPUS_WEIGHT * fullness;
}

/* Prefers slots that hold the image or can fetch it soon, because fetching takes longer than most tasks may
 * wait; then spot machines, which only some jobs can use; then the fullest slots, so that others become empty
 * and can be released. */
double amb_placement_score(const struct amb_placement_request *request, const struct amb_slot *slot,
                           bool include_releasing) {
    double free_gpus = amb_placement_available(slot, include_releasing).gpus;
    double start_weight = request->deferrable ? DEFERRABLE_START_WEIGHT : START_WEIGHT;
    double score = start_weight * (1 - slot->start_risk) + compute_packing_score(request, slot, free_gpus);
    if (is_reserved_against(request, slot)) score -= RESERVED_PENALTY;
    /* Long-running tasks are packed together: a machine that runs one can't be released, while a machine
     * without any can be released as soon as its batch work ends. */
    if (slot->size_gpus > 0 && request->long_running)
        score += LONG_RUNNING_WEIGHT * slot->long_running_gpus / slot->size_gpus;
    return score;
}

int amb_placement_find_best(const struct amb_placement_request *request, const struct amb_slot *slots,
                            uint32_t count, bool include_releasing) {
    int best = -1;
    double best_score = -DBL_MAX;
    for (uint32_t i = 0; i < count; i++) {
        const struct amb_slot *slot = &slots[i];
        if (!amb_placement_is_feasible(request, slot, include_releasing) ||
            !amb_placement_is_zone_allowed(request, slot->zone))
            continue;
        double score = amb_placement_score(request, slot, include_releasing);
        if (score > best_score) {
            best_score = score;
            best = (int)i;
        }
    }
    return best;
}
