/* Responses to heartbeats that are deferred. A start is sent only in the response to a heartbeat, and only
 * after a fresh read of the state service that was sent after the heartbeat had arrived. So a response with
 * starts waits for that read, which one request makes for all responses that wait for it. If the read is late
 * or fails, the response is sent without the starts.
 *
 * A response without commands waits for a start to become due (long polling): a machine sends one heartbeat
 * per period, so a start would otherwise wait for half a period on average, which is a large part of the few
 * seconds within which some work must start. This delays no heartbeat, because the agent waits for at least
 * half a period after the last one anyway. */
#ifndef AMBERPIN_FLEET_DEFERRED_RESPONSES_H
#define AMBERPIN_FLEET_DEFERRED_RESPONSES_H

#include "amberpin/fleet/agent_commands.h"
#include "amberpin/http/http.h"
#include "amberpin/model/model.h"

struct amb_node;

/* Returns whether there is memory for one more deferred response that keeps this many commands. */
bool amb_deferred_response_has_room(const struct amb_node *node, size_t commands);

/* Defers the response to the machine's newest heartbeat. commands: those that it carries besides starts, for
 * which there must be room; they are copied. If a start is due the response waits for a fresh read, else for
 * a start. The machine must not have a deferred response yet. */
void amb_deferred_response_begin(struct amb_node *node, struct amb_machine *machine,
                                 struct amb_http_req *request, const struct amb_command_list *commands);

/* Sends the machine's deferred response now, if there is one: without commands, or as a redirect if this node
 * no longer leads. */
void amb_deferred_response_finish(struct amb_node *node, struct amb_machine *machine);

/* To be called when the task's placement has become durable. If the response of its machine waits for a
 * start, it is then sent with the starts that are due once a fresh read has been applied. For a gang, the
 * same applies to all its machines once all its placements are durable. */
void amb_deferred_response_trigger(struct amb_task *task);

#endif
