/* Bin packing: feasibility of slots for placement requests, and the scores by which the best slot is chosen.
 */
#include "amberpin/placement/bin_packing.h"

#include <float.h>
#include <math.h>

/* Weights of a score. A slot's start risk and fullness are shares from 0 to 1. */
static const double START_WEIGHT = 7;
static const double DEFERRABLE_START_WEIGHT = 0.5; /* where no start is awaited */
static const double SPOT_WEIGHT = 2;
static const double FULLNESS_WITHOUT_GPUS_WEIGHT = 3;
static const double RESERVED_PENALTY = 2;
static const double LONG_RUNNING_WEIGHT = 1.5;
/* A fetch takes its nominal time, give or take this share of it (the protocol). */
static const double FETCH_SPREAD = 1.0 / 3;
/* The weight of the chance to be late in a start risk; the rest is that of the time itself. */
static const double CHANCE_WEIGHT = 0.85;

uint32_t amb_placement_max_tasks_per_zone(uint32_t task_count) {
    return (task_count + 1) / 2;
}

uint32_t amb_placement_count_tasks_in_unknown_zones(const struct amb_job *job) {
    uint32_t known = 0;
    for (uint32_t zone = 0; zone < AMB_ZONES_MAX; zone++) known += job->zone_task_counts[zone];
    /* More are known while a capacity plan counts tasks that are not placed yet. */
    return job->bound_count > known ? job->bound_count - known : 0;
}

/* A start in time is what counts: of two machines that are both too slow, the faster one is hardly better,
 * and of two that are both fast enough neither. (When only the share of the time was weighed, 9 s and 19 s of
 * 10 s came out alike, and services went to where they would surely start late.) */
double amb_placement_start_risk(double fetch_s, double within_s, double slack_s) {
    if (fetch_s <= 0 || within_s <= 0) return 0;
    double share = fmin(1, fetch_s / within_s);
    if (slack_s < 0) return share;
    double chance_in_time = ((within_s - slack_s) / fetch_s - (1 - FETCH_SPREAD)) / (2 * FETCH_SPREAD);
    return CHANCE_WEIGHT * (1 - fmax(0, fmin(1, chance_in_time))) + (1 - CHANCE_WEIGHT) * share;
}

/* Work of lower priority is preempted when the expected work comes; other batch work stays clear of it. So
 * does opportunistic work, since preemption takes time. (Gangs to be started within 25 s, 20 of which their
 * image took, were 4 s late on machines that a guest's idle-time work had filled.) */
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

/* A task without GPUs keeps clear of machines that have some free: what it takes of their cores is then
 * missing to work that needs both. That a machine is cheap says nothing for it, since GPUs are what is paid
 * for. (Gangs that need whole machines once waited for 50 s with 200 GPUs free, each machine with a few such
 * tasks.) */
static double compute_packing_score(const struct amb_placement_request *request, const struct amb_slot *slot,
                                    double free_gpus) {
    double spot_score = slot->spot ? SPOT_WEIGHT : 0;
    if (slot->size_gpus <= 0) return spot_score;
    double fullness = 1 - (free_gpus - request->need.gpus) / slot->size_gpus;
    return request->need.gpus > 0 ? spot_score + fullness : FULLNESS_WITHOUT_GPUS_WEIGHT * fullness;
}

/* An image at hand, or soon fetched, first: fetching takes longer than most tasks may wait. Then spot
 * machines, which only some jobs can use. Then the fullest, so that others become empty and can be released.
 */
double amb_placement_score(const struct amb_placement_request *request, const struct amb_slot *slot,
                           bool include_releasing) {
    double free_gpus = amb_placement_available(slot, include_releasing).gpus;
    double start_weight = request->deferrable ? DEFERRABLE_START_WEIGHT : START_WEIGHT;
    double score = start_weight * (1 - slot->start_risk) + compute_packing_score(request, slot, free_gpus);
    if (is_reserved_against(request, slot)) score -= RESERVED_PENALTY;
    /* Long-running tasks keep together: a machine with one of them can't be released, and a machine with none
     * can as soon as its batch work ends. */
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
