/* Admission of jobs: whether a submitted job can ever run on the deployment as it is known. */
#ifndef AMBERPIN_API_ADMISSION_H
#define AMBERPIN_API_ADMISSION_H

#include "amberpin/model/model.h"

struct amb_job;
struct amb_node;
struct amb_settings;

enum amb_admission {
    AMB_ADMISSION_CAN_RUN,
    AMB_ADMISSION_NEVER_RUNS, /* unknown team, over its quota, no fitting machine type and zone, or a
                                 dependency that never ends */
    AMB_ADMISSION_UNDECIDED,  /* the machine types are not known yet, or a peer runs an older version */
    AMB_ADMISSION_MALFORMED,  /* not a valid job description */
};

/* Returns whether a job with this description can ever run. */
enum amb_admission amb_admission_check_job(struct amb_node *node, const struct amb_job_spec *spec);
/* Returns whether the names of the dependencies (NULL: none) take at most half of the largest record under
 * the lowered limits of the key-value store. A job of which they take more never runs. */
bool amb_admission_fits_record(const struct amb_settings *settings, const struct amb_name_list *dependencies);
/* Returns whether the job's record fits into the key-value store, also once the job is cancelled and the
 * store's limits are lowered. A record that is too large would be refused at every attempt, and its user told
 * to retry each time. */
enum amb_admission amb_admission_check_record(const struct amb_node *node, const struct amb_job *job,
                                              const struct amb_name_list *dependencies);
/* Returns whether a job with these dependencies (NULL: none), which fit the record, can ever start, as far as
 * this node knows them. */
enum amb_admission amb_admission_check_dependencies(struct amb_node *node, const char *job_ref,
                                                    const struct amb_name_list *dependencies);

#endif
