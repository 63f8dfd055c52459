#include "amberpin/cloud/cloud.h"

#include "amberpin/cloud/catalog_refresh.h"
#include "amberpin/cloud/machine_list.h"
#include "amberpin/cloud/machine_release.h"
#include "amberpin/cloud/scale_out.h"
#include "amberpin/node/node.h"

#include <string.h>

void amb_rental_tick(struct amb_node *node, amb_ms now) {
    amb_cloud_catalog_tick(node, now);
    if (!amb_election_is_leader(node) || !node->controller.restored_at) return;
    amb_machine_returns_tick(node, now);
    amb_rental_requests_tick(node, now);
    amb_machine_list_tick(node, now);
}

void amb_rental_clear(struct amb_node *node) {
    struct amb_rental *rental = &node->cloud;
    amb_rental_requests_clear(node);
    rental->listing = rental->list_page_due = rental->releasing = rental->listed = false;
    rental->nrelease = 0;
    amb_return_record_clear(node);
    rental->list_at = 0;
    memset(rental->refused, 0, sizeof rental->refused);
}

void amb_rental_init(struct amb_node *node) {
    node->cloud.calls.tokens = 1;
}
