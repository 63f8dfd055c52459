/* The recovery of service replicas that were lost with a zone: which step of the recovery order each job
 * belongs to, how many replicas each step still lacks, and what they wait for. */
#ifndef AMBERPIN_ZONE_RECOVERY_REPLICA_RECOVERY_H
#define AMBERPIN_ZONE_RECOVERY_REPLICA_RECOVERY_H

#include "amberpin/base/util.h"

#include <stdbool.h>

struct amb_job;
struct amb_node;

enum { AMB_RECOVERY_NO_STEP = UINT8_MAX }; /* the job is scheduled after all steps of the order */

/* Brings what each step lacks up to date, twice per controller tick, and ends the order once nothing is
 * missing and no zone is unavailable. */
void amb_zone_recovery_order_tick(struct amb_node *node, amb_ms now);

/* Is the job of a class with a step in the order, and had it been placed before? */
bool amb_job_is_recovering(const struct amb_node *node, const struct amb_job *job);

/* The step with which the job is scheduled; AMB_RECOVERY_NO_STEP: after all of them. A service that lost no
 * replica comes before the steps of lower priority. */
uint8_t amb_zone_recovery_step_of(const struct amb_node *node, const struct amb_job *job);

#endif
