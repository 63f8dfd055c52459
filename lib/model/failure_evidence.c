#include "amberpin/model/failure_evidence.h"

enum {
    MACHINES_AGAINST_JOB = 2,         /* that a job failed on, and never succeeded */
    MACHINES_AGAINST_WORKING_JOB = 3, /* the same of one whose tasks have succeeded before */
    JOBS_AGAINST_MACHINE = 2,
};

void amb_failure_set_add(struct amb_failure_set *set, uint32_t id) {
    for (uint32_t i = 0; i < set->count; i++)
        if (set->ids[i] == id) return;
    if (set->count < AMB_FAILURE_SET_MAX) set->ids[set->count++] = id;
}

/* A job with a mistake in it fails on every machine; a bad machine fails every job. */
enum amb_fault amb_failure_attribute(const struct amb_failure_evidence *evidence) {
    uint32_t machine_threshold =
        evidence->job_has_succeeded ? MACHINES_AGAINST_WORKING_JOB : MACHINES_AGAINST_JOB;
    bool job_at_fault = evidence->failed_machines >= machine_threshold;
    bool machine_at_fault =
        evidence->failed_jobs >= JOBS_AGAINST_MACHINE || (evidence->job_has_succeeded && !job_at_fault);
    if (job_at_fault) return machine_at_fault ? AMB_FAULT_BOTH : AMB_FAULT_JOB;
    return machine_at_fault ? AMB_FAULT_MACHINE : AMB_FAULT_UNKNOWN;
}

const char *amb_fault_name(enum amb_fault fault) {
    static const char *const names[] = {"not known", "the machine's", "the job's", "of both"};
    return names[fault];
}
