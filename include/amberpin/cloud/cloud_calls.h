/* Calls to the cloud: their budget, how they are sent, and which term an answer belongs to. */
#ifndef AMBERPIN_CLOUD_CALLS_H
#define AMBERPIN_CLOUD_CALLS_H

#include "amberpin/base/util.h"
#include "amberpin/http/http.h"

struct amb_node;

enum { AMB_CLOUD_REQUEST_ID_SIZE = 48 }; /* bytes of a request's id, with the terminating zero */

/* Share of all calls that the holder of the rent duty may make. */
#define AMB_CLOUD_RENT_SHARE 0.4

/* A leader's call under way, to the cloud or to the key-value store. Its answer's handler frees it. */
struct amb_cloud_call {
    struct amb_node *node;
    uint64_t term;
    char request_id[AMB_CLOUD_REQUEST_ID_SIZE]; /* of the request it is made for; empty: none */
};

/* A call of this node's present term. */
struct amb_cloud_call *amb_cloud_call_new(struct amb_node *node);
/* Is the answer still for this node's term? */
bool amb_cloud_call_is_current(const struct amb_cloud_call *call);
/* The node, if the answer is still for its term; else NULL. Frees the call. */
struct amb_node *amb_cloud_call_take(struct amb_cloud_call *call);

/* Sends a request without a body; `path` may have a query. */
void amb_cloud_get(struct amb_node *node, const char *path, amb_http_done done, void *arg);
/* Sends a request with a body in CBOR, and frees the buffer's bytes. */
void amb_cloud_post(struct amb_node *node, const char *path, struct amb_buf *body, amb_http_done done,
                    void *arg);

/* Brings the budget of calls up to date. */
void amb_cloud_refill_budget(struct amb_node *node, amb_ms now);
/* Takes one call from the budget. False: none may be sent now. */
bool amb_cloud_take_token(struct amb_node *node, amb_ms now);
/* Heeds the status of an answer: after "too many requests" no call is sent for a while. */
void amb_cloud_handle_status(struct amb_node *node, int status);

#endif
