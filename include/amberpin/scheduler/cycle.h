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
    uint32_t cursor; /* index of the next job to be tried in this cycle */
};

/* The jobs that one admission pass may admit. */
struct amb_admission_pass {
    uint8_t max_recovery_step; /* the last step of the recovery order that is admitted (zone_recovery.h) */
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
    struct amb_admission_pass pass;                   /* the admission pass under way */
    uint32_t zones_without_batch; /* bit mask of zones where no batch work starts (zone_recovery.h) */
    bool sized_by_gpus;           /* items are sized in GPUs, not in cores (wdrr.h) */
    struct amb_slot_annotation annotation; /* what slots are annotated for on access */
    uint64_t annotation_serial;            /* incremented whenever `annotation` is set */
    uint64_t placed_tasks;                 /* number of tasks that this cycle has placed */
    struct amb_slot_rankings rankings;
};

/* ---- creation and release (cycle.c) ---- */

/* Creates a cycle with the machines that may be used and the jobs that may start now. */
struct amb_cycle *amb_cycle_new(struct amb_node *node, amb_ms now);
void amb_cycle_free(struct amb_cycle *cycle);

/* ---- view of the fleet (fleet_view.c) ---- */

/* Adds an empty slot for a machine of this type that does not exist yet; type and zone are indices in the
 * catalogue. The result is valid until the next slot is added. */
struct amb_slot *amb_cycle_add_slot(struct amb_cycle *cycle, int type, int zone, bool spot);
/* Adds slots for machines that are booting and for machines that have been requested from the cloud but have
 * no name yet. */
void amb_cycle_add_pending_machines(struct amb_cycle *cycle);

/* ---- queues (job_queue.c) ---- */

/* Returns whether a task of the job (for a gang, all its tasks) may be placed now. */
bool amb_cycle_is_schedulable(const struct amb_cycle *cycle, const struct amb_job *job);

/* ---- placement requests (placement_request.c) ---- */

/* Fills in the request for one waiting task of the job. It borrows the job's task counts by zone. */
void amb_cycle_init_request(struct amb_cycle *cycle, struct amb_job *job,
                            struct amb_placement_request *request);

/* ---- slots and their annotations (slot_annotation.c) ---- */

/* Makes later accesses annotate slots with whether they hold the image and with the risk that fetching it
 * delays the start. For jobs without a start objective the risk is the fetch time as a share of the task's
 * runtime. The image's name is borrowed until the next call of an annotate function. */
void amb_cycle_annotate_for_image(struct amb_cycle *cycle, const struct amb_job_spec *spec,
                                  const char *image);
/* Makes later accesses annotate slots as if it did not matter where the image is. */
void amb_cycle_annotate_ignoring_image(struct amb_cycle *cycle);
/* Returns the slot with up-to-date annotations, which are computed on first access. */
struct amb_slot *amb_cycle_get_slot(struct amb_cycle *cycle, uint32_t slot_index);
/* To be called after each change of a slot other than to its annotations, and after each change of the data
 * that its annotations are computed from. */
void amb_cycle_mark_slot_changed(struct amb_cycle *cycle, const struct amb_slot *slot);
/* Subtracts the resources from those available on the slot. */
void amb_cycle_take_resources(struct amb_cycle *cycle, struct amb_slot *slot,
                              const struct amb_resources *resources);
/* Returns the index of the best slot for the request, with current annotations; -1: none is feasible. */
int amb_cycle_find_best_slot(struct amb_cycle *cycle, const struct amb_placement_request *request,
                             bool include_releasing);

/* ---- reservations for replicas lost with a zone (reservation.c) ---- */

/* Keeps batch work off the resources of one task on the slot's machine until the next capacity plan. */
void amb_cycle_reserve_on_slot(struct amb_slot *slot, const struct amb_job_spec *spec);

/* ---- preemption (preemption.c) ---- */

/* The preemptor for a job with this description, with the description's own priority. */
struct amb_preemptor amb_cycle_make_preemptor(const struct amb_job_spec *spec, const struct amb_team *team);
/* The preemptor for the job, with its effective priority. */
struct amb_preemptor amb_cycle_make_job_preemptor(const struct amb_job *job);
/* Returns whether the task may be stopped for the preemptor. */
bool amb_cycle_is_preemptible_by(const struct amb_task *task, const struct amb_preemptor *preemptor);
/* Finds a slot to reserve for the request, in this order: one that holds the image and has enough available;
 * one that holds the image and has enough once preemptible work is stopped; any other that has enough
 * available; any other that has enough once preemptible work is stopped. Resources about to be released count
 * as available. Nothing is stopped. NULL: there is none. */
struct amb_slot *amb_cycle_find_reservable_slot(struct amb_cycle *cycle,
                                                const struct amb_placement_request *request,
                                                const struct amb_preemptor *preemptor);
/* Stops the work whose loss costs least and takes its slot for a task of the job. With image_only, only
 * machines that hold the job's image are considered. NULL: nothing was stopped. */
struct amb_slot *amb_cycle_preempt_for(struct amb_cycle *cycle, struct amb_job *job,
                                       const struct amb_placement_request *request, bool image_only);

/* ---- gang scheduling (gang_placement.c) ---- */

/* Chooses a slot for every task of the gang, or for none; slot_indices has an element for each task. On
 * success the resources are taken and the job's task counts by zone include the tasks; on failure both are
 * unchanged. */
bool amb_cycle_place_gang(struct amb_cycle *cycle, struct amb_job *job, int *slot_indices,
                          bool include_releasing);
/* Reverts what amb_cycle_place_gang took for the first `count` tasks. */
void amb_cycle_unplace_gang(struct amb_cycle *cycle, struct amb_job *job, const int *slot_indices,
                            uint32_t count);
/* Stops enough work on machines that are up for the whole gang to fit. False: nothing was stopped. */
bool amb_cycle_preempt_for_gang(struct amb_cycle *cycle, struct amb_job *job);

/* ---- admission (admission.c) ---- */

/* Admits jobs by weighted deficit round robin over the team queues. Returns the number of tasks and gangs
 * that were placed. */
uint32_t amb_cycle_admit(struct amb_cycle *cycle);

#endif
