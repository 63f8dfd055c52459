/* Capacity planning, twice in a tick interval of the leader: for jobs that still wait after a scheduling
 * cycle, capacity that is about to be released, preemption or scale out; capacity reserved for expected
 * demand; and scale in of machines that nobody needs. */
#ifndef AMBERPIN_SCHEDULER_CAPACITY_PLAN_H
#define AMBERPIN_SCHEDULER_CAPACITY_PLAN_H

#include "amberpin/scheduler/cycle.h"

/* Plans on the cycle's view, after admission: the cycle is of no use for admission afterwards. */
void amb_capacity_plan_run(struct amb_cycle *cycle);
/* Counts a job that may run now towards the expected demand of its class, each job once. Followers count too:
 * a leader that knew only what came since its election would release what its predecessor had reserved. */
void amb_capacity_plan_record_demand(struct amb_node *node, struct amb_job *job);

#endif
