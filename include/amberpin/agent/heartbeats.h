/* What a leader concludes from an agent's heartbeat: the state of the machine and its tasks, what it proves,
 * and the commands in the response. */
#ifndef AMBERPIN_AGENT_HEARTBEATS_H
#define AMBERPIN_AGENT_HEARTBEATS_H

#include "amberpin/fleet/agent_commands.h"
#include "amberpin/model/model.h"

struct amb_node;

enum amb_heartbeat_result {
    AMB_HEARTBEAT_PROCESSED,   /* also a late copy, which changes nothing */
    AMB_HEARTBEAT_HIGHER_TERM, /* it carries the fencing token of a later leader; nothing was changed */
};

/* Processes a heartbeat on the leader and appends the commands of the response. */
enum amb_heartbeat_result amb_heartbeat_process(struct amb_node *node,
                                                const struct amb_agent_heartbeat *heartbeat, amb_ms now,
                                                struct amb_command_list *commands);

/* Is the heartbeat newer than all that this node has received from the machine? */
bool amb_heartbeat_is_newer(const struct amb_agent_heartbeat *heartbeat, const struct amb_machine *machine);

/* Appends a stop for each listed task of a cancelled job. Whoever responds to a heartbeat does at least this,
 * a lease proxy and a leader that has not restored the records yet too, since any response may renew the
 * lease that keeps the tasks running. */
void amb_heartbeat_stop_cancelled(struct amb_node *node, const struct amb_agent_heartbeat *heartbeat,
                                  struct amb_command_list *commands);

#endif
