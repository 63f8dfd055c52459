/* What follows when tasks fail and succeed: machines rest or are given back, jobs are tried more rarely. */
#ifndef AMBERPIN_TASK_FAILURES_H
#define AMBERPIN_TASK_FAILURES_H

#include "amberpin/model/model.h"

struct amb_node;

void amb_task_record_failure(struct amb_node *node, struct amb_job *job, struct amb_machine *machine);
/* A task of the job has succeeded on the machine, or has run there for long. */
void amb_task_record_success(struct amb_job *job, struct amb_machine *machine);
/* Is the job taken for broken? Then one task of it is tried at a time, and nothing is rented or stopped for
 * it. */
bool amb_job_is_broken(const struct amb_job *job);

#endif
