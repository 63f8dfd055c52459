/* Frees the descriptions of jobs. A description is most of a job's size. The job itself outlives it, because
 * queries for the job must be answered forever (docs/operators/memory.md). */
#ifndef AMBERPIN_JOB_SPECS_H
#define AMBERPIN_JOB_SPECS_H

#include "amberpin/model/job.h"

struct amb_node;

/* Frees the description and the dependencies of a job that is not in the table of jobs, such as a draft. */
void amb_job_free_spec(struct amb_job *job);
/* Does the same for a job in the table, and updates the table's count of descriptions. */
void amb_job_drop_spec(struct amb_node *node, struct amb_job *job);

#endif
