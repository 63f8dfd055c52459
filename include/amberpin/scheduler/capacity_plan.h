/* Planning, twice a report period: for what still waits after a round, room that is about to come, running
 * work that makes way, or machines to rent; room kept for what is expected; machines emptied and returned. */
#ifndef AMBERPIN_PLAN_H
#define AMBERPIN_PLAN_H

#include "amberpin/scheduler/cycle.h"

void amb_capacity_plan_run(struct amb_cycle *cycle);
void amb_capacity_plan_note_demand(struct amb_node *node,
                                   struct amb_job *job); /* a job of its class has come */

#endif
