/* The record of the machines that the leader is returning, `b/returns`. It is written before the cloud is
 * called, and read by every new leader before it places anything: a call of an earlier leader may reach the
 * cloud at any later time, and must not hit a machine that has been given work since (docs/safety.md,
 * Rentals). */
#ifndef AMBERPIN_RETURN_RECORD_H
#define AMBERPIN_RETURN_RECORD_H

#include "amberpin/base/util.h"

#include <cbor.h>

struct amb_machine;
struct amb_node;

enum amb_scale_in_log_state {
    AMB_SCALE_IN_LOG_UNRECORDED, /* the machines at hand are not on record */
    AMB_SCALE_IN_LOG_WRITING,
    AMB_SCALE_IN_LOG_UNKNOWN, /* a write was refused, or had no answer: what stands there must be read */
    AMB_SCALE_IN_LOG_READING,
    AMB_SCALE_IN_LOG_RECORDED, /* they are; the cloud may be called */
};

struct amb_scale_in_log {
    enum amb_scale_in_log_state state;
    uint64_t revision; /* of the key, as last known; 0: not there */
    amb_ms retry_at;
};

/* The names to be returned (struct amb_cloud) are on record. False: not yet, and the next step is taken. */
bool amb_scale_in_log_ensure_recorded(struct amb_node *node, amb_ms now);
/* Bytes of names that a record holds, each with AMB_SCALE_IN_LOG_NAME_BYTES beside its own. */
enum { AMB_SCALE_IN_LOG_NAME_BYTES = 3 };
size_t amb_scale_in_log_capacity_bytes(const struct amb_node *node);
/* The cloud has answered that they are gone: nothing can hit them any more, and the record may be
 * overwritten. */
void amb_scale_in_log_note_released(struct amb_node *node);
/* A new leader reads this key; it may be any under `b/`. */
void amb_scale_in_log_restore(struct amb_node *node, const char *key, const cbor_item_t *value,
                              uint64_t revision);
/* A machine is new to the leader's table: it may be one that is being returned. */
void amb_scale_in_log_note_machine(struct amb_node *node, struct amb_machine *machine);
void amb_scale_in_log_reset(struct amb_node *node);

#endif
