/* Single-holder duties on a node: whether the leader rents and returns machines itself or orders it of the
 * holders of duties (lib/duty/), and the way from one to the other while the service runs. docs/safety.md,
 * "Duties", has the reasoning. */
#ifndef AMBERPIN_DUTIES_H
#define AMBERPIN_DUTIES_H

#include "amberpin/duty/service.h"

struct amb_http_req;
struct amb_machine;
struct amb_node;
struct amb_options;
struct amb_peer;
struct amb_scale_out_request;

/* What a peer's last word says of duties. */
enum amb_peer_duties {
    AMB_PEER_DUTIES_UNKNOWN, /* it has not been heard of */
    AMB_PEER_DUTIES_OFF,     /* switched off, or a version that does not know them */
    AMB_PEER_DUTIES_ON,
};

/* Who calls the cloud to rent and return machines. */
enum amb_scaling_path {
    AMB_SCALING_BY_LEADER,
    AMB_SCALING_BY_HOLDER, /* by orders of the leader */
    AMB_SCALING_PAUSED,    /* what was begun is finished; nothing new is begun */
};

/* A return order of this leader that is being written. */
struct amb_scale_in_intent {
    char id[AMB_DUTY_INTENT_ID]; /* empty: none is */
    enum amb_duty_name duty;
    struct amb_duty_work_order work;
    bool in_flight;
    amb_ms retry_at;
};

struct amb_duties {
    struct amb_duty_service service;
    struct amb_timer timer;
    bool keys_listed;   /* the node has listed all keys */
    bool records_exist; /* an order was heard of while the service is not active */
    /* `a/duty-mode`, as last known. */
    enum amb_duty_mode mode;
    uint64_t mode_revision;
    bool mode_unknown;         /* it is of a form that is not known */
    bool mode_write_pending;   /* a change of it may be under way */
    bool mode_write_in_flight; /* and an answer is awaited */
    amb_ms mode_retry_at;
    struct amb_scale_in_intent scale_in;
    uint64_t scale_in_counter; /* of return orders under this term */
};

/* Do the operators' settings allow a service of duties? False: err names file and field, and what is
 * allowed. */
bool amb_duties_check_options(const struct amb_settings *duty_settings, const struct amb_options *options,
                              const char *file, char *error_text, size_t error_text_size);
/* Seconds that leases of the state service are a share of: the workers' lease, or half of what a cancellation
 * allows beyond it where that is less. */
struct amb_duty_settings amb_duties_make_settings(const struct amb_settings *duty_settings,
                                                  const struct amb_options *options);

/* ---- records ---- */

/* News of a key of duties; value NULL: it is gone. */
void amb_duties_apply_change(struct amb_node *node, const char *key, const cbor_item_t *value,
                             uint64_t revision);
/* The node has listed all keys: at its start, or because changes may have been missed. */
void amb_duties_note_listed(struct amb_node *node);
/* Is all known that a new leader must know before it places: which machines are being returned? */
bool amb_duties_is_ready(const struct amb_node *node);

/* ---- the mode ---- */

bool amb_duties_is_enabled(const struct amb_node *node); /* by this node's own settings */
/* Should duties be in use, by every member's word? They come into use when all say so, and go out of use when
 * one is known to say no: one that has not been heard of since this node began changes nothing. */
bool amb_duties_is_agreed(const struct amb_node *node);
/* A message of the peer says whether duties are switched on there. */
void amb_duties_update_peer(struct amb_peer *peer, bool on);
enum amb_scaling_path amb_duties_scaling_path(const struct amb_node *node);
/* The leader's turn: the mode, and orders of returns. */
void amb_duties_tick(struct amb_node *node, amb_ms now);
/* The node begins to lead, or ceases to: what it was about to write is given up. */
void amb_duties_reset(struct amb_node *node);

/* ---- the leader's orders (orders.c) ---- */

/* Writes rental requests that go by order. Once on record, the duty's holder asks the cloud for them. */
void amb_duties_write_scale_out(struct amb_node *node, amb_ms now);
/* Writes orders for machines that are to be returned. */
void amb_duties_write_scale_in(struct amb_node *node, amb_ms now);
/* Is an order of this leader perhaps being written? */
bool amb_duties_has_pending_writes(const struct amb_node *node);
/* The leader takes over what is on record: rentals under way, and machines that are being returned. */
void amb_duties_restore(struct amb_node *node);
/* A machine is new to the leader's table: it may be one that is being returned. */
void amb_duties_note_machine(struct amb_node *node, struct amb_machine *machine);
/* The record of an order has changed; work NULL: it is gone. */
void amb_duties_apply_intent(struct amb_node *node, const struct amb_duty_intent_record *intent,
                             const struct amb_duty_work_order *work);

/* ---- the cloud (cloud_access.c) ---- */

/* Calls the cloud for a holder. False: no call may be sent now. */
bool amb_duties_call_cloud(struct amb_node *node, const struct amb_duty_intent_record *intent,
                           const struct amb_duty_work_order *work, uint64_t fencing_token,
                           amb_duty_cloud_done done, void *arg);

/* ---- what operators see and ask for (status.c) ---- */

/* Answers GET /duties and POST /duties/handover. False: the request is for something else. */
bool amb_duties_handle_request(struct amb_node *node, struct amb_http_req *request);

#endif
