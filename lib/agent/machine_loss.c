#include "amberpin/agent/machine_loss.h"

#include "amberpin/base/log.h"
#include "amberpin/fleet/deferred_responses.h"
#include "amberpin/node/events.h"
#include "amberpin/node/node.h"

static void unbind_lost_task(struct amb_node *node, struct amb_task *task, const char *cause) {
    struct amb_job *job = task->job;
    task->interrupted = true;
    amb_info("task %s/%u on %s: proven absent: %s", job->ref, task->index, task->machine->name, cause);
    amb_task_unbind(node, task, cause);
    if (job->spec->kind == AMB_JOB_KIND_GANG && job->bound_count)
        amb_gang_tear_down(node, job, "a task is absent");
}

void amb_machine_unbind_lost_tasks(struct amb_node *node, struct amb_machine *machine,
                                   enum amb_absence proof) {
    while (machine->tasks) unbind_lost_task(node, machine->tasks, amb_absence_name(proof));
}

void amb_machine_confirm_gone(struct amb_node *node, struct amb_machine *machine, enum amb_absence proof) {
    amb_info("machine %s: proven gone, removing it: %s", machine->name, amb_absence_name(proof));
    amb_machine_unbind_lost_tasks(node, machine, proof);
    amb_deferred_response_finish(node, machine);
    amb_machine_remove(node, machine);
    amb_node_request_cycle(node);
}
