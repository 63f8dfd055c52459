/* The leader's round: its view of the world, the order of what waits, and admission. A round is made, used
 * and freed within one turn of the loop; it reads other modules' state and starts tasks through `jobs`. */
#ifndef AMBERPIN_ROUND_H
#define AMBERPIN_ROUND_H

#include "amberpin/node/node.h"
#include "amberpin/placement/bin_packing.h"
#include "amberpin/placement/slot_ranking.h"

struct amb_line { /* a team's waiting jobs, in order */
    struct amb_job **jobs;
    uint32_t n, at;
};

struct amb_round {
    struct amb_node *n;
    amb_ms now;
    struct amb_slot *slots;
    uint32_t nslots, cap;
    struct amb_job **jobs; /* all waiting jobs, most urgent first */
    uint32_t njobs;
    struct amb_line lines[AMB_TEAMS];
    bool urgent_pass;
    uint32_t zones_without_batch; /* as a mask (zone_recovery.h) */
    uint8_t recovery_pass;        /* jobs of later steps of the order of return have no turn */
    bool by_gpus;
    struct amb_slot_marking marking; /* what slots are marked for, each when it is looked at */
    uint64_t marking_serial;
    uint64_t placed_tasks; /* by this round */
    struct amb_slot_rankings rankings;
};

/* On what grounds a job may have other work stopped. */
struct amb_claim {
    enum amb_priority priority;
    const struct amb_team *team;
    bool guaranteed; /* it fits in what its team is guaranteed */
};

struct amb_round *amb_round_new(struct amb_node *node,
                                amb_ms now); /* sees usable machines and waiting jobs */
void amb_round_free(struct amb_round *cycle);
uint32_t amb_round_admit(struct amb_round *cycle); /* weighted turns over the teams; tasks or gangs placed */

/* For planning. */
void amb_round_add_coming(struct amb_round *cycle); /* machines that boot, and those asked for */
struct amb_slot *amb_round_add_type(struct amb_round *cycle, int type, int zone, bool spot);
bool amb_round_wants_start(const struct amb_round *cycle, const struct amb_job *job);
void amb_round_wish(struct amb_round *cycle, struct amb_job *job, struct amb_wish *request);
/* Batch work leaves the task this room on the slot's machine until the next plan. */
void amb_round_reserve(struct amb_slot *slot, const struct amb_job_spec *spec);
/* From now on marks say where the image is, and what fetching it elsewhere means for a start in time (or,
 * when nobody waits for its start, takes of what the task runs for). */
void amb_round_mark(struct amb_round *cycle, const struct amb_job_spec *spec, const char *image);
/* From now on they say that any room will do. */
void amb_round_mark_any(struct amb_round *cycle);
/* The slot, its marks made. Each slot is marked when it is first looked at. */
struct amb_slot *amb_round_slot(struct amb_round *cycle, uint32_t i);
/* The slot has changed: its room, what is about to be free, what lasts, what is fetched, or whether it may be
 * used. */
void amb_round_slot_changed(struct amb_round *cycle, const struct amb_slot *slot);
/* Best of the slots for the wish under the marks of now, its marks made; or -1. */
int amb_round_pick(struct amb_round *cycle, const struct amb_wish *request, bool soon);
bool amb_round_place_gang(struct amb_round *cycle, struct amb_job *job, int *where, bool soon);
struct amb_claim amb_round_claim(const struct amb_job_spec *spec, const struct amb_team *team);
/* A slot with free room for the wish, or else, and also where that lacks the image, one whose work would make
 * way for the claim: that is as good as free room. NULL if there is none. */
struct amb_slot *amb_round_headroom(struct amb_round *cycle, const struct amb_wish *request,
                                    const struct amb_claim *claim);
bool amb_round_makes_way(const struct amb_task *task, const struct amb_claim *c);
struct amb_slot *amb_round_make_room(struct amb_round *cycle, struct amb_job *job,
                                     const struct amb_wish *request, bool image_only);
bool amb_round_make_room_gang(struct amb_round *cycle, struct amb_job *job);

#endif
