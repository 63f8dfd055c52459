/* The cloud: its catalogue, machines rented and returned, and the list of those that we have. */
#ifndef AMBERPIN_RENTAL_H
#define AMBERPIN_RENTAL_H

#include "amberpin/base/loop.h"
#include "amberpin/cloud/scale_in_log.h"
#include "amberpin/kvstore/client.h"
#include "amberpin/model/model.h"

#include <cbor.h>

struct amb_node;

/* Machines of one kind that are wanted: recorded, then asked for under its name. */
struct amb_scale_out_request {
    char id[48];
    int type, zone;
    bool spot, answered;
    bool via_intent; /* the holder of a duty asks for it, by this leader's order */
    uint32_t count;
    enum {
        AMB_SCALE_OUT_RECORDING,
        AMB_SCALE_OUT_REQUESTING,
        AMB_SCALE_OUT_DONE,
        AMB_SCALE_OUT_REMOVING
    } state;
    amb_ms retry_at, done_at;
    bool in_flight;
    struct amb_scale_out_request *next;
    struct amb_node *node;
};

enum { AMB_RELEASE_MAX = 100 }; /* names in a call (the protocol) */

struct amb_capacity_backoff { /* capacity that was not there */
    amb_ms until;
    uint32_t failures;
};

struct amb_cloud {
    struct amb_token_bucket call_budget;
    bool catalog_known, list_in_progress, release_in_flight;
    amb_ms catalog_requested_at, list_started_at, throttled_until, list_began, release_retry_at;
    struct amb_timer timer;
    struct amb_scale_out_request *requests; /* the longest waiting first */
    uint64_t request_counter;
    uint64_t list_generation;
    bool list_completed; /* the cloud has listed its machines to the end since this node leads */
    char list_cursor[AMB_NAME_SIZE];
    bool list_page_due;     /* the listing under way goes on from there, once a call may be made */
    uint32_t page_failures; /* in a row, of the page that is due */
    amb_ms page_retry_at, page_requested_at;
    uint32_t list_pages; /* of the listing under way, or of the last */
    struct amb_capacity_backoff capacity_backoff[AMB_MACHINE_TYPES_MAX][AMB_ZONES_MAX][2];
    char release_names[AMB_RELEASE_MAX][AMB_NAME_SIZE];
    uint32_t release_count; /* to be returned together: recorded, then asked for until it is answered */
    struct amb_scale_in_log scale_in_log;
};

void amb_cloud_init(struct amb_node *node);
void amb_cloud_tick(struct amb_node *node, amb_ms now);
/* A request that an earlier leader recorded: it is repeated, and the answer names what it rented. */
void amb_scale_out_restore(struct amb_node *node, const char *key, const cbor_item_t *value);
/* Machines of this kind are to be rented. */
void amb_scale_out_submit(struct amb_node *node, int type, int zone, bool spot, uint32_t count);
uint32_t amb_scale_out_available_calls(struct amb_node *node,
                                       amb_ms now); /* how many wants can be asked for by now */
/* The machine is to be returned: it is not needed. The cause is a constant text. */
void amb_cloud_scale_in(struct amb_node *node, struct amb_machine *machine, const char *cause);
/* Likewise: it can't be used any more, or is not there. */
void amb_cloud_release(struct amb_node *node, struct amb_machine *machine, const char *cause);
void amb_cloud_reset(struct amb_node *node);
/* Has the cloud lately had no capacity of this kind? */
bool amb_scale_out_is_backing_off(const struct amb_node *node, int type, int zone, bool spot, amb_ms now);

#endif
