/* Responses to agents' heartbeats. */
#ifndef AMBERPIN_FLEET_HEARTBEAT_RESPONSE_H
#define AMBERPIN_FLEET_HEARTBEAT_RESPONSE_H

#include "amberpin/fleet/agent_commands.h"
#include "amberpin/http/http.h"

struct amb_node;

/* Responds with commands under this term. The response may renew the agent's lease. Completes the request. */
void amb_heartbeat_reply_commands(struct amb_http_req *request, uint64_t term,
                                  const struct amb_command_list *list);

/* Refuses a heartbeat that this node may not respond to, and names the leader if it is known. A fenced node
 * only asks the agent to retry. Completes the request. */
void amb_heartbeat_reply_redirect(struct amb_node *node, struct amb_http_req *request);

#endif
