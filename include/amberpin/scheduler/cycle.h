/* The leader's round: its view of the world, the order of what waits, and admission. A round is made, used
 * and freed within one turn of the loop; it reads other modules' state and starts tasks through `jobs`. */
#ifndef AMBERPIN_ROUND_H
#define AMBERPIN_ROUND_H

#include "amberpin/node/node.h"
#include "amberpin/placement/bin_packing.h"
#include "amberpin/placement/slot_ranking.h"

struct amb_team_queue { /* a team's waiting jobs, in order */
    struct amb_job **jobs;
    uint32_t count, cursor;
};

struct amb_cycle {
    struct amb_node *node;
    amb_ms now;
    struct amb_slot *slots;
    uint32_t slot_count, slot_capacity;
    struct amb_job **jobs; /* all waiting jobs, most urgent first */
    uint32_t job_count;
    struct amb_team_queue team_queues[AMB_TEAMS_MAX];
    bool urgent_pass;
    uint32_t zones_without_batch; /* as a mask (zone_recovery.h) */
    uint8_t recovery_pass;        /* jobs of later steps of the order of return have no turn */
    bool sized_by_gpus;
    struct amb_slot_annotation annotation; /* what slots are marked for, each when it is looked at */
    uint64_t annotation_serial;
    uint64_t placed_tasks; /* by this round */
    struct amb_slot_rankings rankings;
};

/* On what grounds a job may have other work stopped. */
struct amb_preemption_claim {
    enum amb_priority priority;
    const struct amb_team *team;
    bool within_guarantee; /* it fits in what its team is guaranteed */
};

struct amb_cycle *amb_cycle_new(struct amb_node *node,
                                amb_ms now); /* sees usable machines and waiting jobs */
void amb_cycle_free(struct amb_cycle *cycle);
uint32_t amb_cycle_admit(struct amb_cycle *cycle); /* weighted turns over the teams; tasks or gangs placed */

/* For planning. */
void amb_cycle_add_pending_machines(struct amb_cycle *cycle); /* machines that boot, and those asked for */
struct amb_slot *amb_cycle_add_slot(struct amb_cycle *cycle, int type, int zone, bool spot);
bool amb_cycle_is_schedulable(const struct amb_cycle *cycle, const struct amb_job *job);
void amb_cycle_init_request(struct amb_cycle *cycle, struct amb_job *job,
                            struct amb_placement_request *request);
/* Batch work leaves the task this room on the slot's machine until the next plan. */
void amb_cycle_reserve_on_slot(struct amb_slot *slot, const struct amb_job_spec *spec);
/* From now on marks say where the image is, and what fetching it elsewhere means for a start in time (or,
 * when nobody waits for its start, takes of what the task runs for). */
void amb_cycle_annotate_for_image(struct amb_cycle *cycle, const struct amb_job_spec *spec,
                                  const char *image);
/* From now on they say that any room will do. */
void amb_cycle_annotate_ignoring_image(struct amb_cycle *cycle);
/* The slot, its marks made. Each slot is marked when it is first looked at. */
struct amb_slot *amb_cycle_get_slot(struct amb_cycle *cycle, uint32_t slot_index);
/* The slot has changed: its room, what is about to be free, what lasts, what is fetched, or whether it may be
 * used. */
void amb_cycle_note_slot_change(struct amb_cycle *cycle, const struct amb_slot *slot);
/* Best of the slots for the wish under the marks of now, its marks made; or -1. */
int amb_cycle_find_best_slot(struct amb_cycle *cycle, const struct amb_placement_request *request,
                             bool include_releasing);
bool amb_cycle_place_gang(struct amb_cycle *cycle, struct amb_job *job, int *slot_indices,
                          bool include_releasing);
struct amb_preemption_claim amb_cycle_make_claim(const struct amb_job_spec *spec,
                                                 const struct amb_team *team);
/* A slot with free room for the wish, or else, and also where that lacks the image, one whose work would make
 * way for the claim: that is as good as free room. NULL if there is none. */
struct amb_slot *amb_cycle_find_reservable_slot(struct amb_cycle *cycle,
                                                const struct amb_placement_request *request,
                                                const struct amb_preemption_claim *claim);
bool amb_cycle_is_preemptible_by(const struct amb_task *task, const struct amb_preemption_claim *claim);
struct amb_slot *amb_cycle_preempt_for(struct amb_cycle *cycle, struct amb_job *job,
                                       const struct amb_placement_request *request, bool image_only);
bool amb_cycle_preempt_for_gang(struct amb_cycle *cycle, struct amb_job *job);

#endif
