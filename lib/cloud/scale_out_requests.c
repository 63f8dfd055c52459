/* The list of scale-out requests, and the bookkeeping of calls in flight for them. */
#include "amberpin/base/log.h"
#include "amberpin/node/node.h"

#include "scale_out_internal.h"

#include <stdlib.h>
#include <string.h>

void scale_out_set_state(struct amb_scale_out_request *request, enum amb_scale_out_state to,
                         const char *cause) {
    static const char *const names[] = {"recording", "asking", "done", "removing"};
    amb_debug("scale-out request %s: %s -> %s: %s", request->id, names[request->state], names[to], cause);
    request->state = to;
}

struct amb_scale_out_request *amb_scale_out_find(struct amb_node *node, const char *id) {
    struct amb_scale_out_request *request = node->cloud.scale_out.requests;
    while (request && strcmp(request->id, id)) request = request->next;
    return request;
}

void amb_scale_out_remove(struct amb_node *node, struct amb_scale_out_request *request) {
    struct amb_scale_out_request **link = &node->cloud.scale_out.requests;
    while (*link != request) link = &(*link)->next;
    *link = request->next;
    free(request);
}

void scale_out_append(struct amb_node *node, struct amb_scale_out_request *request) {
    struct amb_scale_out_request **link = &node->cloud.scale_out.requests;
    while (*link) link = &(*link)->next;
    request->next = NULL;
    *link = request;
}

struct amb_cloud_call *scale_out_call_new(struct amb_node *node, struct amb_scale_out_request *request) {
    struct amb_cloud_call *call = amb_cloud_call_new(node);
    strcpy(call->request_id, request->id);
    request->in_flight = true;
    return call;
}

struct amb_scale_out_request *scale_out_call_take(void *arg, struct amb_node **node) {
    struct amb_cloud_call *call = arg;
    *node = call->node;
    struct amb_scale_out_request *request =
        amb_cloud_call_is_current(call) ? amb_scale_out_find(*node, call->request_id) : NULL;
    free(call);
    if (request) request->in_flight = false;
    return request;
}
