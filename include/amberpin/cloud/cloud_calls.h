/* Calls to the cloud: their budget, and which term an answer belongs to. */
#ifndef AMBERPIN_CLOUD_CALLS_H
#define AMBERPIN_CLOUD_CALLS_H

#include "amberpin/base/util.h"

struct amb_node;

/* Share of all calls that the holder of the rent duty may make. */
#define AMB_CLOUD_RENT_SHARE 0.4

/* A call of a leader under way, to the cloud or the state service. Whoever gets its answer frees it. */
struct amb_cloud_call {
    struct amb_node *node;
    uint64_t term;
    amb_ms started_at;
    char request_id[48]; /* the rental request that it asks for; empty: none */
};

struct amb_cloud_call *amb_cloud_call_new(struct amb_node *node);
/* Is the answer still for this node's term? */
bool amb_cloud_call_is_current(const struct amb_cloud_call *call);
/* The node, if the answer is; else NULL. Frees the call. */
struct amb_node *amb_cloud_call_take(struct amb_cloud_call *call);
/* Brings the budget of calls up to date. */
void amb_cloud_refill_budget(struct amb_node *node, amb_ms now);
/* Takes one call from the budget. False: none may be sent now. */
bool amb_cloud_take_token(struct amb_node *node, amb_ms now);
/* Heeds the status of an answer: after a 429 no call is sent for a while. */
void amb_cloud_note_status(struct amb_node *node, int status);

#endif
