#include "reclaim_notice.h"

#include "amberpin/base/log.h"
#include "amberpin/node/node.h"

static void checkpoint_gang(struct amb_node *node, struct amb_job *job) {
    if (job->gang_state != AMB_GANG_RUNNING) return;
    amb_gang_set_state(job, AMB_GANG_STOPPING, "the cloud reclaims one of its machines");
    for (uint32_t i = 0; i < job->spec->task_count; i++)
        amb_task_request_stop(node, &job->tasks[i], job->spec->checkpoint_save_s,
                              "its gang saves a checkpoint");
}

static void checkpoint_task(struct amb_node *node, struct amb_task *task) {
    struct amb_job *job = task->job;
    if (job->spec->kind == AMB_JOB_KIND_GANG)
        checkpoint_gang(node, job);
    else
        amb_task_request_stop(node, task, job->spec->checkpoint_save_s, "the cloud reclaims its machine");
}

static bool can_save_within(const struct amb_job_spec *spec, double left_s) {
    return spec->checkpoint_interval_s > 0 && spec->checkpoint_save_s < left_s;
}

void amb_machine_handle_reclaim_notice(struct amb_node *node, struct amb_machine *machine, double left_s,
                                       amb_ms now) {
    bool is_first = !machine->reclaim_at;
    machine->reclaim_at = now + amb_seconds_to_ms(left_s);
    if (!is_first) return;
    amb_info("machine %s: reclaim notice, the cloud reclaims it in %g s", machine->name, left_s);
    for (struct amb_task *task = machine->tasks, *next; task; task = next) {
        next = task->next_on_machine;
        if (can_save_within(task->job->spec, left_s)) checkpoint_task(node, task);
    }
}
