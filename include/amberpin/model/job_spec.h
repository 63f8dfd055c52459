/* A job as its user described it. The description never changes after submission. */
#ifndef AMBERPIN_MODEL_JOB_SPEC_H
#define AMBERPIN_MODEL_JOB_SPEC_H

#include "amberpin/model/limits.h"
#include "amberpin/model/resources.h"

#include <stddef.h>
#include <stdint.h>

enum amb_job_kind {
    AMB_JOB_KIND_ARRAY,   /* independent tasks */
    AMB_JOB_KIND_GANG,    /* tasks that run all together or not at all */
    AMB_JOB_KIND_SERVICE, /* replicas that run until they are cancelled */
};

/* In ascending order. */
enum amb_priority {
    AMB_PRIORITY_BEST_EFFORT,
    AMB_PRIORITY_NORMAL,
    AMB_PRIORITY_HIGH,
    AMB_PRIORITY_PRODUCTION
};

struct amb_job_spec {
    char ref[AMB_NAME_SIZE], class_name[AMB_NAME_SIZE], team[AMB_NAME_SIZE], image[AMB_NAME_SIZE];
    char zone[AMB_NAME_SIZE]; /* the only zone in which it may run; empty: any */
    enum amb_job_kind kind;
    enum amb_priority priority;
    uint32_t task_count;
    struct amb_resources task_resources; /* needed by each task */
    double image_gb;
    double estimated_runtime_s;   /* the user's estimate for one task */
    double checkpoint_interval_s; /* 0: tasks write no checkpoints */
    double checkpoint_save_s;     /* how long it takes to save a checkpoint */
    double deadline_s;            /* from submission to completion; 0: none */
    bool one_zone;                /* all tasks must be in one zone */
    bool spread_zones;            /* at most half of the tasks, rounded up, may be in one zone */
    bool spot_allowed;            /* may run on spot instances */
    uint32_t allowed_type_count;  /* 0: any machine type */
    char allowed_types[AMB_ALLOWED_TYPES_MAX][AMB_NAME_SIZE];
};

/* The jobs that a job depends on (DAG dependencies), each once. Names are given by their numbers
 * (job_names.h).
 */
struct amb_job_dependencies {
    uint32_t job; /* the dependent itself */
    uint32_t count;
    uint32_t ids[];
};

#define AMB_NO_JOB_ID UINT32_MAX /* the number of no name */

/* What dependencies of jobs take, for memory_budget.h. */
struct amb_dependency_usage {
    size_t lists, edges;      /* a list for each dependent, an edge for each entry of a list */
    size_t names, name_bytes; /* each name once, with its terminating zero */
};

#define AMB_NO_DUE_TIME INT64_MAX

/* A job's priority and the time by which it has to be complete. */
struct amb_effective_priority {
    enum amb_priority priority;
    int64_t due_wall_ms; /* time of day; AMB_NO_DUE_TIME: none */
};

/* Whether the job may run on machines of this type. */
bool amb_job_spec_allows_type(const struct amb_job_spec *spec, const char *type);

#endif
