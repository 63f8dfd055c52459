/* Admission of jobs: whether a submitted job can ever run on the deployment as it is known. */
#ifndef AMBERPIN_ADMISSION_H
#define AMBERPIN_ADMISSION_H

#include "amberpin/model/model.h"

struct amb_job;
struct amb_node;

enum amb_admission {
    AMB_ADMISSION_CAN_RUN,
    AMB_ADMISSION_NEVER_RUNS, /* unknown team, over its quota, no machine type and zone fits, or a dependency
                                 never ends */
    AMB_ADMISSION_UNDECIDED,  /* the machine types are not known yet, or nodes of an older version serve */
    AMB_ADMISSION_MALFORMED,  /* no description of a job */
};

/* Can a job of this description ever run? */
enum amb_admission amb_admission_check_job(struct amb_node *node, const struct amb_job_spec *spec);
/* Can the job be kept, also once it is cancelled and the limits of the key-value store are lowered? A record
 * that is too large would be refused for ever, and its user told to come back. */
enum amb_admission amb_admission_check_record(const struct amb_node *node, const struct amb_job *job);
/* Can a job with these dependencies (NULL: none) ever start, as far as this node knows of them? */
enum amb_admission amb_admission_check_dependencies(struct amb_node *node,
                                                    const struct amb_job_dependencies *dependencies);

#endif
