/* Recent demand of a job class, from which the capacity plan forecasts its demand. */
#ifndef AMBERPIN_SCHEDULER_DEMAND_H
#define AMBERPIN_SCHEDULER_DEMAND_H

#include "amberpin/base/util.h"
#include "amberpin/model/job_spec.h"

enum {
    AMB_DEMANDS_MAX = 32,      /* classes tracked; the one without jobs for longest is evicted */
    AMB_DEMAND_IMAGES_MAX = 6, /* images tracked per class */
};

struct amb_demand {
    char class_name[AMB_NAME_SIZE];
    struct amb_job_spec last_spec; /* of its latest job */
    double jobs_per_s;             /* decaying average */
    double mean_square_tasks;      /* of a job's task count */
    uint32_t image_count;
    char images[AMB_DEMAND_IMAGES_MAX][AMB_NAME_SIZE]; /* images of its jobs, most recently used first */
    amb_ms updated_at;                                 /* when its latest job became ready */
};

#endif
