/* What follows when tasks fail and succeed: machines that fail tasks are quarantined and then released, jobs
 * that fail on several machines are retried with a growing backoff. */
#ifndef AMBERPIN_AGENT_TASK_FAILURES_H
#define AMBERPIN_AGENT_TASK_FAILURES_H

#include "amberpin/model/model.h"

struct amb_node;

/* A task of the job has failed on the machine: attributes the failure to either, or to both. */
void amb_task_record_failure(struct amb_node *node, struct amb_job *job, struct amb_machine *machine);

/* A task of the job has succeeded on the machine, or has been running there for long. */
void amb_task_record_success(struct amb_job *job, struct amb_machine *machine);

/* Are the job's failures attributed to itself? Then one of its tasks is tried at a time, and it is no reason
 * to scale out or to preempt. */
bool amb_job_is_broken(const struct amb_job *job);

#endif
