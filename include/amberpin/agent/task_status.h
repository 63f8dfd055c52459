/* Evaluation of what a heartbeat shows about one task: that it is active, that it has exited, or, by not
 * listing it, that it is absent. */
#ifndef AMBERPIN_AGENT_TASK_STATUS_H
#define AMBERPIN_AGENT_TASK_STATUS_H

#include "amberpin/fleet/agent_commands.h"
#include "amberpin/model/absence_proof.h"

struct amb_node;

/* Handles a task that the machine's heartbeat lists; this node may not know the task. evidence: taken from
 * the heartbeat. Appends a stop if the task must not run there, or a clear, which makes the agent forget an
 * exit that needs no further handling. */
void amb_task_handle_listed(struct amb_node *node, struct amb_machine *machine,
                            const struct amb_agent_task *listed, struct amb_heartbeat_evidence evidence,
                            struct amb_command_list *commands);

/* Handles a task that is bound to the machine but missing from its heartbeat, which carries this leader's
 * fencing token. If that proves the task absent, unbinds it, or marks its start as due if it has yet to
 * start.
 */
void amb_task_handle_unlisted(struct amb_node *node, struct amb_task *task,
                              struct amb_heartbeat_evidence evidence);

#endif
