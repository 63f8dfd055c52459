#include "amberpin/agent/task_failures.h"

#include "amberpin/base/log.h"
#include "amberpin/node/node.h"

#include <math.h>
#include <string.h>

enum {
    MACHINE_FAILURES_MAX = 3,  /* failures at which a machine without a success is released */
    BACKOFF_DOUBLINGS_MAX = 6, /* how often the backoff of a broken job is doubled at most */
    QUARANTINE_HEARTBEATS = 2, /* heartbeat periods, for each failure that can't be attributed */
};

/* The longest backoff of a broken job, in leases. */
static const double BACKOFF_MAX_LEASES = 4;

bool amb_job_is_broken(const struct amb_job *job) {
    return job->failures.broken;
}

static void back_off(const struct amb_node *node, struct amb_job *job) {
    amb_ms now = amb_now();
    if (now < job->backoff_until) return; /* another task that failed before the retry */
    uint32_t retries = job->failures.retries;
    uint32_t doublings = retries < BACKOFF_DOUBLINGS_MAX ? retries : BACKOFF_DOUBLINGS_MAX;
    double longest_s = node->settings.agent_lease_s * BACKOFF_MAX_LEASES;
    double backoff_s = fmin(node->settings.heartbeat_s * (double)(1u << doublings), longest_s);
    job->failures.retries++;
    job->backoff_until = now + amb_seconds_to_ms(backoff_s);
}

static void attribute_to_job(const struct amb_node *node, struct amb_job *job,
                             const struct amb_machine *machine) {
    if (!job->failures.broken)
        amb_info("job %s: marked as broken: its tasks failed on %u machines without a success, last on %s",
                 job->ref, job->failures.machines.count, machine->name);
    job->failures.broken = true;
    back_off(node, job);
}

static void attribute_to_machine(struct amb_node *node, struct amb_machine *machine) {
    machine->failure_count++;
    amb_machine_quarantine(machine, node->settings.agent_lease_s * machine->failure_count,
                           "a task failed on it");
    if (machine->failure_count >= MACHINE_FAILURES_MAX && !machine->success_count)
        amb_cloud_release(node, machine, "tasks keep failing on it");
}

/* Quarantines a machine on which a failure can't be attributed yet. The task is retried on another machine,
 * and its next failure or success shows whether the job or this machine is at fault. */
static void quarantine_suspect(const struct amb_node *node, struct amb_machine *machine) {
    machine->unattributed_failures++;
    double quarantine_s = node->settings.heartbeat_s * QUARANTINE_HEARTBEATS * machine->unattributed_failures;
    amb_machine_quarantine(machine, fmin(quarantine_s, node->settings.agent_lease_s),
                           "a task failed, and the failure is not attributed yet");
}

void amb_task_record_failure(struct amb_node *node, struct amb_job *job, struct amb_machine *machine) {
    amb_failure_set_add(&job->failures.machines, machine->number);
    /* The failure of a job that is known to be broken is no evidence against the machine. */
    if (!job->failures.broken) amb_failure_set_add(&machine->failed_jobs, job->hh.hashv);
    const struct amb_failure_evidence evidence = {
        .failed_machines = job->failures.machines.count,
        .failed_jobs = machine->failed_jobs.count,
        .job_has_succeeded = job->failures.has_succeeded,
    };
    enum amb_fault fault = amb_failure_attribute(&evidence);
    amb_debug("job %s: a task failed on %s: fault %s (%u machines, %u jobs%s)", job->ref, machine->name,
              amb_fault_name(fault), evidence.failed_machines, evidence.failed_jobs,
              evidence.job_has_succeeded ? ", has succeeded before" : "");
    if (fault == AMB_FAULT_JOB || fault == AMB_FAULT_BOTH) attribute_to_job(node, job, machine);
    if (fault == AMB_FAULT_MACHINE || fault == AMB_FAULT_BOTH) attribute_to_machine(node, machine);
    if (fault == AMB_FAULT_UNKNOWN) quarantine_suspect(node, machine);
}

void amb_task_record_success(struct amb_job *job, struct amb_machine *machine) {
    memset(&job->failures, 0, sizeof job->failures);
    job->failures.has_succeeded = true;
    machine->failed_jobs.count = 0;
    machine->unattributed_failures = 0;
    machine->success_count++;
}
