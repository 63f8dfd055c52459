#include "amberpin/agent/agent_api.h"

#include "amberpin/agent/heartbeats.h"
#include "amberpin/codec/messages.h"
#include "amberpin/fleet/deferred_responses.h"
#include "amberpin/fleet/heartbeat_response.h"
#include "amberpin/node/node.h"

#include <string.h>

/* Returns whether a start may become due for the machine while its response is deferred. */
static bool may_await_start(const struct amb_node *node, const struct amb_machine *machine) {
    return node->controller.ready && machine->state == AMB_MACHINE_UP && !machine->release_pending;
}

/* Returns whether the response is to wait for a start, or for the fresh read that a start needs. If there is
 * no room for its other commands it is sent at once; the next one carries the starts. */
static bool should_defer(const struct amb_node *node, const struct amb_machine *machine,
                         const struct amb_command_list *commands) {
    if (!commands->count) return may_await_start(node, machine);
    return amb_deferred_response_has_room(node, commands->count) && amb_machine_has_start_due(node, machine);
}

static void respond_as_leader(struct amb_node *node, struct amb_http_req *request,
                              const struct amb_agent_heartbeat *heartbeat,
                              struct amb_command_list *commands) {
    struct amb_machine *machine = amb_machine_get(node, heartbeat->machine, false);
    bool is_newer = machine && amb_heartbeat_is_newer(heartbeat, machine);
    /* The machine's deferred response, if there is one, answers an earlier heartbeat. */
    if (is_newer) amb_deferred_response_finish(node, machine); /* the agent no longer waits for it */
    if (!amb_election_is_leader(node) ||
        amb_heartbeat_process(node, heartbeat, amb_now(), commands) != AMB_HEARTBEAT_PROCESSED)
        amb_heartbeat_reply_redirect(node, request);
    else if (is_newer && should_defer(node, machine, commands))
        amb_deferred_response_begin(node, machine, request, commands);
    else
        amb_heartbeat_reply_commands(request, node->election.term, commands);
}

static void respond(struct amb_node *node, struct amb_http_req *request,
                    const struct amb_agent_heartbeat *heartbeat) {
    static struct amb_agent_command entries[AMB_COMMANDS_MAX];
    struct amb_command_list commands = {entries, AMB_COMMANDS_MAX, 0};
    if (amb_election_is_leader(node)) {
        respond_as_leader(node, request, heartbeat, &commands);
    } else if (amb_lease_proxy_may_answer(node, heartbeat)) {
        /* This node can't reach the leader, but its responses keep the tasks of its zone running. */
        amb_heartbeat_stop_cancelled(node, heartbeat, &commands);
        amb_heartbeat_reply_commands(request, node->lease_proxy.term, &commands);
    } else {
        amb_heartbeat_reply_redirect(node, request);
    }
}

static void handle_heartbeat(struct amb_node *node, struct amb_http_req *request) {
    struct amb_agent_heartbeat heartbeat;
    if (amb_codec_decode_heartbeat(request->body, request->body_len, &heartbeat) != AMB_CODEC_OK) {
        amb_http_reply_cbor(request, AMB_HTTP_BAD_REQUEST, NULL, 0);
        return;
    }
    node->fleet.last_heartbeat_at = amb_now();
    amb_election_observe_term(node, heartbeat.fencing_token, heartbeat.machine);
    respond(node, request, &heartbeat);
    amb_codec_free_heartbeat(&heartbeat);
}

bool amb_agent_handle_request(struct amb_node *node, struct amb_http_req *request) {
    if (strcmp(request->path, "/hello") != 0) return false;
    if (strcmp(request->method, "POST") != 0)
        amb_http_reply_cbor(request, AMB_HTTP_METHOD_NOT_ALLOWED, NULL, 0);
    else
        handle_heartbeat(node, request);
    return true;
}
