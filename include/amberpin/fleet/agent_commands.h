/* Commands to agents. A start goes out only in the response to a heartbeat, which the agent drops when it is
 * late. A stop does no harm when it is carried out late, so it may also be sent as a request of its own. */
#ifndef AMBERPIN_FLEET_AGENT_COMMANDS_H
#define AMBERPIN_FLEET_AGENT_COMMANDS_H

#include "amberpin/model/model.h"

struct amb_node;

enum { AMB_COMMANDS_MAX = 256 /* in one response */ };

/* A list of bounded size on memory that its creator owns. */
struct amb_command_list {
    struct amb_agent_command *commands;
    size_t capacity, count;
};

/* Appends a command. Does nothing when the list is full: what is still needed is sent with a later heartbeat.
 * job_ref: the job of the task with this index; grace_s: time to save before a stop, in seconds. */
void amb_command_list_add(struct amb_command_list *list, enum amb_agent_command_kind kind,
                          const char *job_ref, uint32_t index, uint64_t attempt, double grace_s);

/* Appends the start of a task that is bound to its machine, unless it must not start now: this node may not
 * start tasks, the machine is being released, the job is being cancelled, or placements of its gang are not
 * durable yet. list: the response to the machine's latest heartbeat. */
void amb_command_list_add_start(struct amb_node *node, struct amb_task *task, struct amb_command_list *list);

/* Is every placement of the gang's attempt durable? None of its tasks may start before. */
bool amb_gang_is_recorded(const struct amb_job *job);

/* Sends commands to this incarnation of the machine's agent, which may carry them out late: no starts. An
 * empty list delivers the fencing token alone. */
void amb_machine_send_commands(struct amb_node *node, const struct amb_machine *machine, uint64_t incarnation,
                               const struct amb_command_list *list);

/* Sends the stops that are due without waiting for the machine's next heartbeat. */
void amb_machine_send_stops(struct amb_node *node, struct amb_machine *machine);

#endif
