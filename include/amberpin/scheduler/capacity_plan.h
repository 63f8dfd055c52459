/* Planning, twice a report period: for what still waits after a round, room that is about to come, running
 * work that makes way, or machines to rent; room kept for what is expected; machines emptied and returned. */
#ifndef AMBERPIN_PLAN_H
#define AMBERPIN_PLAN_H

#include "amberpin/scheduler/cycle.h"

void amb_plan(struct amb_round *cycle);
void amb_plan_demand(struct amb_node *node, struct amb_job *job); /* a job of its class has come */

#endif
