#include "amberpin/fleet/deferred_responses.h"

#include "amberpin/base/log.h"
#include "amberpin/fleet/heartbeat_response.h"
#include "amberpin/node/memory_budget.h"
#include "amberpin/node/node.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Share of the heartbeat period: the response arrives before the agent may send its next heartbeat. */
static const double DEFERRED_SHARE = 0.4;
/* By the protocol an agent drops a response that takes longer than this, however long its heartbeat period.
 */
static const double AGENT_TIMEOUT_S = 4;
/* How long a response waits for a fresh read at most, counted from the arrival of the heartbeat, as shares of
 * the agent's timeout and of its lease: the smaller one counts. */
static const double READ_WAIT_TIMEOUT_SHARE = 0.6, READ_WAIT_LEASE_SHARE = 0.25;

enum deferred_state {
    AWAITING_START, /* no start is due */
    AWAITING_READ,  /* a start is due, but no fresh read has been applied */
    READY,          /* the event loop sends it next */
};

struct amb_deferred_response {
    struct amb_node *node;        /* borrowed */
    struct amb_machine *machine;  /* borrowed; it owns this struct */
    struct amb_http_req *request; /* borrowed until it is replied to */
    enum deferred_state state;
    amb_ms received_at;                        /* when the heartbeat arrived */
    struct amb_timer timer;                    /* ends the present state */
    struct amb_deferred_response *next, *prev; /* in amb_fleet.awaiting_read, in the state AWAITING_READ */
    size_t command_count;                      /* commands other than starts */
    struct amb_agent_command commands[];
};

static void leave_read_queue(struct amb_deferred_response *deferred) {
    if (deferred->state == AWAITING_READ) DL_DELETE(deferred->node->fleet.awaiting_read, deferred);
}

/* ---- sending ---- */

