/* Processing of agents' heartbeats on the leader: updates the state of the machine and of its tasks,
 * evaluates proofs of absence, and collects the commands of the response. */
#ifndef AMBERPIN_AGENT_HEARTBEATS_H
#define AMBERPIN_AGENT_HEARTBEATS_H

#include "amberpin/fleet/agent_commands.h"
#include "amberpin/model/model.h"

struct amb_node;

enum amb_heartbeat_result {
    AMB_HEARTBEAT_PROCESSED,   /* or ignored as a late copy */
    AMB_HEARTBEAT_HIGHER_TERM, /* it carries a later leader's fencing token; nothing was changed */
};

/* Processes a heartbeat on the leader, marks the starts that are due, and appends the other commands for the
 * response. */
enum amb_heartbeat_result amb_heartbeat_process(struct amb_node *node,
                                                const struct amb_agent_heartbeat *heartbeat, amb_ms now,
                                                struct amb_command_list *commands);

/* Returns whether the heartbeat is newer than every other that this node has received from the machine. */
bool amb_heartbeat_is_newer(const struct amb_agent_heartbeat *heartbeat, const struct amb_machine *machine);

/* Appends a stop for each listed task of a cancelled job. Every node that responds to a heartbeat must do at
 * least this, including a lease proxy and a leader that has not restored the records yet, because any
 * response may renew the lease that keeps the tasks running. */
void amb_heartbeat_stop_cancelled(struct amb_node *node, const struct amb_agent_heartbeat *heartbeat,
                                  struct amb_command_list *commands);

#endif
