#include "amberpin/node/events.h"

#include "amberpin/node/node.h"

void amb_event_post(struct amb_node *node, const struct amb_event *event) {
    node->on_event(node, event);
}

void amb_node_request_cycle(struct amb_node *node) {
    amb_event_post(node, &(struct amb_event){.type = AMB_EVENT_CYCLE_REQUESTED});
}
