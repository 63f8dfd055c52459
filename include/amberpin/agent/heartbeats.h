/* What the leader makes of a worker's report: what its tasks do, what it proves, and the orders in its
 * answer. */
#ifndef AMBERPIN_REPORTS_H
#define AMBERPIN_REPORTS_H

#include "amberpin/fleet/agent_commands.h"
#include "amberpin/model/absence_proof.h"

struct amb_node;

/* Orders are appended. False: the report shows a higher term. */
bool amb_heartbeat_process(struct amb_node *node, const struct amb_agent_heartbeat *heartbeat, amb_ms now,
                           struct amb_agent_command *commands, size_t capacity, size_t *count);
/* Is this report newer than all that its machine has sent? */
bool amb_heartbeat_is_newer(const struct amb_agent_heartbeat *heartbeat, const struct amb_machine *machine);
/* A cancelled job's tasks are told to stop by whoever answers their machine, a deputy or a leader that has
 * not read the records yet too: its answer keeps them alive. */
void amb_heartbeat_stop_cancelled(struct amb_node *node, const struct amb_agent_heartbeat *heartbeat,
                                  struct amb_command_list *commands);

#endif
