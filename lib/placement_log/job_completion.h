/* Writes the final state of a job that is done. */
#ifndef AMBERPIN_LIB_PLACEMENT_LOG_JOB_COMPLETION_H
#define AMBERPIN_LIB_PLACEMENT_LOG_JOB_COMPLETION_H

#include "amberpin/model/model.h"

struct amb_node;

/* Writes the job's final state. Its blocks are removed afterwards, if necessary by the next leader. */
void amb_placement_log_finish_job(struct amb_node *node, struct amb_job *job);

#endif
