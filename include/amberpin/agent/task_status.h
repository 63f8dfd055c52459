/* What a heartbeat shows of one task: that it is active, that it has exited, or by not listing it that it is
 * absent. */
#ifndef AMBERPIN_AGENT_TASK_STATUS_H
#define AMBERPIN_AGENT_TASK_STATUS_H

#include "amberpin/fleet/agent_commands.h"
#include "amberpin/model/absence_proof.h"

struct amb_node;

/* The machine's heartbeat lists a task, which this node may not know. evidence: of the heartbeat. Appends a
 * stop if the task should not run there, or tells the agent to forget an exit that needs no further care. */
void amb_task_handle_listed(struct amb_node *node, struct amb_machine *machine,
                            const struct amb_agent_task *listed, struct amb_heartbeat_evidence evidence,
                            struct amb_command_list *commands);

/* The heartbeat carries this leader's fencing token and does not list a task that is bound to its machine. If
 * that proves the task absent it is unbound, or its start is appended if it has yet to start. */
void amb_task_handle_unlisted(struct amb_node *node, struct amb_task *task,
                              struct amb_heartbeat_evidence evidence, struct amb_command_list *commands);

#endif
