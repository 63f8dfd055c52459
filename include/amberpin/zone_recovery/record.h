/* The record of zone health and recovery order in the key-value store, from which a new leader continues.
 * Only the leader writes it. */
#ifndef AMBERPIN_ZONE_RECOVERY_RECORD_H
#define AMBERPIN_ZONE_RECOVERY_RECORD_H

#include "amberpin/base/util.h"

#include "amberpin/codec/cbor_item.h"
#include <stdbool.h>

struct amb_node;

enum amb_zone_record_state {
    AMB_ZONE_RECORD_CURRENT, /* the stored record is up to date, or there is nothing to store */
    AMB_ZONE_RECORD_DIRTY,   /* zone health or the recovery order has changed since the last write */
    AMB_ZONE_RECORD_WRITING,
    AMB_ZONE_RECORD_UNCERTAIN, /* a write was refused or not answered: the key must be read */
    AMB_ZONE_RECORD_READING,
};

/* Sets of zones are bit masks by zone index in the catalogue. */
struct amb_zone_record {
    enum amb_zone_record_state state;
    uint64_t revision;                  /* last known revision of the key; 0: the key does not exist */
    amb_ms retry_at;                    /* nothing is written or read before this */
    bool changed_since_write;           /* something has changed since the write in flight was sent */
    uint32_t writing_unavailable_zones; /* lost or returning in the write in flight */
    uint32_t unavailable_zones;         /* lost or returning in any record that may be stored */
};

/* Notes that the health of a zone or the recovery order has changed, so that the record must be written. */
void amb_zone_record_mark_dirty(struct amb_node *node);

/* Writes the record if it is due, or reads it back if the stored content is uncertain. */
void amb_zone_record_tick(struct amb_node *node, amb_ms now);

/* Restores the record on a new leader from a key of the key-value store. Keys other than the record's are
 * ignored, and so are all keys while zone recovery is off. value: borrowed. */
void amb_zone_record_load(struct amb_node *node, const char *key, const struct amb_cbor_item *value,
                          uint64_t revision);

#endif
