/* Recovery of service replicas that were lost with a zone: the step of the recovery order that each job
 * belongs to, the number of replicas that each step still lacks, and what they wait for. */
#ifndef AMBERPIN_ZONE_RECOVERY_REPLICA_RECOVERY_H
#define AMBERPIN_ZONE_RECOVERY_REPLICA_RECOVERY_H

#include "amberpin/base/util.h"

#include <stdbool.h>

struct amb_job;
struct amb_node;

enum { AMB_RECOVERY_NO_STEP = UINT8_MAX }; /* the job is scheduled after all steps of the order */

/* Updates the missing replicas of each step, twice per tick interval of the controller, and ends the order
 * once no replica is missing and no zone is unavailable. */
void amb_zone_recovery_order_tick(struct amb_node *node, amb_ms now);

/* Has the job been placed before, and does its class have a step in the order? */
bool amb_job_is_recovering(const struct amb_node *node, const struct amb_job *job);

/* The step with which the job is scheduled; AMB_RECOVERY_NO_STEP: after all steps. A service that lost no
 * replica is scheduled before the steps of lower priority. */
uint8_t amb_zone_recovery_step_of(const struct amb_node *node, const struct amb_job *job);

#endif
