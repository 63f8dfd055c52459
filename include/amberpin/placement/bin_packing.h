/* Bin packing: on which slot a task fits, and how good the slot is. Pure: no input or output.
 *
 * A slot is a machine, or one that might be requested from the cloud, as a scheduling cycle sees it. */
#ifndef AMBERPIN_PLACEMENT_BIN_PACKING_H
#define AMBERPIN_PLACEMENT_BIN_PACKING_H

#include "amberpin/model/model.h"

struct amb_slot {
    struct amb_resources available;
    struct amb_resources releasing_soon; /* of tasks that were told to stop, not yet available */
    double size_gpus;                    /* of the machine */
    int type, zone;                      /* in the catalogue */
    bool spot, has_image, usable;
    double start_risk;           /* 0 to 1: how likely fetching the image makes the start too late */
    struct amb_machine *machine; /* borrowed; NULL: not requested yet */
    uint32_t planned_tasks;      /* by a capacity plan, beside those that the machine runs */
    int reserved_priority;       /* reserved for expected work of this priority; -1: not reserved */
    double long_running_gpus;    /* used by tasks that run until they are cancelled */
    double fetching_gb;          /* images being fetched, which share the rate with a further one */
    bool claimed_by_gang;        /* a gang waits for it: no batch work meanwhile */
    struct amb_resources
        batch_usage;            /* used by batch work when the slot was made: the most that is preemptible */
    uint64_t annotation_serial; /* of the annotation of has_image and start_risk (scheduler/cycle.h) */
    struct amb_resources reserved; /* of what is available, for long-running tasks only */
};

/* What one task needs of a slot. */
struct amb_placement_request {
    struct amb_resources need;
    uint32_t type_mask; /* of allowed types in the catalogue */
    int zone;           /* the only one allowed; -1: any */
    bool spot_allowed;
    const uint32_t *tasks_by_zone; /* borrowed; the job's tasks that are not proven absent */
    uint32_t max_tasks_per_zone;   /* 0: any number */
    bool long_running;             /* until it is cancelled */
    enum amb_priority priority;
    bool deferrable;         /* no start is awaited */
    bool can_wait;           /* deferrable, and it may still wait for capacity that is released */
    bool opportunistic;      /* its team has no guarantee while others have: it uses what they leave idle */
    uint32_t excluded_zones; /* bit mask */
};

/* What is available on the slot; with include_releasing also what is about to be. */
struct amb_resources amb_placement_available(const struct amb_slot *slot, bool include_releasing);
/* May the task be on the slot, whether it fits or not? */
bool amb_placement_is_allowed(const struct amb_placement_request *request, const struct amb_slot *slot);
/* The two parts of this: by the zone alone, and by all but the zone. */
bool amb_placement_is_zone_allowed(const struct amb_placement_request *request, int zone);
bool amb_placement_is_allowed_ignoring_zone(const struct amb_placement_request *request,
                                            const struct amb_slot *slot);
/* Is the slot allowed, leaving its zone aside, and does the task fit? */
bool amb_placement_is_feasible(const struct amb_placement_request *request, const struct amb_slot *slot,
                               bool include_releasing);
/* How good a feasible slot is; the largest score is the best. */
double amb_placement_score(const struct amb_placement_request *request, const struct amb_slot *slot,
                           bool include_releasing);
/* The index of the best feasible slot in an allowed zone, of equals the first; -1: there is none. */
int amb_placement_find_best(const struct amb_placement_request *request, const struct amb_slot *slots,
                            uint32_t count, bool include_releasing);
/* Of a job that is to be spread over zones: half of its tasks, rounded up. */
uint32_t amb_placement_max_tasks_per_zone(uint32_t task_count);
/* Tasks that are not proven absent from a machine whose zone is unknown: they may be in any. */
uint32_t amb_placement_count_tasks_in_unknown_zones(const struct amb_job *job);
/* The start risk (0 to 1) of a fetch that nominally takes fetch_s, where the task is to start in within_s.
 * slack_s: what commands and heartbeats take of that time; negative: no start is awaited, and the risk is the
 * share of the time that the fetch takes. */
double amb_placement_start_risk(double fetch_s, double within_s, double slack_s);

#endif
