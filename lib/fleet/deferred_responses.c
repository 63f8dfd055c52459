#include "amberpin/fleet/deferred_responses.h"

#include "amberpin/fleet/agent_commands.h"
#include "amberpin/fleet/heartbeat_response.h"
#include "amberpin/node/node.h"

#include <stdlib.h>

/* Share of the heartbeat period: the response arrives before the agent may send its next heartbeat. */
static const double DEFERRED_SHARE = 0.4;
/* By the protocol an agent drops a response that takes longer than this, however long its heartbeat period.
 */
static const double AGENT_TIMEOUT_S = 4;

struct amb_deferred_response {
    struct amb_node *node;        /* borrowed */
    struct amb_machine *machine;  /* borrowed; it owns this struct */
    struct amb_http_req *request; /* borrowed until it is replied to */
    struct amb_timer timer;       /* sends the response */
};

/* Frees the machine's deferred response without replying to its request. */
static void discard(struct amb_machine *machine) {
    amb_timer_stop(&machine->deferred_response->timer);
    free(machine->deferred_response);
    machine->deferred_response = NULL;
}

void amb_deferred_response_finish(struct amb_node *node, struct amb_machine *machine) {
    if (!machine->deferred_response) return;
    struct amb_http_req *request = machine->deferred_response->request;
    discard(machine);
    if (!amb_election_is_leader(node)) {
        amb_heartbeat_reply_redirect(node, request);
        return;
    }
    machine->last_response_at = amb_now();
    amb_heartbeat_reply_commands(request, node->election.term, &(struct amb_command_list){0});
}

static bool may_start_now(const struct amb_task *task) {
    return task->state == AMB_TASK_BOUND && !task->start_sent && !task->inherited && !task->stop_requested &&
           task->job->state == AMB_JOB_QUEUED;
}

static void send_starts(struct amb_node *node, struct amb_machine *machine, struct amb_http_req *request) {
    static struct amb_agent_command commands[AMB_COMMANDS_MAX];
    struct amb_command_list starts = {commands, AMB_COMMANDS_MAX, 0};
    machine->last_response_at = amb_now();
    for (struct amb_task *task = machine->tasks; task; task = task->next_on_machine)
        if (may_start_now(task)) amb_command_list_add_start(node, task, &starts);
    amb_heartbeat_reply_commands(request, node->election.term, &starts);
}

static void send_deferred(void *context) {
    const struct amb_deferred_response *deferred = context;
    struct amb_node *node = deferred->node;
    struct amb_machine *machine = deferred->machine;
    struct amb_http_req *request = deferred->request;
    if (!amb_election_is_leader(node) || !request->connection) { /* nobody would receive a start */
        amb_deferred_response_finish(node, machine);
        return;
    }
    discard(machine);
    send_starts(node, machine, request);
}

void amb_deferred_response_begin(struct amb_node *node, struct amb_machine *machine,
                                 struct amb_http_req *request) {
    double period_s = node->settings.heartbeat_s;
    double bound_s = period_s < AGENT_TIMEOUT_S ? period_s : AGENT_TIMEOUT_S;
    struct amb_deferred_response *deferred = amb_alloc(sizeof *deferred);
    deferred->node = node;
    deferred->machine = machine;
    deferred->request = request;
    machine->deferred_response = deferred;
    request->deferred = true;
    amb_timer_set_after(&deferred->timer, amb_seconds_to_ms(DEFERRED_SHARE * bound_s), send_deferred,
                        deferred);
}

/* Sends the response from the event loop, so that nothing changes while the caller iterates over tasks or
 * machines. */
static void trigger_machine(const struct amb_machine *machine) {
    if (!machine || !machine->deferred_response) return;
    amb_timer_set_after(&machine->deferred_response->timer, 0, send_deferred, machine->deferred_response);
}

void amb_deferred_response_trigger(struct amb_task *task) {
    const struct amb_job *job = task->job;
    if (job->spec->kind != AMB_JOB_KIND_GANG) {
        trigger_machine(task->machine);
        return;
    }
    if (!amb_gang_placements_are_durable(job)) return;
    for (uint32_t i = 0; i < job->spec->task_count; i++) trigger_machine(job->tasks[i].machine);
}
