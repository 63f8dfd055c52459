/* Responses to heartbeats that are deferred until there is a command to send (long polling). A start is sent
 * only in the response to a heartbeat, and a machine sends one heartbeat per period, so a start would
 * otherwise wait for half a period on average: a large part of the few seconds within which some work must
 * start. A response that would be empty is therefore deferred for part of the period. This delays no
 * heartbeat, because the agent waits for at least half a period after the last one anyway. */
#ifndef AMBERPIN_FLEET_DEFERRED_RESPONSES_H
#define AMBERPIN_FLEET_DEFERRED_RESPONSES_H

#include "amberpin/http/http.h"
#include "amberpin/model/model.h"

struct amb_node;

/* Defers the response to the machine's latest heartbeat. The machine must not have a deferred response yet.
 */
void amb_deferred_response_begin(struct amb_node *node, struct amb_machine *machine,
                                 struct amb_http_req *request);

/* Sends the machine's deferred response now, if there is one: without commands, or as a redirect if this node
 * no longer leads. */
void amb_deferred_response_finish(struct amb_node *node, struct amb_machine *machine);

/* To be called when the task's placement has become durable. Sends the deferred response of its machine from
 * the event loop, with the starts that are possible by then. For a gang, sends those of all its machines once
 * all its placements are durable. */
void amb_deferred_response_trigger(struct amb_task *task);

#endif
