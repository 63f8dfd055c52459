/* What the files of a scheduling cycle share with one another alone. */
#ifndef AMBERPIN_SCHEDULER_CYCLE_INTERNAL_H
#define AMBERPIN_SCHEDULER_CYCLE_INTERNAL_H

#include "amberpin/scheduler/cycle.h"

/* A slot for each machine that may be used now (fleet_view.c). */
void amb_cycle_collect_machines(struct amb_cycle *cycle);
/* Fills the cycle's jobs and its teams' queues (job_queue.c). */
void amb_cycle_collect_jobs(struct amb_cycle *cycle);

/* Does the task's machine fetch its image, as far as is known? Inline: asked for each task of the fleet. */
static inline bool amb_image_is_fetching(const struct amb_task *task) {
    if (task->state == AMB_TASK_PLACED || task->state == AMB_TASK_BOUND) return true;
    return task->state == AMB_TASK_SEEN && task->agent_state == AMB_AGENT_TASK_FETCHING;
}

/* Is the image at hand, or counted with an earlier task of the machine (image_fetch.c)? */
bool amb_image_fetch_is_shared(const struct amb_task *task);
/* Is it fetched, and counted with this task? */
static inline bool amb_image_fetch_is_counted(const struct amb_task *task) {
    return amb_image_is_fetching(task) && !amb_image_fetch_is_shared(task);
}
/* About how much of the task's image is still to be fetched, in GB. */
double amb_image_fetch_remaining_gb(const struct amb_cycle *cycle, const struct amb_task *task);

/* The cycle's slots for the rankings, without a cost of preemption (slot_annotation.c). */
struct amb_slot_list amb_cycle_list_slots(struct amb_cycle *cycle);

/* A replica of the job takes the place that was reserved for one (reservation.c). */
void amb_cycle_consume_reservation(struct amb_slot *slot, const struct amb_job_spec *spec);

/* Is there any work that might be preempted on this claim? Never a wrong no (preemption.c). */
bool amb_cycle_may_preempt(const struct amb_cycle *cycle, const struct amb_preemptor *claim);
/* The slot on which stopping work for the request loses least; -1: there is none. */
int amb_cycle_find_least_lost_work(struct amb_cycle *cycle, const struct amb_placement_request *request,
                                   const struct amb_preemptor *claim, bool image_only);

/* The order in which tasks of one machine are stopped. */
enum amb_preemption_order {
    AMB_PREEMPT_IN_LIST_ORDER,
    AMB_PREEMPT_LOWEST_PRIORITY_FIRST, /* loses the least important work where many machines are needed */
};

/* Stops tasks of the slot's machine until what was taken from the slot is covered. */
void amb_cycle_preempt_on_slot(struct amb_cycle *cycle, struct amb_slot *slot,
                               const struct amb_preemptor *claim, const struct amb_job_spec *waiting_spec,
                               enum amb_preemption_order order);

#endif
