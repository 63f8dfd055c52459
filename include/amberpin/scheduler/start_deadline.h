/* Start deadlines: how soon a job has to start, and whether it may wait for capacity that is released rather
 * than have a machine requested for it. */
#ifndef AMBERPIN_SCHEDULER_START_DEADLINE_H
#define AMBERPIN_SCHEDULER_START_DEADLINE_H

#include "amberpin/node/node.h"

/* The strictest service-level objective for starts of the job's class, borrowed from the settings; NULL: no
 * start is awaited. */
const struct amb_objective *amb_start_find_objective(const struct amb_node *node,
                                                     const struct amb_job_spec *spec);
/* Is it batch work of a team that has no guarantee, while others have? It uses what they leave idle. */
bool amb_job_is_opportunistic(const struct amb_job *job);
/* May the job wait for capacity that is released, and still be done in time? Batch work ends all the time,
 * while a machine that is requested has its price from the beginning of its boot. */
bool amb_start_can_wait_for_capacity(const struct amb_node *node, const struct amb_job *job);

#endif
