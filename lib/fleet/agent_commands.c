#include "amberpin/fleet/agent_commands.h"

#include "amberpin/codec/messages.h"
#include "amberpin/job/cancellation_notice.h"
#include "amberpin/node/node.h"

#include <string.h>

enum { STOPS_MAX = 32 };

/* ---- what is ordered ---- */

void amb_command_list_add(struct amb_command_list *list, enum amb_agent_command_kind kind, const char *ref,
                          uint32_t index, uint64_t attempt, double grace_s) {
    if (list->count == list->capacity) return;
    struct amb_agent_command *command = &list->commands[list->count++];
    command->kind = kind;
    strcpy(command->job_ref, ref);
    command->index = index;
    command->attempt = attempt;
    command->grace_s = grace_s;
}

bool amb_gang_is_recorded(const struct amb_job *job) {
    for (uint32_t i = 0; i < job->spec->task_count; i++) {
        const struct amb_task *task = &job->tasks[i];
        if (!task->done && (!task->machine || task->state == AMB_TASK_PLACED)) return false;
    }
    return true;
}

void amb_command_list_add_start(struct amb_node *node, struct amb_task *task, struct amb_command_list *list) {
    struct amb_job *job = task->job;
    const struct amb_machine *machine = task->machine;
    if (!amb_election_may_start_tasks(node) || !node->controller.ready) return;
    if (machine->release_pending || machine->state == AMB_MACHINE_RELEASING) return;
    if (job->spec->kind == AMB_JOB_KIND_GANG && !amb_gang_is_recorded(job)) return;
    if (amb_cancellation_is_pending(node, job)) return;
    if (list->count == list->capacity) return; /* not sent: it goes out with the next report */
    task->start_sent = true;
    amb_command_list_add(list, AMB_COMMAND_RUN, job->ref, task->index, task->attempt, 0);
}

/* ---- answers to reports ---- */

void amb_heartbeat_reply_commands(struct amb_http_req *request, uint64_t term,
                                  const struct amb_command_list *list) {
    struct amb_buf buffer = {0};
    amb_cbor_write_map(&buffer, 2);
    amb_cbor_write_string(&buffer, "baton");
    amb_cbor_write_uint(&buffer, term);
    amb_cbor_write_string(&buffer, "orders");
    amb_codec_encode_commands(&buffer, list->commands, list->count);
    amb_http_reply_cbor(request, 200, &buffer, 0);
}

void amb_heartbeat_reply_redirect(struct amb_node *node, struct amb_http_req *request) {
    const char *leader = amb_election_leader_name(node);
    if (node->election.role == AMB_ROLE_FENCED) {
        amb_http_reply_cbor(request, 503, NULL, 1);
        return;
    }
    struct amb_buf buffer = {0};
    amb_cbor_write_map(&buffer, leader ? 1 : 0);
    if (leader) {
        amb_cbor_write_string(&buffer, "harbour");
        amb_cbor_write_string(&buffer, leader);
    }
    amb_http_reply_cbor(request, 421, &buffer, 0);
}

/* ---- /commands ---- */

static void ignore_reply(void *context, int status, const char *body, size_t length) {
    /* What counts is the report that the machine sends next. */
    (void)context, (void)status, (void)body, (void)length;
}

void amb_machine_send_commands(struct amb_node *node, const struct amb_machine *machine, uint64_t incarnation,
                               const struct amb_command_list *list) {
    struct amb_buf buffer = {0};
    amb_cbor_write_map(&buffer, 3);
    amb_cbor_write_string(&buffer, "baton");
    amb_cbor_write_uint(&buffer, node->election.term);
    amb_cbor_write_string(&buffer, "watch");
    amb_cbor_write_uint(&buffer, incarnation);
    amb_cbor_write_string(&buffer, "orders");
    amb_codec_encode_commands(&buffer, list->commands, list->count);
    amb_http_call(machine->address, "POST", "/commands", "application/cbor", buffer.data, buffer.len,
                  amb_seconds_to_ms(node->settings.heartbeat_s), ignore_reply, NULL);
    amb_buf_free(&buffer);
}

/* A late stop does no harm: it names an attempt that was to stop anyway. (Starts only ever go out in
 * answers.) */
void amb_machine_send_stops(struct amb_node *node, struct amb_machine *machine) {
    struct amb_command_list stops = {(struct amb_agent_command[STOPS_MAX]){{0}}, STOPS_MAX, 0};
    machine->stops_due = false;
    for (struct amb_task *task = machine->tasks; task; task = task->next_on_machine)
        if (task->stop_requested && task->state == AMB_TASK_SEEN)
            amb_command_list_add(&stops, AMB_COMMAND_STOP, task->job->ref, task->index, task->attempt,
                                 task->grace_s);
    if (!stops.count || !machine->token_acknowledged || !machine->address[0]) return;
    amb_machine_send_commands(node, machine, machine->incarnation, &stops);
}
