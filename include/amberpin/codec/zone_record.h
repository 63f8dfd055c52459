/* The record of zone health and recovery order in the state service, as CBOR. Only the leader writes it
 * (lib/zone_recovery/record.c). */
#ifndef AMBERPIN_CODEC_ZONE_RECORD_H
#define AMBERPIN_CODEC_ZONE_RECORD_H

#include "amberpin/model/model.h"

#include "amberpin/codec/cbor_item.h"

enum { AMB_ZONE_RECORD_STEPS_MAX = 32 };

struct amb_zone_record_zone {
    char name[AMB_NAME_SIZE];
    char state[AMB_NAME_SIZE]; /* the name of its health state */
    uint32_t losses;
};

struct amb_zone_record_step {
    char class_name[AMB_NAME_SIZE];
    enum amb_priority priority;
};

struct amb_zone_record_value {
    uint32_t zone_count, step_count;
    struct amb_zone_record_zone zones[AMB_ZONES_MAX];
    struct amb_zone_record_step steps[AMB_ZONE_RECORD_STEPS_MAX]; /* in recovery order */
};

void amb_codec_encode_zone_record(struct amb_buf *out, const struct amb_zone_record_value *value);

/* Omits incomplete zones and steps, and those beyond the limits. Returns false if the item is not such a
 * record, or is of a version that this program does not know. */
bool amb_codec_decode_zone_record(const struct amb_cbor_item *map, struct amb_zone_record_value *value);

#endif
