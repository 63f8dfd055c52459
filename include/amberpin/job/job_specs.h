/* Frees the descriptions of jobs. A description is most of a job's size. The job itself outlives it, because
 * queries for the job must be answered forever (docs/operators/memory.md). */
#ifndef AMBERPIN_JOB_SPECS_H
#define AMBERPIN_JOB_SPECS_H

#include "amberpin/model/job.h"

struct amb_node;

/* Frees the description and the dependencies of a job in the table, and updates the table's counts. */
void amb_job_drop_spec(struct amb_node *node, struct amb_job *job);

#endif
