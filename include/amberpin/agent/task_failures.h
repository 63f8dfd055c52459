/* Handling of task failures and successes: a machine on which tasks fail is quarantined and eventually
 * released, and a job that fails on several machines is retried with exponential backoff. */
#ifndef AMBERPIN_AGENT_TASK_FAILURES_H
#define AMBERPIN_AGENT_TASK_FAILURES_H

#include "amberpin/model/model.h"

struct amb_node;

/* Records that a task of the job has failed on the machine, and attributes the failure to the job, to the
 * machine or to both, as far as the evidence allows. */
void amb_task_record_failure(struct amb_node *node, struct amb_job *job, struct amb_machine *machine);

/* Records that a task of the job has succeeded on the machine, or has been running there long enough to count
 * as a success. */
void amb_task_record_success(struct amb_job *job, struct amb_machine *machine);

/* Returns whether the job's failures are attributed to the job itself. Only one task of such a job is tried
 * at a time, and the job causes neither scale out nor preemption. */
bool amb_job_is_broken(const struct amb_job *job);

#endif
