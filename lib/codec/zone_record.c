#include "amberpin/codec/zone_record.h"

#include "amberpin/codec/cbor_item.h"
#include "amberpin/codec/cbor_writer.h"
#include "fields.h"

#include <string.h>

enum { RECORD_VERSION = 1 /* the version that this program writes and reads */ };

/* ---- encoding ---- */

static void encode_zone(struct amb_buf *out, const struct amb_zone_record_zone *zone) {
    amb_cbor_write_map(out, 3);
    amb_codec_put_text(out, "zone", zone->name);
    amb_codec_put_text(out, "verdict", zone->state);
    amb_cbor_write_string(out, "losses");
    amb_cbor_write_uint(out, zone->losses);
}

static void encode_step(struct amb_buf *out, const struct amb_zone_record_step *step) {
    amb_cbor_write_map(out, 2);
    amb_codec_put_text(out, "class", step->class_name);
    amb_cbor_write_string(out, "priority");
    amb_cbor_write_uint(out, step->priority);
}

void amb_codec_encode_zone_record(struct amb_buf *out, const struct amb_zone_record_value *value) {
    amb_cbor_write_map(out, 3);
    amb_cbor_write_string(out, "form");
    amb_cbor_write_uint(out, RECORD_VERSION);
    amb_cbor_write_string(out, "zones");
    amb_cbor_write_list(out, value->zone_count);
    for (uint32_t i = 0; i < value->zone_count; i++) encode_zone(out, &value->zones[i]);
    amb_cbor_write_string(out, "steps");
    amb_cbor_write_list(out, value->step_count);
    for (uint32_t i = 0; i < value->step_count; i++) encode_step(out, &value->steps[i]);
}

/* ---- decoding ---- */

static bool decode_zone(const struct amb_cbor_item *item, struct amb_zone_record_zone *zone) {
    uint64_t losses;
    if (!amb_cbor_copy_string(amb_cbor_map_get(item, "zone"), zone->name, sizeof zone->name) ||
        !amb_cbor_copy_string(amb_cbor_map_get(item, "verdict"), zone->state, sizeof zone->state) ||
        !amb_cbor_get_uint(amb_cbor_map_get(item, "losses"), &losses))
        return false;
    zone->losses = losses < UINT32_MAX ? (uint32_t)losses : UINT32_MAX;
    return true;
}

static bool decode_step(const struct amb_cbor_item *item, struct amb_zone_record_step *step) {
    uint64_t priority;
    if (!amb_cbor_copy_string(amb_cbor_map_get(item, "class"), step->class_name, sizeof step->class_name) ||
        !amb_cbor_get_uint(amb_cbor_map_get(item, "priority"), &priority) ||
        priority > AMB_PRIORITY_PRODUCTION)
        return false;
    step->priority = (enum amb_priority)priority;
    return true;
}

static void decode_zones(const struct amb_cbor_item *list, struct amb_zone_record_value *value) {
    struct amb_cbor_cursor position = amb_cbor_list_begin(list);
    const struct amb_cbor_item *zone;
    while (value->zone_count < AMB_ZONES_MAX && (zone = amb_cbor_next(&position)) != NULL)
        value->zone_count += decode_zone(zone, &value->zones[value->zone_count]);
}

static void decode_steps(const struct amb_cbor_item *list, struct amb_zone_record_value *value) {
    struct amb_cbor_cursor position = amb_cbor_list_begin(list);
    const struct amb_cbor_item *step;
    while (value->step_count < AMB_ZONE_RECORD_STEPS_MAX && (step = amb_cbor_next(&position)) != NULL)
        value->step_count += decode_step(step, &value->steps[value->step_count]);
}

bool amb_codec_decode_zone_record(const struct amb_cbor_item *map, struct amb_zone_record_value *value) {
    uint64_t version = 0;
    memset(value, 0, sizeof *value);
    if (!amb_cbor_get_uint(amb_cbor_map_get(map, "form"), &version) || version != RECORD_VERSION)
        return false;
    decode_zones(amb_cbor_map_get(map, "zones"), value);
    decode_steps(amb_cbor_map_get(map, "steps"), value);
    return true;
}
