#include "amberpin/model/failure_evidence.h"

enum {
    MACHINES_AGAINST_JOB = 2,         /* that a job failed on, and never succeeded */
    MACHINES_AGAINST_WORKING_JOB = 3, /* the same of one whose tasks have succeeded before */
    JOBS_AGAINST_MACHINE = 2,
};

void amb_failed_with_add(struct amb_failed_with *set, uint32_t id) {
    for (uint32_t i = 0; i < set->count; i++)
        if (set->ids[i] == id) return;
    if (set->count < AMB_FAILED_WITH) set->ids[set->count++] = id;
}

/* A job with a mistake in it fails on every machine; a bad machine fails every job. */
enum amb_fault amb_failure_fault(const struct amb_failure_evidence *evidence) {
    uint32_t most = evidence->job_works ? MACHINES_AGAINST_WORKING_JOB : MACHINES_AGAINST_JOB;
    bool of_job = evidence->machines >= most;
    bool of_machine = evidence->jobs >= JOBS_AGAINST_MACHINE || (evidence->job_works && !of_job);
    if (of_job) return of_machine ? AMB_FAULT_OF_BOTH : AMB_FAULT_OF_JOB;
    return of_machine ? AMB_FAULT_OF_MACHINE : AMB_FAULT_UNKNOWN;
}

const char *amb_fault_name(enum amb_fault fault) {
    static const char *const names[] = {"not known", "the machine's", "the job's", "of both"};
    return names[fault];
}
