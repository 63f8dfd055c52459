/* A scheduling cycle of the leader: a view of its machines and waiting jobs, and the admission of jobs to
 * machines. A cycle is created, used and freed within one callback of the event loop, so that the view can't
 * become stale. It reads the state of other modules and binds tasks through `job/tasks.h`.
 *
 * The functions below are grouped by the file that implements them. */
#ifndef AMBERPIN_SCHEDULER_CYCLE_H
#define AMBERPIN_SCHEDULER_CYCLE_H

#include "amberpin/node/node.h"
#include "amberpin/placement/bin_packing.h"
#include "amberpin/placement/slot_ranking.h"

/* The waiting jobs of one team, most urgent first. */
struct amb_team_queue {
    struct amb_job **jobs; /* borrowed jobs in an owned array */
    uint32_t count;
    uint32_t cursor; /* the next job to be tried in this cycle */
};

/* Which jobs a pass of admission may admit. */
struct amb_admission_pass {
    uint8_t max_recovery_step; /* steps of the recovery order (zone_recovery.h) */
    enum amb_priority min_priority;
};

struct amb_cycle {
    struct amb_node *node; /* borrowed */
    amb_ms now;
    struct amb_slot *slots;
    uint32_t slot_count, slot_capacity;
    struct amb_job **jobs; /* all waiting jobs, most urgent first; the jobs are borrowed */
    uint32_t job_count;
    struct amb_team_queue team_queues[AMB_TEAMS_MAX]; /* in the order of the teams in the settings */
    struct amb_admission_pass pass;                   /* the one under way */
    uint32_t zones_without_batch;                     /* bit mask of zones (zone_recovery.h) */
    bool sized_by_gpus;                               /* items are sized in GPUs, not in cores (wdrr.h) */
    struct amb_slot_annotation annotation;            /* the one that slots are annotated for on access */
    uint64_t annotation_serial;                       /* changes with each annotation */
    uint64_t placed_tasks;                            /* by this cycle */
    struct amb_slot_rankings rankings;
};

/* ---- life of a cycle (cycle.c) ---- */

/* Collects the machines that may be used and the jobs that may start now. */
struct amb_cycle *amb_cycle_new(struct amb_node *node, amb_ms now);
void amb_cycle_free(struct amb_cycle *cycle);

/* ---- view of the fleet (fleet_view.c) ---- */

/* Adds an empty slot of the catalogue's machine type: a machine that does not exist yet. The result is valid
 * until the next slot is added. */
struct amb_slot *amb_cycle_add_slot(struct amb_cycle *cycle, int type, int zone, bool spot);
/* Adds machines that boot, and those that have been requested from the cloud but have no name yet. */
void amb_cycle_add_pending_machines(struct amb_cycle *cycle);

/* ---- queues (job_queue.c) ---- */

/* May a task of the job (all of them, if it is a gang) be placed now? */
bool amb_cycle_is_schedulable(const struct amb_cycle *cycle, const struct amb_job *job);

/* ---- placement requests (placement_request.c) ---- */

/* What one waiting task of the job needs. The request borrows the job's counts of tasks by zone. */
void amb_cycle_init_request(struct amb_cycle *cycle, struct amb_job *job,
                            struct amb_placement_request *request);

/* ---- slots and their annotations (slot_annotation.c) ---- */

/* From now on slots are annotated with whether they hold the image and with the risk that fetching it delays
 * a start. Where no start is awaited, the risk is the share of the task's runtime that the fetch takes.
 * The image's name is borrowed until the next annotation. */
void amb_cycle_annotate_for_image(struct amb_cycle *cycle, const struct amb_job_spec *spec,
                                  const char *image);
/* From now on slots are annotated as if the place of the image did not matter. */
void amb_cycle_annotate_ignoring_image(struct amb_cycle *cycle);
/* The slot with up-to-date annotations, which are computed at the first access. */
struct amb_slot *amb_cycle_get_slot(struct amb_cycle *cycle, uint32_t slot_index);
/* To be called after each change of a slot beside its annotations, or of what these are computed from. */
void amb_cycle_note_slot_change(struct amb_cycle *cycle, const struct amb_slot *slot);
/* Takes the resources from what is available on the slot. */
void amb_cycle_take_resources(struct amb_cycle *cycle, struct amb_slot *slot,
                              const struct amb_resources *resources);
/* The best slot for the request, annotated; -1: none is feasible. */
int amb_cycle_find_best_slot(struct amb_cycle *cycle, const struct amb_placement_request *request,
                             bool include_releasing);

/* ---- reservations for replicas that recover (reservation.c) ---- */

/* Batch work leaves one task's resources on the slot's machine free until the next capacity plan. */
void amb_cycle_reserve_on_slot(struct amb_slot *slot, const struct amb_job_spec *spec);

/* ---- preemption (preemption.c) ---- */

/* The claim of a job of this kind; the priority is the job's own. */
struct amb_preemptor amb_cycle_make_claim(const struct amb_job_spec *spec, const struct amb_team *team);
/* Likewise, with the job's effective priority. */
struct amb_preemptor amb_cycle_make_job_claim(const struct amb_job *job);
/* May the task be stopped for a job with the claim? */
bool amb_cycle_is_preemptible_by(const struct amb_task *task, const struct amb_preemptor *claim);
/* A slot with the image and enough available; else the one with the image, or at least any, on which
 * preemptible work leaves enough: that is as good as available. NULL: there is none. */
struct amb_slot *amb_cycle_find_reservable_slot(struct amb_cycle *cycle,
                                                const struct amb_placement_request *request,
                                                const struct amb_preemptor *claim);
/* Stops the work whose loss costs least and takes the slot for a task of the job. With image_only, only on
 * machines that hold the job's image. NULL: nothing was stopped. */
struct amb_slot *amb_cycle_preempt_for(struct amb_cycle *cycle, struct amb_job *job,
                                       const struct amb_placement_request *request, bool image_only);

/* ---- gang scheduling (gang_placement.c) ---- */

/* Chooses a slot for each task of the gang: slot_indices has room for all of them. All or none: on success
 * the resources and the job's counts by zone are taken, else they are as before. */
bool amb_cycle_place_gang(struct amb_cycle *cycle, struct amb_job *job, int *slot_indices,
                          bool include_releasing);
/* Gives back what amb_cycle_place_gang took for the first `count` tasks. */
void amb_cycle_unplace_gang(struct amb_cycle *cycle, struct amb_job *job, const int *slot_indices,
                            uint32_t count);
/* Stops work for the whole gang, on machines that are up. False: nothing was stopped. */
bool amb_cycle_preempt_for_gang(struct amb_cycle *cycle, struct amb_job *job);

/* ---- admission (admission.c) ---- */

/* Weighted deficit round robin over the teams' queues. Returns how many tasks and gangs were placed. */
uint32_t amb_cycle_admit(struct amb_cycle *cycle);

#endif
