#include "amberpin/fleet/deferred_responses.h"

#include "amberpin/fleet/agent_commands.h"
#include "amberpin/node/node.h"

#include <stdlib.h>

/* Of the report period: the answer is back before the next report may come. */
static const double DEFERRED_SHARE = 0.4;
/* The protocol: a worker drops an answer that comes after 4 s, however seldom it reports. */
static const double AGENT_TIMEOUT_S = 4;

struct amb_deferred_response {
    struct amb_node *node;
    struct amb_machine *machine;
    struct amb_http_req *req;
    struct amb_timer timer;
};

static void discard(struct amb_machine *machine) {
    amb_timer_stop(&machine->deferred_response->timer);
    free(machine->deferred_response);
    machine->deferred_response = NULL;
}

void amb_deferred_response_finish(struct amb_node *node, struct amb_machine *machine) {
    if (!machine->deferred_response) return;
    struct amb_http_req *request = machine->deferred_response->req;
    discard(machine);
    if (amb_election_is_leader(node)) {
        machine->last_response_at = amb_now();
        amb_heartbeat_reply_commands(request, node->election.term, &(struct amb_command_list){0});
    } else {
        amb_heartbeat_reply_redirect(node, request);
    }
}

static bool may_start_now(const struct amb_task *task) {
    return task->state == AMB_TASK_BOUND && !task->start_sent && !task->inherited && !task->stop_requested &&
           task->job->state == AMB_JOB_QUEUED;
}

static void send_deferred(void *context) {
    static struct amb_agent_command entries[AMB_COMMANDS_MAX];
    struct amb_deferred_response *deferred = context;
    struct amb_node *node = deferred->node;
    struct amb_machine *machine = deferred->machine;
    struct amb_http_req *request = deferred->req;
    struct amb_command_list starts = {entries, AMB_COMMANDS_MAX, 0};
    if (!amb_election_is_leader(node) || !request->connection) { /* nobody would hear an order */
        amb_deferred_response_finish(node, machine);
        return;
    }
    discard(machine);
    machine->last_response_at = amb_now();
    for (struct amb_task *task = machine->tasks; task; task = task->next_on_machine)
        if (may_start_now(task)) amb_command_list_add_start(node, task, &starts);
    amb_heartbeat_reply_commands(request, node->election.term, &starts);
}

void amb_deferred_response_begin(struct amb_node *node, struct amb_machine *machine,
                                 struct amb_http_req *request) {
    struct amb_deferred_response *deferred = amb_alloc(sizeof *deferred);
    deferred->node = node;
    deferred->machine = machine;
    deferred->req = request;
    machine->deferred_response = deferred;
    request->deferred = true;
    double period_s = node->settings.heartbeat_s;
    amb_timer_in(
        &deferred->timer,
        amb_seconds_to_ms(DEFERRED_SHARE * (period_s < AGENT_TIMEOUT_S ? period_s : AGENT_TIMEOUT_S)),
        send_deferred, deferred);
}

void amb_deferred_response_trigger(struct amb_task *task) {
    struct amb_job *job = task->job;
    bool gang = job->spec->kind == AMB_JOB_KIND_GANG;
    if (gang && !amb_gang_is_recorded(job)) return;
    uint32_t first = gang ? 0 : task->index;
    uint32_t last = gang ? job->spec->task_count - 1 : task->index;
    /* From the loop, so that whoever calls this finds nothing changed under its hands. */
    for (uint32_t i = first; i <= last; i++) {
        struct amb_deferred_response *deferred =
            job->tasks[i].machine ? job->tasks[i].machine->deferred_response : NULL;
        if (deferred) amb_timer_in(&deferred->timer, 0, send_deferred, deferred);
    }
}
