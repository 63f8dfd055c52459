/* Activation of jobs. The leader holds the tasks and the placement blocks of a job in memory only while the
 * job is active, that is, while the leader schedules it. */
#ifndef AMBERPIN_JOB_ACTIVATION_H
#define AMBERPIN_JOB_ACTIVATION_H

#include "amberpin/model/job.h"

struct amb_node;

/* Creates the job's tasks, all of them waiting. Has no effect on a job that is active, has no description or
 * names an unknown team. */
void amb_job_activate(struct amb_node *node, struct amb_job *job);
/* Frees the job's tasks and blocks, and its description if the job is done. */
void amb_job_deactivate(struct amb_node *node, struct amb_job *job);

/* Activates the job unless a dependency is pending. If its tasks exceed the memory for tasks, the job is left
 * to amb_jobs_activate_unadmitted. A job that exceeds that memory by itself is activated when no other job is
 * active. */
void amb_job_activate_if_room(struct amb_node *node, struct amb_job *job);
/* Tries again to activate the jobs that were not admitted, if an active job has ended since. */
void amb_jobs_activate_unadmitted(struct amb_node *node);

/* Whether the job may run on the machine type with this index. False while the catalogue is unknown. */
bool amb_job_allows_type(struct amb_node *node, struct amb_job *job, int type);

#endif
