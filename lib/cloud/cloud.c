#include "amberpin/cloud/cloud.h"

#include "amberpin/cloud/catalog_refresh.h"
#include "amberpin/cloud/machine_list.h"
#include "amberpin/cloud/machine_release.h"
#include "amberpin/cloud/scale_out.h"
#include "amberpin/node/node.h"

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
    cloud->list_in_progress = cloud->list_page_due = cloud->release_in_flight = cloud->list_completed = false;
    cloud->release_count = 0;
    amb_scale_in_log_reset(node);
    cloud->list_started_at = 0;
    memset(cloud->capacity_backoff, 0, sizeof cloud->capacity_backoff);
}

void amb_cloud_init(struct amb_node *node) {
    node->cloud.call_budget.tokens = 1;
}
