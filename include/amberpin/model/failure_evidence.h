/* Which is at fault when a task fails: its job, or the machine? Pure, no input or output. */
#ifndef AMBERPIN_FAILURE_EVIDENCE_H
#define AMBERPIN_FAILURE_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

/* More different ones than this tell no more. */
enum { AMB_FAILED_WITH = 3 };

/* The machines that a job failed on, or the jobs that failed on a machine, since one last succeeded there. */
struct amb_failed_with {
    uint32_t ids[AMB_FAILED_WITH];
    uint32_t count;
};

void amb_failed_with_add(struct amb_failed_with *set, uint32_t id);

/* After the failure has been added to both. */
struct amb_failure_evidence {
    uint32_t machines; /* that the job failed on since its last success */
    uint32_t jobs;     /* that failed on the machine since the last success there */
    bool job_works;    /* some task of the job has succeeded, or has run for long */
};

enum amb_fault {
    AMB_FAULT_UNKNOWN,
    AMB_FAULT_OF_MACHINE,
    AMB_FAULT_OF_JOB,
    AMB_FAULT_OF_BOTH,
};

enum amb_fault amb_failure_fault(const struct amb_failure_evidence *evidence);
const char *amb_fault_name(enum amb_fault fault);

#endif
