/* Capacity planning, which the leader runs twice per tick interval. For jobs that still wait after a
 * scheduling cycle it finds capacity that is about to be released, preempts other work or scales out. It also
 * reserves capacity for expected demand and scales in machines that are not needed. */
#ifndef AMBERPIN_SCHEDULER_CAPACITY_PLAN_H
#define AMBERPIN_SCHEDULER_CAPACITY_PLAN_H

#include "amberpin/scheduler/cycle.h"

/* Plans on the cycle's view of the fleet. To be called after admission: planning changes the view, so the
 * cycle must not be used for admission afterwards. */
void amb_capacity_plan_run(struct amb_cycle *cycle);
/* Counts a job that may run now towards the expected demand of its class, once per job. Followers call it
 * too: a new leader that knew only the jobs since its election would release the machines that its
 * predecessor had reserved. */
void amb_capacity_plan_record_demand(struct amb_node *node, struct amb_job *job);

#endif
