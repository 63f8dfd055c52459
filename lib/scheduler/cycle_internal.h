/* Functions that only the files of the scheduling cycle use. */
#ifndef AMBERPIN_SCHEDULER_CYCLE_INTERNAL_H
#define AMBERPIN_SCHEDULER_CYCLE_INTERNAL_H

#include "amberpin/scheduler/cycle.h"

/* Adds a slot for each machine that may be used now (fleet_view.c). */
void amb_cycle_collect_machines(struct amb_cycle *cycle);
/* Fills the cycle's list of jobs and its team queues (job_queue.c). */
void amb_cycle_collect_jobs(struct amb_cycle *cycle);

/* Returns whether the task's machine is fetching the task's image, as far as is known. Inline because it is
 * called for each task of the fleet. */
static inline bool amb_image_is_fetching(const struct amb_task *task) {
    if (task->state == AMB_TASK_PLACED || task->state == AMB_TASK_BOUND) return true;
    return task->state == AMB_TASK_SEEN && task->agent_state == AMB_AGENT_TASK_FETCHING;
}

/* Returns whether the task needs no fetch of its own: the machine already has the image, or the fetch is
 * counted with an earlier task of the machine (image_fetch.c). */
bool amb_image_fetch_is_shared(const struct amb_task *task);
/* Returns whether the task's image is being fetched and the fetch is counted with this task. */
static inline bool amb_image_fetch_is_counted(const struct amb_task *task) {
    return amb_image_is_fetching(task) && !amb_image_fetch_is_shared(task);
}
/* Estimates how much of the task's image is still to be fetched, in GB. */
double amb_image_fetch_remaining_gb(const struct amb_cycle *cycle, const struct amb_task *task);

/* The cycle's slots as a list for the rankings, without compute_cost (slot_annotation.c). */
struct amb_slot_list amb_cycle_list_slots(struct amb_cycle *cycle);

/* Reduces the slot's reservation by the resources of a replica that is placed there (reservation.c). */
void amb_cycle_consume_reservation(struct amb_slot *slot, const struct amb_job_spec *spec);

/* Returns false only if no work can be preempted for the preemptor. It may return true although there is
 * nothing to preempt (preemption.c). */
bool amb_cycle_may_preempt(const struct amb_cycle *cycle, const struct amb_preemptor *preemptor);
/* Returns the index of the slot where stopping work for the request loses least; -1: there is none. */
int amb_cycle_find_least_lost_work(struct amb_cycle *cycle, const struct amb_placement_request *request,
                                   const struct amb_preemptor *preemptor, bool image_only);

/* The order in which tasks on one machine are stopped. */
enum amb_preemption_order {
    AMB_PREEMPT_IN_LIST_ORDER,
    AMB_PREEMPT_LOWEST_PRIORITY_FIRST, /* stops the least important work where many machines are needed */
};

/* Stops tasks on the slot's machine until the slot's available resources, with those about to be released,
 * are no longer negative. */
void amb_cycle_preempt_on_slot(struct amb_cycle *cycle, struct amb_slot *slot,
                               const struct amb_preemptor *preemptor, const struct amb_job_spec *waiting_spec,
                               enum amb_preemption_order order);

#endif
