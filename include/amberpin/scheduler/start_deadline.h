/* Start deadlines: how soon a job has to start, and whether it may wait for running work to release capacity
 * instead of having a machine requested for it. */
#ifndef AMBERPIN_SCHEDULER_START_DEADLINE_H
#define AMBERPIN_SCHEDULER_START_DEADLINE_H

#include "amberpin/node/node.h"

/* Returns the strictest service-level objective for the start of jobs of this class, borrowed from the
 * settings. NULL: there is none, or the job is batch work that would meet it on a machine requested now. */
const struct amb_objective *amb_start_find_objective(const struct amb_node *node,
                                                     const struct amb_job_spec *spec);
/* Returns whether the job is batch work of a team that has no guarantee while others have one. Such work only
 * uses capacity that the other teams leave idle. */
bool amb_job_is_opportunistic(const struct amb_job *job);
/* Returns whether the job may wait for capacity to be released and still complete in time. Batch work ends
 * all the time, while a requested machine is paid for from the start of its boot. */
bool amb_start_can_wait_for_capacity(const struct amb_node *node, const struct amb_job *job);

#endif
