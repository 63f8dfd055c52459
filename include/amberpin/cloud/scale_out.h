/* Scale out: requests for machines. A request is recorded, then sent to the cloud under its id until it is
 * answered, and its machines are known by name before more are requested for the same need. The record lets a
 * new leader repeat a request of its predecessor, which the cloud carries out once. */
#ifndef AMBERPIN_CLOUD_SCALE_OUT_H
#define AMBERPIN_CLOUD_SCALE_OUT_H

#include "amberpin/base/util.h"
#include "amberpin/cloud/cloud_calls.h"
#include "amberpin/model/model.h"

#include <cbor.h>

struct amb_node;

/* What is requested: indexes of the type and the zone in the catalogue. */
struct amb_scale_out_kind {
    int type, zone;
    bool spot;
};

enum amb_scale_out_state {
    AMB_SCALE_OUT_RECORDING,  /* its record is to be written */
    AMB_SCALE_OUT_REQUESTING, /* recorded; the cloud is to be called, or has been and has not answered */
    AMB_SCALE_OUT_DONE,       /* carried out; the record is kept until lists show the machines */
    AMB_SCALE_OUT_REMOVING,   /* its record is to be removed */
};

/* A request for machines of one kind. */
struct amb_scale_out_request {
    char id[AMB_CLOUD_REQUEST_ID_SIZE];
    int type, zone; /* indexes in the catalogue */
    bool spot;
    bool via_intent; /* the holder of the duty calls the cloud, by an intent of this leader */
    uint32_t count;
    enum amb_scale_out_state state;
    bool in_flight; /* a call for it has not been answered yet */
    amb_ms retry_at, done_at;
    struct amb_scale_out_request *next;
};

/* Kinds of which the cloud had too little capacity are not requested for a while. */
struct amb_capacity_backoff {
    amb_ms until;
    uint32_t failures; /* in a row */
};

struct amb_scale_out {
    struct amb_scale_out_request *requests; /* owned; the longest waiting first */
    uint64_t request_counter;               /* makes ids unique within a term */
    struct amb_capacity_backoff capacity_backoff[AMB_MACHINE_TYPES_MAX][AMB_ZONES_MAX][2]; /* 1: spot */
};

/* ---- requests ---- */

/* Adds a request for so many machines of this kind, at most as many as one call may ask for. */
void amb_scale_out_submit(struct amb_node *node, int type, int zone, bool spot, uint32_t count);
/* How many requests submitted at `now` could be sent at once. What is needed beyond them stays in the plan,
 * where it adds up by kind until its turn comes. */
uint32_t amb_scale_out_available_calls(struct amb_node *node, amb_ms now);
/* Adds a request that is on record as an intent of an earlier leader; borrowed. */
struct amb_scale_out_request *amb_scale_out_adopt_intent(struct amb_node *node, const char *id,
                                                         const struct amb_scale_out_kind *kind,
                                                         uint32_t count);
/* A new leader takes over a request of an earlier one, if the key is that of a request's record: it is
 * repeated, and the answer names the machines. */
void amb_scale_out_restore(struct amb_node *node, const char *key, const cbor_item_t *value);
/* Borrowed; NULL: there is none of this id. */
struct amb_scale_out_request *amb_scale_out_find(struct amb_node *node, const char *id);
/* Takes the request off the list and frees it. */
void amb_scale_out_remove(struct amb_node *node, struct amb_scale_out_request *request);
/* Takes the next step of every request, as far as it is due at `now`. */
void amb_scale_out_tick(struct amb_node *node, amb_ms now);
/* Removes all requests. */
void amb_scale_out_reset(struct amb_node *node);

/* ---- results ---- */

/* The cloud has given us this machine. */
void amb_scale_out_add_machine(struct amb_node *node, const struct amb_scale_out_kind *kind,
                               const char *name);
/* The request was carried out, with so many machines. */
void amb_scale_out_note_filled(struct amb_node *node, const struct amb_scale_out_request *request,
                               size_t machine_count);
/* The cloud has no capacity of the requested kind. */
void amb_scale_out_note_no_capacity(struct amb_node *node, const struct amb_scale_out_request *request);
/* Had the cloud too little capacity of this kind lately? */
bool amb_scale_out_is_backing_off(const struct amb_node *node, int type, int zone, bool spot, amb_ms now);

#endif
