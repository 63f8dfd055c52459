#include "amberpin/codec/scaling_records.h"

#include "fields.h"

#include <stdio.h>
#include <string.h>

static const char SCALE_OUT_PREFIX[] = "b/r/";

enum { SCALE_IN_VERSION = 1 }; /* of the records that this program writes */

/* ---- scale out ---- */

void amb_codec_format_scale_out_key(char key[AMB_SCALE_OUT_KEY_SIZE], const char *request_id) {
    snprintf(key, AMB_SCALE_OUT_KEY_SIZE, "%s%s", SCALE_OUT_PREFIX, request_id);
}

const char *amb_codec_parse_scale_out_key(const char *key) {
    size_t length = strlen(SCALE_OUT_PREFIX);
    return strncmp(key, SCALE_OUT_PREFIX, length) ? NULL : key + length;
}

void amb_codec_encode_scale_out_record(struct amb_buf *out, const struct amb_scale_out_record *record) {
    enum { FIELDS = 4 };
    amb_cbor_write_map(out, FIELDS);
    amb_codec_put_text(out, "type", record->type);
    amb_codec_put_text(out, "zone", record->zone);
    amb_codec_put_bool(out, "spot", record->spot);
    amb_cbor_write_string(out, "count");
    amb_cbor_write_uint(out, record->count);
}

bool amb_codec_decode_scale_out_record(const struct amb_cbor_item *value,
                                       struct amb_scale_out_record *record) {
    uint64_t count;
    memset(record, 0, sizeof *record);
    amb_cbor_copy_string(amb_cbor_map_get(value, "type"), record->type, sizeof record->type);
    amb_cbor_copy_string(amb_cbor_map_get(value, "zone"), record->zone, sizeof record->zone);
    amb_cbor_get_bool(amb_cbor_map_get(value, "spot"), &record->spot);
    if (!amb_cbor_get_uint(amb_cbor_map_get(value, "count"), &count)) return false;
    record->count = (uint32_t)count;
    return true;
}

/* ---- scale in ---- */

void amb_codec_encode_scale_in_record(struct amb_buf *out, const char (*names)[AMB_NAME_SIZE],
                                      uint32_t count) {
    enum { FIELDS = 2 };
    amb_cbor_write_map(out, FIELDS);
    amb_cbor_write_string(out, "form");
    amb_cbor_write_uint(out, SCALE_IN_VERSION);
    amb_cbor_write_string(out, "machines");
    amb_cbor_write_list(out, count);
    for (uint32_t i = 0; i < count; i++) amb_cbor_write_string(out, names[i]);
}

uint32_t amb_codec_decode_scale_in_record(const struct amb_cbor_item *value, char (*names)[AMB_NAME_SIZE],
                                          uint32_t capacity) {
    const struct amb_cbor_item *machines = amb_cbor_map_get(value, "machines");
    struct amb_cbor_cursor position = amb_cbor_list_begin(machines);
    const struct amb_cbor_item *name;
    uint32_t count = 0;
    while (count < capacity && (name = amb_cbor_next(&position)) != NULL)
        if (amb_cbor_copy_string(name, names[count], AMB_NAME_SIZE)) count++;
    return count;
}

bool amb_codec_scale_in_record_equals(const struct amb_cbor_item *value, const char (*names)[AMB_NAME_SIZE],
                                      uint32_t count) {
    const struct amb_cbor_item *machines = amb_cbor_map_get(value, "machines");
    if (amb_cbor_list_length(machines) != count) return false;
    struct amb_cbor_cursor position = amb_cbor_list_begin(machines);
    for (uint32_t i = 0; i < count; i++)
        if (!amb_cbor_equals(amb_cbor_next(&position), names[i])) return false;
    return true;
}
