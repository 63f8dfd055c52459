/* Where a task fits: pure, no input or output. A slot is a machine, or one that might be rented, as a round
 * sees it. */
#ifndef AMBERPIN_PLACE_H
#define AMBERPIN_PLACE_H

#include "amberpin/model/model.h"

struct amb_slot {
    struct amb_resources available;      /* what is free */
    struct amb_resources releasing_soon; /* and what will be once tasks that were told to stop have gone */
    double size_gpus;                    /* of the machine */
    int type, zone;
    bool spot, has_image, usable;
    double start_risk; /* how ill the fetch of its image bodes for the task's start in time; 0 to 1 */
    struct amb_machine *machine; /* NULL: would be rented */
    uint32_t planned_tasks;      /* tasks that a plan has given it, on top of what it runs */
    int reserved_priority;       /* for expected work of this priority, that users wait for; -1: not kept */
    double long_running_gpus;    /* GPUs of tasks that run until they are cancelled */
    double fetching_gb;          /* images on their way there, which a further fetch shares the rate with */
    bool claimed_by_gang;        /* by a gang that waits for the room: no batch work meanwhile */
    struct amb_resources
        batch_usage; /* of its room, what batch work took when the slot was made: no more can be had of it */
    uint64_t annotation_serial;    /* the marking that has_image and late are of (cycle.h) */
    struct amb_resources reserved; /* of its room, for tasks that last: batch work leaves it alone */
};

struct amb_placement_request { /* what one task needs */
    struct amb_resources need;
    uint32_t type_mask;
    int zone; /* the only allowed; -1: any */
    bool spot_allowed;
    const uint32_t *tasks_by_zone; /* the job's tasks by zone, unproven ones included */
    uint32_t max_tasks_per_zone;   /* at most so many in one zone; 0: any number */
    bool long_running;             /* runs until it is cancelled */
    enum amb_priority priority;
    bool deferrable;         /* nobody waits for its start */
    bool can_wait;           /* and it will be done in time all the same */
    bool opportunistic;      /* of a team that is guaranteed nothing: it uses what others leave idle */
    uint32_t excluded_zones; /* no task at all in these, as a mask */
};

/* What is free on it; with soon, what is about to be, too. */
struct amb_resources amb_placement_available(const struct amb_slot *slot, bool include_releasing);
bool amb_placement_is_allowed(const struct amb_placement_request *request, const struct amb_slot *slot);
/* The parts of amb_placement_find_best's choice: may the job have tasks in the zone; is the slot allowed in
 * any zone, and has it the room; and how good it is. The best score wins, of equals the first slot. */
bool amb_placement_is_zone_allowed(const struct amb_placement_request *request, int zone);
bool amb_placement_is_allowed_ignoring_zone(const struct amb_placement_request *request,
                                            const struct amb_slot *slot);
bool amb_placement_is_feasible(const struct amb_placement_request *request, const struct amb_slot *slot,
                               bool include_releasing);
double amb_placement_score(const struct amb_placement_request *request, const struct amb_slot *slot,
                           bool include_releasing);
/* Best of the slots that can take it, or -1. With soon, room that is about to come counts too. */
int amb_placement_find_best(const struct amb_placement_request *request, const struct amb_slot *slots,
                            uint32_t count, bool include_releasing);
uint32_t amb_placement_max_tasks_per_zone(uint32_t tasks);
/* Tasks that are not proven absent from a machine whose zone is unknown: they may be in any. */
uint32_t amb_placement_count_tasks_in_unknown_zones(const struct amb_job *job);
/* A slot's `late`, for a fetch that nominally takes fetch_s of the within_s in which the task is to start.
 * slack_s: what order and report take; negative: nobody counts starts, only the time matters. */
double amb_placement_start_risk(double fetch_s, double within_s, double slack_s);

#endif
