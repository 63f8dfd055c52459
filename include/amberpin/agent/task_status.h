/* What a report shows of one task: that it is at work, that it has exited, or by not naming it that it is
 * gone. */
#ifndef AMBERPIN_TASK_REPORTS_H
#define AMBERPIN_TASK_REPORTS_H

#include "amberpin/fleet/agent_commands.h"
#include "amberpin/model/absence_proof.h"

struct amb_node;

/* The machine's report names a task. */
void amb_task_handle_listed(struct amb_node *node, struct amb_machine *machine,
                            const struct amb_agent_task *listed, struct amb_heartbeat_evidence evidence,
                            struct amb_command_list *commands);
/* A report with our token does not name this task of its machine, and proves it absent if it can have
 * started. */
void amb_task_handle_unlisted(struct amb_node *node, struct amb_task *task,
                              struct amb_heartbeat_evidence evidence, struct amb_command_list *commands);

#endif
