#include "amberpin/job/job_specs.h"

#include "amberpin/node/node.h"

#include <stdlib.h>

void amb_job_free_spec(struct amb_job *job) {
    free(job->spec);
    free(job->dependencies);
    job->spec = NULL;
    job->dependencies = NULL;
}

void amb_job_drop_spec(struct amb_node *node, struct amb_job *job) {
    if (job->spec) node->jobs.spec_count--;
    amb_job_free_spec(job);
}
