/* Attributes the failure of a task to its job or to its machine, without input or output. */
#ifndef AMBERPIN_MODEL_FAILURE_EVIDENCE_H
#define AMBERPIN_MODEL_FAILURE_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

/* Further entries would not change the attribution. */
enum { AMB_FAILURE_SET_MAX = 3 };

/* The machines that a job failed on, or the jobs that failed on a machine, since one last succeeded there. */
struct amb_failure_set {
    uint32_t ids[AMB_FAILURE_SET_MAX];
    uint32_t count;
};

void amb_failure_set_add(struct amb_failure_set *set, uint32_t id);

/* Evidence after the failure has been added to the sets of its job and its machine. */
struct amb_failure_evidence {
    uint32_t failed_machines; /* machines that the job failed on since its last success */
    uint32_t failed_jobs;     /* jobs that failed on the machine since the last success there */
    bool job_has_succeeded;   /* a task of the job has succeeded, or has run for a long time */
};

enum amb_fault {
    AMB_FAULT_UNKNOWN,
    AMB_FAULT_MACHINE,
    AMB_FAULT_JOB,
    AMB_FAULT_BOTH,
};

enum amb_fault amb_failure_attribute(const struct amb_failure_evidence *evidence);
const char *amb_fault_name(enum amb_fault fault);

#endif
