/* The intent log of scale in: a durable record of the machines that the leader is releasing. It is written
 * before the cloud is called, and read by every new leader before it places anything: a call of an earlier
 * leader may reach the cloud at any later time, and must not hit a machine that has been given work since
 * (docs/safety.md, Rentals). */
#ifndef AMBERPIN_CLOUD_SCALE_IN_LOG_H
#define AMBERPIN_CLOUD_SCALE_IN_LOG_H

#include "amberpin/base/util.h"

#include <cbor.h>

struct amb_machine;
struct amb_node;

enum amb_scale_in_log_state {
    AMB_SCALE_IN_LOG_UNRECORDED, /* the machines of the release at hand are not on record */
    AMB_SCALE_IN_LOG_WRITING,
    AMB_SCALE_IN_LOG_UNKNOWN, /* a write was refused, or had no answer: the record must be read */
    AMB_SCALE_IN_LOG_READING,
    AMB_SCALE_IN_LOG_RECORDED, /* they are; the cloud may be called */
};

struct amb_scale_in_log {
    enum amb_scale_in_log_state state;
    uint64_t revision; /* of the key, as last known; 0: absent */
    amb_ms retry_at;   /* neither written nor read before */
};

/* Are the names of the release at hand on record? If not, takes the next step towards it. */
bool amb_scale_in_log_ensure_recorded(struct amb_node *node, amb_ms now);
/* Bytes that the names of a release may take, each with AMB_SCALE_IN_NAME_BYTES beside its own. */
size_t amb_scale_in_log_capacity_bytes(const struct amb_node *node);
/* The cloud has answered that the machines are released: no late call can hit them, and the record may be
 * overwritten. */
void amb_scale_in_log_note_released(struct amb_node *node);
/* A new leader takes over the record, if the key is that of the log. `revision` is the key's. */
void amb_scale_in_log_restore(struct amb_node *node, const char *key, const cbor_item_t *value,
                              uint64_t revision);
/* A machine is new to the leader's table: it may be one that is being released. */
void amb_scale_in_log_note_machine(struct amb_node *node, struct amb_machine *machine);
/* Forgets what is known of the record. */
void amb_scale_in_log_reset(struct amb_node *node);

#endif
