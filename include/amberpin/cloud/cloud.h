/* The leader's use of the cloud: the catalogue of machine types, scale out, scale in, and the list of
 * existing machines. */
#ifndef AMBERPIN_CLOUD_H
#define AMBERPIN_CLOUD_H

#include "amberpin/base/util.h"
#include "amberpin/cloud/machine_list.h"
#include "amberpin/cloud/machine_release.h"
#include "amberpin/cloud/scale_in_log.h"
#include "amberpin/cloud/scale_out.h"
#include "amberpin/kvstore/client.h"

struct amb_node;

/* State of the cloud module. Other modules read it through node.h; only the cloud module changes it. */
struct amb_cloud {
    struct amb_token_bucket call_budget;
    amb_ms throttled_until; /* no call is sent before this, after the cloud answered "too many requests" */
    bool catalog_known;
    amb_ms catalog_requested_at; /* 0: never */
    struct amb_scale_out scale_out;
    struct amb_machine_release release;
    struct amb_scale_in_log scale_in_log;
    struct amb_machine_list list;
};

/* Initializes the cloud state when the controller starts. */
void amb_cloud_init(struct amb_node *node);
/* Sends the cloud calls that are due at `now`. A controller that does not lead only reads the catalogue. */
void amb_cloud_tick(struct amb_node *node, amb_ms now);
/* Discards all state that belongs to one term. Called when leadership begins and when it ends. */
void amb_cloud_reset(struct amb_node *node);

#endif
