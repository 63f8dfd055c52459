#include "amberpin/fleet/agent_commands.h"

#include "amberpin/base/log.h"
#include "amberpin/codec/messages.h"
#include "amberpin/job/cancellation_notice.h"
#include "amberpin/node/node.h"

#include <string.h>

enum { STOPS_MAX = 32 /* in one request */ };

/* ---- command list ---- */

static bool is_full(const struct amb_command_list *list) {
    return list->count == list->capacity;
}

void amb_command_list_add(struct amb_command_list *list, enum amb_agent_command_kind kind,
                          const char *job_ref, uint32_t index, uint64_t attempt, double grace_s) {
    if (is_full(list)) return;
    struct amb_agent_command *command = &list->commands[list->count++];
    command->kind = kind;
    strcpy(command->job_ref, job_ref);
    command->index = index;
    command->attempt = attempt;
    command->grace_s = grace_s;
}

/* ---- starts ---- */

bool amb_gang_placements_are_durable(const struct amb_job *job) {
    for (uint32_t i = 0; i < job->spec->task_count; i++) {
        const struct amb_task *task = &job->tasks[i];
        if (!task->done && (!task->machine || task->state == AMB_TASK_PLACED)) return false;
    }
    return true;
}

/* Logs which read of the key-value store the start relies on. */
static void log_start(const struct amb_node *node, const struct amb_task *task) {
    const struct amb_watch *watch = &node->watch;
    amb_debug("task %s/%u attempt %llu on %s: start ordered, placed %lld ms ago, heartbeat received %lld ms "
              "ago, changes known up to revision %llu, latest read sent %lld ms ago",
              task->job->ref, task->index, (unsigned long long)task->attempt, task->machine->name,
              (long long)(amb_now() - task->state_since),
              (long long)(amb_now() - task->machine->last_heartbeat_at),
              (unsigned long long)watch->known_revision, (long long)(amb_now() - watch->last_read_sent_at));
}

/* Returns whether the task is known to be absent from its machine, and nothing prevents its start. */
static bool is_startable(const struct amb_task *task) {
    bool is_absent = task->start_due || (!task->start_sent && !task->inherited);
    return task->state == AMB_TASK_BOUND && is_absent && !task->stop_requested &&
           task->job->state == AMB_JOB_QUEUED;
}

static bool is_start_due(const struct amb_node *node, const struct amb_task *task) {
    const struct amb_job *job = task->job;
    if (!is_startable(task)) return false;
    if (job->spec->kind == AMB_JOB_KIND_GANG && !amb_gang_placements_are_durable(job)) return false;
    return !amb_cancellation_is_pending(node, job);
}

static bool may_start_tasks_on(const struct amb_node *node, const struct amb_machine *machine) {
    return amb_election_may_start_tasks(node) && node->controller.ready && machine->token_acknowledged &&
           !machine->release_pending && machine->state != AMB_MACHINE_RELEASING;
}

bool amb_machine_has_start_due(const struct amb_node *node, const struct amb_machine *machine) {
    if (!may_start_tasks_on(node, machine)) return false;
    for (const struct amb_task *task = machine->tasks; task; task = task->next_on_machine)
        if (is_start_due(node, task)) return true;
    return false;
}

static void add_start(struct amb_node *node, struct amb_task *task, struct amb_command_list *list) {
    if (is_full(list)) return; /* not marked as sent, so the next heartbeat's response carries it */
    task->start_sent = task->start_unconfirmed = true;
    task->start_due = false;
    log_start(node, task);
    amb_command_list_add(list, AMB_COMMAND_RUN, task->job->ref, task->index, task->attempt, 0);
}

void amb_command_list_add_starts(struct amb_node *node, struct amb_machine *machine,
                                 struct amb_command_list *list) {
    if (!amb_watch_has_fresh_read(node, machine->start_read) || !may_start_tasks_on(node, machine)) return;
    for (struct amb_task *task = machine->tasks; task; task = task->next_on_machine)
        if (is_start_due(node, task)) add_start(node, task, list);
}

/* ---- command requests ---- */

/* The machine's next heartbeat shows the effect of the commands. */
static void ignore_reply(void *context, int status, const char *body, size_t length) {
    (void)context, (void)status, (void)body, (void)length;
}

void amb_machine_send_commands(struct amb_node *node, const struct amb_machine *machine, uint64_t incarnation,
                               const struct amb_command_list *list) {
    struct amb_buf body = {0};
    amb_codec_encode_command_request(&body, node->election.term, incarnation, list->commands, list->count);
    amb_http_call(machine->address, "POST", "/commands", "application/cbor", body.data, body.len,
                  amb_seconds_to_ms(node->settings.heartbeat_s), ignore_reply, NULL);
    amb_buf_free(&body);
}

static bool is_stopping(const struct amb_task *task) {
    return task->stop_requested && task->state == AMB_TASK_SEEN;
}

/* A late stop is harmless, because it names an attempt that had to stop anyway. Starts are never sent here.
 */
void amb_machine_send_stops(struct amb_node *node, struct amb_machine *machine) {
    struct amb_agent_command commands[STOPS_MAX];
    struct amb_command_list stops = {commands, STOPS_MAX, 0};
    machine->stop_commands_due = false;
    for (const struct amb_task *task = machine->tasks; task; task = task->next_on_machine)
        if (is_stopping(task))
            amb_command_list_add(&stops, AMB_COMMAND_STOP, task->job->ref, task->index, task->attempt,
                                 task->grace_s);
    if (!stops.count || !machine->token_acknowledged || !machine->address[0]) return;
    amb_machine_send_commands(node, machine, machine->incarnation, &stops);
}
