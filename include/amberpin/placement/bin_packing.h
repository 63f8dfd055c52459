/* Where a task fits: pure, no input or output. A slot is a machine, or one that might be rented, as a round
 * sees it. */
#ifndef AMBERPIN_PLACE_H
#define AMBERPIN_PLACE_H

#include "amberpin/model/model.h"

struct amb_slot {
    struct amb_resources room; /* what is free */
    struct amb_resources soon; /* and what will be once tasks that were told to stop have gone */
    double size_gpus;          /* of the machine */
    int type, zone;
    bool spot, has_image, usable;
    double late; /* how ill the fetch of its image bodes for the task's start in time; 0 to 1 */
    struct amb_machine *machine; /* NULL: would be rented */
    uint32_t planned;            /* tasks that a plan has given it, on top of what it runs */
    int kept_for;                /* for expected work of this priority, that users wait for; -1: not kept */
    double lasting;              /* GPUs of tasks that run until they are cancelled */
    double fetching_gb;          /* images on their way there, which a further fetch shares the rate with */
    bool claimed;                /* by a gang that waits for the room: no batch work meanwhile */
    struct amb_resources
        batch; /* of its room, what batch work took when the slot was made: no more can be had of it */
    uint64_t marked_in;            /* the marking that has_image and late are of (cycle.h) */
    struct amb_resources reserved; /* of its room, for tasks that last: batch work leaves it alone */
};

struct amb_wish { /* what one task needs */
    struct amb_resources need;
    uint32_t type_mask;
    int zone; /* the only allowed; -1: any */
    bool spot;
    const uint32_t *zone_used; /* the job's tasks by zone, unproven ones included */
    uint32_t zone_most;        /* at most so many in one zone; 0: any number */
    bool lasting;              /* runs until it is cancelled */
    enum amb_priority priority;
    bool patient;          /* nobody waits for its start */
    bool can_wait;         /* and it will be done in time all the same */
    bool opportunistic;    /* of a team that is guaranteed nothing: it uses what others leave idle */
    uint32_t zones_barred; /* no task at all in these, as a mask */
};

/* What is free on it; with soon, what is about to be, too. */
struct amb_resources amb_place_room(const struct amb_slot *slot, bool soon);
bool amb_place_allowed(const struct amb_wish *request, const struct amb_slot *slot);
/* The parts of amb_place_pick's choice: may the job have tasks in the zone; is the slot allowed in any zone,
 * and has it the room; and how good it is. The best score wins, of equals the first slot. */
bool amb_place_zone_allowed(const struct amb_wish *request, int zone);
bool amb_place_allowed_in_any_zone(const struct amb_wish *request, const struct amb_slot *slot);
bool amb_place_fits(const struct amb_wish *request, const struct amb_slot *slot, bool soon);
double amb_place_score(const struct amb_wish *request, const struct amb_slot *slot, bool soon);
/* Best of the slots that can take it, or -1. With soon, room that is about to come counts too. */
int amb_place_pick(const struct amb_wish *request, const struct amb_slot *slots, uint32_t count, bool soon);
uint32_t amb_place_spread_most(uint32_t tasks);
/* Tasks that are not proven absent from a machine whose zone is unknown: they may be in any. */
uint32_t amb_job_tasks_in_unknown_zones(const struct amb_job *job);
/* A slot's `late`, for a fetch that nominally takes fetch_s of the within_s in which the task is to start.
 * slack_s: what order and report take; negative: nobody counts starts, only the time matters. */
double amb_place_late(double fetch_s, double within_s, double slack_s);

#endif
