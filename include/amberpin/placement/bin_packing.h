/* Bin packing: which slots a task fits on, and how they score. Pure: no input or output.
 * A slot is a scheduling cycle's view of a machine, or of one that might be requested from the cloud. */
#ifndef AMBERPIN_PLACEMENT_BIN_PACKING_H
#define AMBERPIN_PLACEMENT_BIN_PACKING_H

#include "amberpin/model/model.h"

struct amb_slot {
    struct amb_resources available;
    struct amb_resources releasing_soon; /* held by tasks that were told to stop; not yet available */
    double size_gpus;                    /* GPUs of the machine */
    int type, zone;                      /* indices in the catalogue */
    bool spot, has_image, usable;
    double start_risk;                /* 0 to 1: the risk that fetching the image makes the start late */
    struct amb_machine *machine;      /* borrowed; NULL: not requested yet */
    uint32_t planned_tasks;           /* tasks that a capacity plan adds to those that the machine runs */
    int reserved_priority;            /* reserved for expected work of this priority; -1: not reserved */
    double long_running_gpus;         /* GPUs used by tasks that run until they are cancelled */
    double fetching_gb;               /* images being fetched; a further fetch shares the rate with them */
    bool claimed_by_gang;             /* a gang waits for it, so no batch work is placed on it */
    struct amb_resources batch_usage; /* used by batch work when the slot was created: an upper bound of what
                                       * can be preempted */
    uint64_t annotation_serial; /* of the annotation that set has_image and start_risk (scheduler/cycle.h) */
    struct amb_resources reserved; /* part of `available`; for long-running tasks only */
};

/* The requirements of one task. */
struct amb_placement_request {
    struct amb_resources need;
    uint32_t type_mask; /* a bit for each allowed machine type of the catalogue */
    int zone;           /* the only zone allowed; -1: any */
    bool spot_allowed;
    const uint32_t *tasks_by_zone; /* borrowed; the job's tasks in each zone that are not proven absent */
    uint32_t max_tasks_per_zone;   /* 0: any number */
    bool long_running;             /* runs until it is cancelled */
    enum amb_priority priority;
    bool deferrable;         /* batch work without a start objective */
    bool can_wait;           /* deferrable, and there is still time to wait for capacity to be released */
    bool opportunistic;      /* its team has no guarantee while others have; it uses what they leave idle */
    uint32_t excluded_zones; /* bit mask of zones */
};

/* The resources available on the slot; with include_releasing also those that are about to be released. */
struct amb_resources amb_placement_available(const struct amb_slot *slot, bool include_releasing);
/* Returns whether the request's constraints allow the slot, regardless of whether the task fits. */
bool amb_placement_is_allowed(const struct amb_placement_request *request, const struct amb_slot *slot);
/* The two parts of amb_placement_is_allowed: the zone constraints alone, and all other constraints. */
bool amb_placement_is_zone_allowed(const struct amb_placement_request *request, int zone);
bool amb_placement_is_allowed_ignoring_zone(const struct amb_placement_request *request,
                                            const struct amb_slot *slot);
/* Returns whether the slot is allowed, ignoring its zone, and the task fits. */
bool amb_placement_is_feasible(const struct amb_placement_request *request, const struct amb_slot *slot,
                               bool include_releasing);
/* The score of a feasible slot; the highest is the best. */
double amb_placement_score(const struct amb_placement_request *request, const struct amb_slot *slot,
                           bool include_releasing);
/* The index of the best feasible slot in an allowed zone, the first of those that score the same; -1: there
 * is none. */
int amb_placement_find_best(const struct amb_placement_request *request, const struct amb_slot *slots,
                            uint32_t count, bool include_releasing);
/* The limit of tasks per zone for a job that is to be spread over zones: half of its tasks, rounded up. */
uint32_t amb_placement_max_tasks_per_zone(uint32_t task_count);
/* Counts the job's tasks that are not proven absent from a machine whose zone is unknown. They may be in any
 * zone. */
uint32_t amb_placement_count_tasks_in_unknown_zones(const struct amb_job *job);
/* The start risk (0 to 1) of a fetch that nominally takes fetch_s when the task is to start within within_s.
 * slack_s is the part of that time that commands and heartbeats take. If it is negative, there is no start
 * objective and the risk is the share of within_s that the fetch takes. */
double amb_placement_start_risk(double fetch_s, double within_s, double slack_s);

#endif
