#include "amberpin/cloud/cloud.h"

#include "amberpin/node/node.h"

#include "catalog_refresh.h"

#include <string.h>

void amb_cloud_tick(struct amb_node *node, amb_ms now) {
    amb_cloud_catalog_tick(node, now);
    if (!amb_election_is_leader(node) || !node->controller.restored_at) return;
    amb_cloud_release_tick(node, now);
    amb_scale_out_tick(node, now);
    amb_cloud_list_tick(node, now);
}

void amb_cloud_reset(struct amb_node *node) {
    struct amb_cloud *cloud = &node->cloud;
    amb_scale_out_reset(node);
    cloud->release.in_flight = false;
    cloud->release.count = 0;
    amb_scale_in_log_reset(node);
    cloud->list.state = AMB_MACHINE_LIST_IDLE;
    cloud->list.completed = false;
    cloud->list.started_at = 0;
}

void amb_cloud_init(struct amb_node *node) {
    node->cloud.call_budget.tokens = 1;
}
