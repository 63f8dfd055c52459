#include "amberpin/model/failure_evidence.h"

enum {
    JOB_FAULT_MACHINES = 2,           /* machines that a job without successes has failed on */
    SUCCEEDED_JOB_FAULT_MACHINES = 3, /* the same for a job that has succeeded before */
    MACHINE_FAULT_JOBS = 2,           /* jobs that have failed on a machine */
};

void amb_failure_set_add(struct amb_failure_set *set, uint32_t id) {
    for (uint32_t i = 0; i < set->count; i++)
        if (set->ids[i] == id) return;
    if (set->count < AMB_FAILURE_SET_MAX) set->ids[set->count++] = id;
}

/* A faulty job fails on every machine; a faulty machine makes every job fail. */
enum amb_fault amb_failure_attribute(const struct amb_failure_evidence *evidence) {
    uint32_t machine_threshold =
        evidence->job_has_succeeded ? SUCCEEDED_JOB_FAULT_MACHINES : JOB_FAULT_MACHINES;
    bool job_at_fault = evidence->failed_machines >= machine_threshold;
    bool machine_at_fault =
        evidence->failed_jobs >= MACHINE_FAULT_JOBS || (evidence->job_has_succeeded && !job_at_fault);
    if (job_at_fault) return machine_at_fault ? AMB_FAULT_BOTH : AMB_FAULT_JOB;
    return machine_at_fault ? AMB_FAULT_MACHINE : AMB_FAULT_UNKNOWN;
}

const char *amb_fault_name(enum amb_fault fault) {
    static const char *const names[] = {"undetermined", "machine", "job", "job and machine"};
    return names[fault];
}
