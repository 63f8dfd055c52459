#include "amberpin/fleet/deferred_responses.h"

#include "amberpin/fleet/agent_commands.h"
#include "amberpin/node/node.h"

#include <stdlib.h>

/* Of the report period: the answer is back before the next report may come. */
static const double HOLD_SHARE = 0.4;
/* The protocol: a worker drops an answer that comes after 4 s, however seldom it reports. */
static const double DROPPED_S = 4;

struct amb_held {
    struct amb_node *node;
    struct amb_machine *machine;
    struct amb_http_req *req;
    struct amb_timer timer;
};

static void end_hold(struct amb_machine *machine) {
    amb_timer_stop(&machine->deferred_response->timer);
    free(machine->deferred_response);
    machine->deferred_response = NULL;
}

void amb_answer_drop(struct amb_node *node, struct amb_machine *machine) {
    if (!machine->deferred_response) return;
    struct amb_http_req *request = machine->deferred_response->req;
    end_hold(machine);
    if (amb_election_is_leader(node)) {
        machine->last_response_at = amb_now();
        amb_orders_answer(request, node->election.term, &(struct amb_orders){0});
    } else {
        amb_orders_redirect(node, request);
    }
}

static bool starts_in_held_answer(const struct amb_task *task) {
    return task->state == AMB_TASK_BOUND && !task->start_sent && !task->inherited && !task->stop_requested &&
           task->job->state == AMB_JOB_QUEUED;
}

static void answer_held(void *arg) {
    static struct amb_agent_command list[AMB_ORDERS_MAX];
    struct amb_held *held = arg;
    struct amb_node *node = held->node;
    struct amb_machine *machine = held->machine;
    struct amb_http_req *request = held->req;
    struct amb_orders orders = {list, AMB_ORDERS_MAX, 0};
    if (!amb_election_is_leader(node) || !request->conn) { /* nobody would hear an order */
        amb_answer_drop(node, machine);
        return;
    }
    end_hold(machine);
    machine->last_response_at = amb_now();
    for (struct amb_task *task = machine->tasks; task; task = task->next_on_machine)
        if (starts_in_held_answer(task)) amb_orders_add_start(node, task, &orders);
    amb_orders_answer(request, node->election.term, &orders);
}

void amb_answer_hold(struct amb_node *node, struct amb_machine *machine, struct amb_http_req *request) {
    struct amb_held *held = amb_alloc(sizeof *held);
    held->node = node;
    held->machine = machine;
    held->req = request;
    machine->deferred_response = held;
    request->kept = true;
    double report_s = node->settings.report_s;
    amb_timer_in(&held->timer, amb_secs(HOLD_SHARE * (report_s < DROPPED_S ? report_s : DROPPED_S)),
                 answer_held, held);
}

void amb_answer_start(struct amb_task *task) {
    struct amb_job *job = task->job;
    bool gang = job->spec->kind == AMB_JOB_KIND_GANG;
    if (gang && !amb_gang_recorded(job)) return;
    uint32_t first = gang ? 0 : task->index;
    uint32_t last = gang ? job->spec->task_count - 1 : task->index;
    /* From the loop, so that whoever calls this finds nothing changed under its hands. */
    for (uint32_t i = first; i <= last; i++) {
        struct amb_held *held = job->tasks[i].machine ? job->tasks[i].machine->deferred_response : NULL;
        if (held) amb_timer_in(&held->timer, 0, answer_held, held);
    }
}
