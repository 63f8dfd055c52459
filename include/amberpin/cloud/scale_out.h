/* Scale out: requests for machines. A request is recorded in the key-value store, then sent to the cloud with
 * the same request id until it is answered. The names of its machines are known before more machines are
 * requested for the same demand. The record lets a new leader repeat a request of its predecessor; the cloud
 * carries out each request id once. */
#ifndef AMBERPIN_CLOUD_SCALE_OUT_H
#define AMBERPIN_CLOUD_SCALE_OUT_H

#include "amberpin/base/util.h"
#include "amberpin/cloud/cloud_calls.h"
#include "amberpin/model/model.h"

#include "amberpin/codec/cbor_item.h"

struct amb_node;

/* The kind of machine that is requested. type and zone are indexes in the catalogue. */
struct amb_scale_out_kind {
    int type, zone;
    bool spot;
};

enum amb_scale_out_state {
    AMB_SCALE_OUT_RECORDING,  /* the record is not written yet */
    AMB_SCALE_OUT_REQUESTING, /* recorded; the cloud has not been called, or has not answered yet */
    AMB_SCALE_OUT_DONE,       /* carried out; the record is kept until listings show the machines */
    AMB_SCALE_OUT_REMOVING,   /* the record is to be removed */
};

/* A request for machines of one kind. */
struct amb_scale_out_request {
    char id[AMB_CLOUD_REQUEST_ID_SIZE];
    int type, zone; /* indexes in the catalogue */
    bool spot;
    bool via_intent; /* the holder of the rent duty calls the cloud, following an intent of this leader */
    uint32_t count;
    enum amb_scale_out_state state;
    bool in_flight; /* a call for this request has not been answered yet */
    amb_ms retry_at, done_at;
    struct amb_scale_out_request *next;
};

/* Capacity backoff of a kind of machine: after the cloud lacked capacity, the kind is not requested before
 * `until`. */
struct amb_capacity_backoff {
    amb_ms until;
    uint32_t failures; /* consecutive answers that there is no capacity */
};

struct amb_scale_out {
    struct amb_scale_out_request *requests; /* owned; oldest first */
    uint64_t request_counter;               /* makes ids unique within a term */
    struct amb_capacity_backoff capacity_backoff[AMB_MACHINE_TYPES_MAX][AMB_ZONES_MAX][2]; /* 1: spot */
};

/* ---- requests ---- */

/* Adds a request for `count` machines of this kind, or for as many as one call may request. */
void amb_scale_out_submit(struct amb_node *node, int type, int zone, bool spot, uint32_t count);
/* The number of new requests that could be sent immediately at `now`. Demand beyond them stays in the
 * capacity plan, which combines it by kind of machine until calls are available. */
uint32_t amb_scale_out_available_calls(struct amb_node *node, amb_ms now);
/* Adds a request that an earlier leader recorded as an intent. Returns it, borrowed. */
struct amb_scale_out_request *amb_scale_out_adopt_intent(struct amb_node *node, const char *id,
                                                         const struct amb_scale_out_kind *kind,
                                                         uint32_t count);
/* Restores a request of an earlier leader on a new leader, if the key is that of a request record. The
 * request is repeated, and the answer names its machines. */
void amb_scale_out_restore(struct amb_node *node, const char *key, const struct amb_cbor_item *value);
/* Returns the request with this id, borrowed; NULL: there is none. */
struct amb_scale_out_request *amb_scale_out_find(struct amb_node *node, const char *id);
/* Removes the request from the list and frees it. */
void amb_scale_out_remove(struct amb_node *node, struct amb_scale_out_request *request);
/* Takes the next step of each request for which it is due at `now`. */
void amb_scale_out_tick(struct amb_node *node, amb_ms now);
/* Removes all requests and all capacity backoffs. */
void amb_scale_out_reset(struct amb_node *node);

/* ---- results ---- */

/* Adds a newly granted machine to the leader's machine table. If the table already has the machine, sets its
 * type and zone and whether it is a spot instance. */
void amb_scale_out_add_machine(struct amb_node *node, const struct amb_scale_out_kind *kind,
                               const char *name);
/* Notes that the cloud has granted `machine_count` machines, and backs off if these are too few. */
void amb_scale_out_note_filled(struct amb_node *node, const struct amb_scale_out_request *request,
                               size_t machine_count);
/* Notes that the cloud has no capacity of the requested kind, and backs off. */
void amb_scale_out_note_no_capacity(struct amb_node *node, const struct amb_scale_out_request *request);
/* Is the capacity backoff of this kind of machine in effect at `now`? */
bool amb_scale_out_is_backing_off(const struct amb_node *node, int type, int zone, bool spot, amb_ms now);

#endif
