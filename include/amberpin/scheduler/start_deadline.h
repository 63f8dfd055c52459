/* How soon work has to start, and whether it may wait for room that frees itself. */
#ifndef AMBERPIN_START_PATIENCE_H
#define AMBERPIN_START_PATIENCE_H

#include "amberpin/node/node.h"

/* The soonest that the job's class is to start; NULL: nobody waits for its start. */
const struct amb_objective *amb_start_find_objective(const struct amb_node *node,
                                                     const struct amb_job_spec *spec);
/* Is it batch work of a team that is guaranteed nothing, while others are? It uses what they leave idle. */
bool amb_job_is_opportunistic(const struct amb_job *job);
/* May it still wait for room that frees itself, and be done in time? Batch work ends all the time, while a
 * rented machine is paid for while it boots. */
bool amb_start_can_wait_for_capacity(const struct amb_node *node, const struct amb_job *job);

#endif
