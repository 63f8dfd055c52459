#include "amberpin/agent/agent_api.h"

#include "amberpin/agent/heartbeats.h"
#include "amberpin/codec/messages.h"
#include "amberpin/fleet/deferred_responses.h"
#include "amberpin/node/node.h"

#include <string.h>

/* To a leader: what the report leads to, now or a little later. */
static void answer_as_leader(struct amb_node *node, struct amb_http_req *request,
                             const struct amb_agent_heartbeat *heartbeat, struct amb_orders *orders) {
    struct amb_machine *machine = amb_machine_get(node, heartbeat->machine, false);
    bool news = machine && amb_report_is_news(heartbeat, machine);
    if (news) amb_answer_drop(node, machine); /* the worker no longer waits for that one */
    if (!amb_election_is_leader(node) ||
        !amb_fleet_report(node, heartbeat, amb_now(), orders->list, orders->capacity, &orders->count))
        amb_orders_redirect(node, request);
    else if (news && !orders->count && node->controller.ready && machine->state == AMB_MACHINE_UP &&
             !machine->release_pending)
        amb_answer_hold(node, machine, request);
    else
        amb_orders_answer(request, node->election.term, orders);
}

static void answer(struct amb_node *node, struct amb_http_req *request,
                   const struct amb_agent_heartbeat *heartbeat) {
    static struct amb_agent_command list[AMB_ORDERS_MAX];
    struct amb_orders orders = {list, AMB_ORDERS_MAX, 0};
    if (amb_election_is_leader(node)) {
        answer_as_leader(node, request, heartbeat, &orders);
    } else if (amb_lease_proxy_may_answer(node, heartbeat)) {
        /* The leader can't be reached from here, but the workers of this zone can be kept alive. */
        amb_report_halt_cancelled(node, heartbeat, &orders);
        amb_orders_answer(request, node->lease_proxy.term, &orders);
    } else {
        amb_orders_redirect(node, request);
    }
}

bool amb_fleet_request(struct amb_node *node, struct amb_http_req *request) {
    if (strcmp(request->path, "/hello")) return false;
    if (strcmp(request->method, "POST")) {
        amb_reply_cbor(request, 405, NULL, 0);
        return true;
    }
    struct amb_agent_heartbeat heartbeat;
    if (amb_codec_read_report(request->body, request->body_len, &heartbeat) != AMB_PARSE_OK) {
        amb_reply_cbor(request, 400, NULL, 0);
        return true;
    }
    node->fleet.last_report_at = amb_now();
    amb_election_observe_term(node, heartbeat.fencing_token, heartbeat.machine);
    answer(node, request, &heartbeat);
    amb_report_free(&heartbeat);
    return true;
}
