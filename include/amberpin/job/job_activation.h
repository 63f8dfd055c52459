/* Which jobs are active: the leader keeps the tasks of a job, and their placement blocks, only while it
 * schedules it. */
#ifndef AMBERPIN_JOB_ACTIVATION_H
#define AMBERPIN_JOB_ACTIVATION_H

#include "amberpin/model/job.h"

struct amb_node;

/* Creates the job's tasks, all of them waiting. Nothing happens if it is active, has no description or names
 * an unknown team. */
void amb_job_activate(struct amb_node *node, struct amb_job *job);
/* Frees the job's tasks and blocks, and the description of a job that is done. */
void amb_job_deactivate(struct amb_node *node, struct amb_job *job);

/* Activates the job unless a dependency is pending; beyond the memory for tasks it is left for
 * amb_jobs_activate_unadmitted. A job larger than that memory is active alone. */
void amb_job_activate_if_room(struct amb_node *node, struct amb_job *job);
/* Once an active job has ended: tries again those that were left. */
void amb_jobs_activate_unadmitted(struct amb_node *node);

/* Whether the job may run on the machine type of this index; false while the catalogue is not known. */
bool amb_job_allows_type(struct amb_node *node, struct amb_job *job, int type);

#endif