/* Frees the machine's deferred response without replying to its request. */
static void discard(struct amb_machine *machine) {
    struct amb_deferred_response *deferred = machine->deferred_response;
    leave_read_queue(deferred);
    deferred->node->fleet.deferred_commands -= deferred->command_count;
    amb_timer_stop(&deferred->timer);
    free(deferred);
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

/* Whether this node leads and the agent waits for the response, so that it may carry commands. */
static bool may_send_commands(const struct amb_deferred_response *deferred) {
    return amb_election_is_leader(deferred->node) && deferred->request->connection;
}

static void log_omitted_starts(const struct amb_node *node, const struct amb_machine *machine) {
    if (!amb_watch_has_fresh_read(node, machine->start_read) && amb_machine_has_start_due(node, machine))
        amb_debug("machine %s: response sent without the starts that are due: state service not read in time",
                  machine->name);
}

static void send_with_starts(struct amb_deferred_response *deferred) {
    static struct amb_agent_command entries[AMB_COMMANDS_MAX];
    struct amb_command_list list = {entries, AMB_COMMANDS_MAX, deferred->command_count};
    struct amb_node *node = deferred->node;
    struct amb_machine *machine = deferred->machine;
    struct amb_http_req *request = deferred->request;
    memcpy(entries, deferred->commands, deferred->command_count * sizeof *entries);
    discard(machine);
    machine->last_response_at = amb_now();
    amb_command_list_add_starts(node, machine, &list);
    log_omitted_starts(node, machine);
    amb_heartbeat_reply_commands(request, node->election.term, &list);
}

/* ---- waiting for a fresh read ---- */

struct start_read { /* a fresh read that was requested for starts */
    struct amb_node *node;
    uint64_t number;
};

static void on_timer(void *context);

/* Sends the response from the event loop, so that nothing changes while the caller iterates over tasks or
 * machines, and one read that answers many responses doesn't hold up other events. */
static void set_ready(struct amb_deferred_response *deferred) {
    leave_read_queue(deferred);
    deferred->state = READY;
    amb_timer_set_after(&deferred->timer, 0, on_timer, deferred);
}

/* If the read has failed, the responses are sent without starts. */
static void on_start_read(void *context, bool ok) {
    struct start_read *read = context;
    struct amb_deferred_response *deferred, *next;
    (void)ok;
    DL_FOREACH_SAFE(read->node->fleet.awaiting_read, deferred, next) {
        if (deferred->machine->start_read > read->number) break;
        set_ready(deferred);
    }
    free(read);
}

static void request_start_read(struct amb_node *node, uint64_t number) {
    if (node->fleet.requested_start_read >= number) return;
    struct start_read *read = amb_alloc(sizeof *read);
    *read = (struct start_read){node, number};
    node->fleet.requested_start_read = number;
    amb_watch_read_fresh(node, on_start_read, read);
}

static amb_ms read_deadline(const struct amb_deferred_response *deferred) {
    double by_timeout_s = AGENT_TIMEOUT_S * READ_WAIT_TIMEOUT_SHARE;
    double by_lease_s = deferred->node->settings.agent_lease_s * READ_WAIT_LEASE_SHARE;
    return deferred->received_at + amb_seconds_to_ms(by_timeout_s < by_lease_s ? by_timeout_s : by_lease_s);
}

static void await_read(struct amb_deferred_response *deferred) {
    struct amb_node *node = deferred->node;
    uint64_t number = amb_watch_next_fresh_read(node);
    deferred->state = AWAITING_READ;
    deferred->machine->start_read = number;
    DL_APPEND(node->fleet.awaiting_read, deferred);
    amb_timer_set(&deferred->timer, read_deadline(deferred), on_timer, deferred);
    request_start_read(node, number);
}

/* ---- beginning and end ---- */

static void on_timer(void *context) {
    struct amb_deferred_response *deferred = context;
    if (!may_send_commands(deferred))
        amb_deferred_response_finish(deferred->node, deferred->machine);
    else if (deferred->state == AWAITING_START &&
             amb_machine_has_start_due(deferred->node, deferred->machine))
        await_read(deferred);
    else
        send_with_starts(deferred);
}

static void await_start(struct amb_deferred_response *deferred) {
    double period_s = deferred->node->settings.heartbeat_s;
    double bound_s = period_s < AGENT_TIMEOUT_S ? period_s : AGENT_TIMEOUT_S;
    deferred->state = AWAITING_START;
    amb_timer_set_after(&deferred->timer, amb_seconds_to_ms(DEFERRED_SHARE * bound_s), on_timer, deferred);
}

bool amb_deferred_response_has_room(const struct amb_node *node, size_t commands) {
    return node->fleet.deferred_commands + commands <= amb_memory_max_deferred_commands(&node->settings);
}

static struct amb_deferred_response *deferred_new(struct amb_node *node,
                                                  const struct amb_command_list *commands) {
    size_t commands_size = commands->count * sizeof *commands->commands;
    struct amb_deferred_response *deferred = amb_alloc(sizeof *deferred + commands_size);
    deferred->node = node;
    deferred->command_count = commands->count;
    node->fleet.deferred_commands += commands->count;
    memcpy(deferred->commands, commands->commands, commands_size);
    return deferred;
}

void amb_deferred_response_begin(struct amb_node *node, struct amb_machine *machine,
                                 struct amb_http_req *request, const struct amb_command_list *commands) {
    struct amb_deferred_response *deferred = deferred_new(node, commands);
    deferred->machine = machine;
    deferred->request = request;
    deferred->received_at = amb_now();
    machine->deferred_response = deferred;
    request->deferred = true;
    if (amb_machine_has_start_due(node, machine))
        await_read(deferred);
    else
        await_start(deferred);
}

static void trigger_machine(const struct amb_machine *machine) {
    if (!machine || !machine->deferred_response) return;
    struct amb_deferred_response *deferred = machine->deferred_response;
    if (deferred->state == AWAITING_START) amb_timer_set_after(&deferred->timer, 0, on_timer, deferred);
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
