/* Calls to the cloud: the call budget, sending, and matching of answers to the term of the call. */
#ifndef AMBERPIN_CLOUD_CALLS_H
#define AMBERPIN_CLOUD_CALLS_H

#include "amberpin/base/util.h"
#include "amberpin/http/http.h"

struct amb_node;

enum { AMB_CLOUD_REQUEST_ID_SIZE = 48 }; /* bytes of a request id, with the terminating zero */

/* The share of the controllers' total call budget that the holder of the rent duty may use. */
#define AMB_CLOUD_RENT_SHARE 0.4

/* A call of the leader, to the cloud or to the key-value store, that is in flight. The handler of its answer
 * frees it. */
struct amb_cloud_call {
    struct amb_node *node;
    uint64_t term;
    char request_id[AMB_CLOUD_REQUEST_ID_SIZE]; /* of the scale-out request it serves; empty: none */
};

/* Allocates a call that belongs to the node's current term. */
struct amb_cloud_call *amb_cloud_call_new(struct amb_node *node);
/* Does the node still lead under the term of the call? */
bool amb_cloud_call_is_current(const struct amb_cloud_call *call);
/* Returns the node if it still leads under the term of the call, else NULL. Frees the call. */
struct amb_node *amb_cloud_call_take(struct amb_cloud_call *call);

/* Sends a GET request without a body; `path` may have a query. */
void amb_cloud_get(struct amb_node *node, const char *path, amb_http_done done, void *arg);
/* Sends a POST request with a CBOR body and frees the bytes of the buffer. */
void amb_cloud_post(struct amb_node *node, const char *path, struct amb_buf *body, amb_http_done done,
                    void *arg);

/* Updates the rate of the call budget and adds the tokens that are due at `now`. */
void amb_cloud_refill_budget(struct amb_node *node, amb_ms now);
/* Takes the token of one call from the call budget. False: no call may be sent now. */
bool amb_cloud_take_token(struct amb_node *node, amb_ms now);
/* Evaluates the status of an answer: after "too many requests" no call is sent for 1 / cloud_rps seconds. */
void amb_cloud_handle_status(struct amb_node *node, int status);

#endif
