#include "amberpin/job/job_specs.h"

#include "amberpin/node/node.h"

#include <stdlib.h>

void amb_job_drop_spec(struct amb_node *node, struct amb_job *job) {
    if (job->spec) node->jobs.spec_count--;
    free(job->spec);
    amb_job_dependencies_free(&node->jobs.names, job->dependencies);
    job->spec = NULL;
    job->dependencies = NULL;
}
