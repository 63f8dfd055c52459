/* The record of zone health and recovery order in the state service, from which a new leader goes on. The
 * leader is its only writer. */
#ifndef AMBERPIN_ZONE_RECOVERY_RECORD_H
#define AMBERPIN_ZONE_RECOVERY_RECORD_H

#include "amberpin/base/util.h"

#include <cbor.h>
#include <stdbool.h>

struct amb_node;

enum amb_zone_record_state {
    AMB_ZONE_RECORD_CURRENT, /* what is stored is up to date, or there is nothing to store */
    AMB_ZONE_RECORD_DIRTY,   /* something has changed */
    AMB_ZONE_RECORD_WRITING,
    AMB_ZONE_RECORD_UNCERTAIN, /* a write was refused or unanswered: what is stored must be read */
    AMB_ZONE_RECORD_READING,
};

/* Sets of zones are bit masks by the zones' indexes in the catalogue. */
struct amb_zone_record {
    enum amb_zone_record_state state;
    uint64_t revision;                  /* of the key, as last known; 0: the key does not exist */
    amb_ms retry_at;                    /* nothing is written or read before */
    bool changed_since_write;           /* since the write in flight was sent */
    uint32_t writing_unavailable_zones; /* lost or returning by the write in flight */
    uint32_t unavailable_zones;         /* lost or returning by what may be stored */
};

/* The health of a zone or the recovery order has changed. */
void amb_zone_record_mark_dirty(struct amb_node *node);

/* Writes the record when it is due, or reads it back when it is not known what is stored. */
void amb_zone_record_tick(struct amb_node *node, amb_ms now);

/* A new leader restores a key of the state service; any other key, and any while zone recovery is off, is
 * ignored. value: borrowed. */
void amb_zone_record_load(struct amb_node *node, const char *key, const cbor_item_t *value,
                          uint64_t revision);

#endif
