/* The cloud as the leader uses it: its catalogue of machine types, scale out, scale in, and the list of the
 * machines that there are. */
#ifndef AMBERPIN_CLOUD_H
#define AMBERPIN_CLOUD_H

#include "amberpin/base/util.h"
#include "amberpin/cloud/machine_list.h"
#include "amberpin/cloud/machine_release.h"
#include "amberpin/cloud/scale_in_log.h"
#include "amberpin/cloud/scale_out.h"
#include "amberpin/kvstore/client.h"

struct amb_node;

/* State of this module. Others read it through node.h; only this module changes it. */
struct amb_cloud {
    struct amb_token_bucket call_budget;
    amb_ms throttled_until; /* no call is sent before, since the cloud answered "too many requests" */
    bool catalog_known;
    amb_ms catalog_requested_at; /* 0: never */
    struct amb_scale_out scale_out;
    struct amb_machine_release release;
    struct amb_scale_in_log scale_in_log;
    struct amb_machine_list list;
};

/* Prepares the state of a controller that starts. */
void amb_cloud_init(struct amb_node *node);
/* Sends what is due at `now`. Without leadership only the catalogue is read. */
void amb_cloud_tick(struct amb_node *node, amb_ms now);
/* Forgets all that belongs to a term of leadership: it has begun, or ended. */
void amb_cloud_reset(struct amb_node *node);

#endif
