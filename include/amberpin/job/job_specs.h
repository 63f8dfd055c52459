/* The end of jobs' descriptions. A job outlives its description, which is most of its size, so that it can be
 * answered for ever (docs/operators/memory.md). */
#ifndef AMBERPIN_JOB_SPECS_H
#define AMBERPIN_JOB_SPECS_H

#include "amberpin/model/job.h"

struct amb_node;

/* Frees the description and dependencies of a job that is not in the table of jobs, such as a draft. */
void amb_job_free_spec(struct amb_job *job);
/* The same for a job of the table, which counts descriptions. */
void amb_job_drop_spec(struct amb_node *node, struct amb_job *job);

#endif
