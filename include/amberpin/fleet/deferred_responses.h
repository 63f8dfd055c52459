/* Responses to heartbeats that are deferred until there is a command to send (long polling). A start may only
 * go out in the response to a heartbeat, and a machine sends one once a period, so a start would wait for
 * half a period on average: a good part of the few seconds within which some work is to start. A response
 * that would be empty is therefore deferred for a part of the period. The agent could not send another
 * heartbeat meanwhile, since it waits for at least half a period after the last. */
#ifndef AMBERPIN_FLEET_DEFERRED_RESPONSES_H
#define AMBERPIN_FLEET_DEFERRED_RESPONSES_H

#include "amberpin/http/http.h"
#include "amberpin/model/model.h"

struct amb_node;

/* Defers the response to the machine's latest heartbeat. The machine must have no deferred response yet. */
void amb_deferred_response_begin(struct amb_node *node, struct amb_machine *machine,
                                 struct amb_http_req *request);

/* Sends the machine's deferred response now, if there is one: without commands, or as a redirect when this
 * node does not lead any more. */
void amb_deferred_response_finish(struct amb_node *node, struct amb_machine *machine);

/* The task's placement has become durable: the deferred response of its machine is sent from the event loop,
 * with the starts that are possible then. For a gang those of all its machines, once all placements are
 * durable. */
void amb_deferred_response_trigger(struct amb_task *task);

#endif
