/* The shares of a node's memory quota. */
#include "amberpin/memory.h"

#include "amberpin/node.h"

#include <stdlib.h>

/* Shares of the quota. The rest is for the program itself, machines, connections and messages. */
static const double TASK_SHARE = 1.0 / 3;
static const double ONE_JOB_SHARE = 0.4; /* the largest job, when the leader cares for no other */
static const double JOB_TABLE_SHARE = 1.0 / 3;

enum { ALLOCATION_OVERHEAD = 16, HASH_BUCKET = 16 }; /* bytes: of each allocation; of each entry of a table */

static size_t share_of(const struct amb_settings *settings, double share) {
    return (size_t)(settings->memory_mb * 1024 * 1024 * share);
}

size_t amb_memory_tasks(const struct amb_settings *settings) {
    return share_of(settings, TASK_SHARE) / sizeof(struct amb_task);
}

size_t amb_memory_tasks_of_one_job(const struct amb_settings *settings) {
    return share_of(settings, ONE_JOB_SHARE) / sizeof(struct amb_task);
}

size_t amb_memory_job_table(const struct amb_settings *settings) {
    return share_of(settings, JOB_TABLE_SHARE);
}

enum {
    JOB_BYTES = sizeof(struct amb_job) + ALLOCATION_OVERHEAD + HASH_BUCKET,
    DESCRIPTION_BYTES = sizeof(struct amb_spec) + ALLOCATION_OVERHEAD,
};

size_t amb_memory_job_table_used(const struct amb_node *node) {
    return HASH_COUNT(node->jobs.all) * (size_t)JOB_BYTES + node->jobs.described * DESCRIPTION_BYTES;
}

bool amb_memory_holds(const struct amb_node *node, const struct amb_spec *spec) {
    const struct amb_settings *settings = &node->set;
    size_t table = amb_memory_job_table_used(node) + JOB_BYTES + DESCRIPTION_BYTES;
    return table <= amb_memory_job_table(settings) && spec->tasks <= amb_memory_tasks_of_one_job(settings);
}

/* ---- descriptions ---- */

void amb_job_free_spec(struct amb_job *job) {
    free(job->spec);
    free(job->awaits);
    job->spec = NULL;
    job->awaits = NULL;
}

void amb_job_drop_spec(struct amb_node *node, struct amb_job *job) {
    if (job->spec) node->jobs.described--;
    amb_job_free_spec(job);
}
