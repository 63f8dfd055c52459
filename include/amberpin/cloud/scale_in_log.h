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

enum amb_return_record_state {
    AMB_RETURN_UNRECORDED, /* the machines at hand are not on record */
    AMB_RETURN_WRITING,
    AMB_RETURN_UNSURE, /* a write was refused, or had no answer: what stands there must be read */
    AMB_RETURN_READING,
    AMB_RETURN_RECORDED, /* they are; the cloud may be called */
};

struct amb_return_record {
    enum amb_return_record_state state;
    uint64_t stamp; /* of the key, as last known; 0: not there */
    amb_ms retry_at;
};

/* The names to be returned (struct amb_rental) are on record. False: not yet, and the next step is taken. */
bool amb_return_record_ready(struct amb_node *node, amb_ms now);
/* Bytes of names that a record holds, each with AMB_RETURN_NAME_BYTES beside its own. */
enum { AMB_RETURN_NAME_BYTES = 3 };
size_t amb_return_record_room(const struct amb_node *node);
/* The cloud has answered that they are gone: nothing can hit them any more, and the record may be
 * overwritten. */
void amb_return_record_settled(struct amb_node *node);
/* A new leader reads this key; it may be any under `b/`. */
void amb_return_record_load(struct amb_node *node, const char *key, const cbor_item_t *value, uint64_t stamp);
/* A machine is new to the leader's table: it may be one that is being returned. */
void amb_return_record_machine_known(struct amb_node *node, struct amb_machine *machine);
void amb_return_record_clear(struct amb_node *node);

#endif
