#include "fields.h"

#include "amberpin/codec/cbor_writer.h"

/* Far above any amount in the protocol. */
static const double AMOUNT_MAX = 1e9;

bool amb_codec_read_enum(const struct amb_codec_enum_name *names, const struct amb_cbor_item *item,
                         int *out) {
    for (; names->text; names++)
        if (amb_cbor_equals(item, names->text)) {
            *out = names->value;
            return true;
        }
    return false;
}

const char *amb_codec_enum_text(const struct amb_codec_enum_name *names, int value) {
    while (names->text && names->value != value) names++;
    return names->text ? names->text : "?";
}

bool amb_codec_is_plain_name(const char *name) {
    if (!*name) return false;
    for (; *name; name++)
        if ((unsigned char)*name < 33 || *name == 127) return false;
    return true;
}

bool amb_codec_read_name(const struct amb_cbor_item *map, const char *key, char out[AMB_NAME_SIZE]) {
    return amb_cbor_copy_string(amb_cbor_map_get(map, key), out, AMB_NAME_SIZE) &&
           amb_codec_is_plain_name(out);
}

bool amb_codec_read_amount(const struct amb_cbor_item *map, const char *key, double *out) {
    return amb_cbor_get_number(amb_cbor_map_get(map, key), out) && *out >= 0 && *out <= AMOUNT_MAX;
}

void amb_codec_put_amount(struct amb_buf *out, const char *key, double amount) {
    amb_cbor_write_string(out, key);
    amb_cbor_write_number(out, amount);
}

void amb_codec_put_text(struct amb_buf *out, const char *key, const char *text) {
    amb_cbor_write_string(out, key);
    amb_cbor_write_string(out, text);
}

void amb_codec_put_bool(struct amb_buf *out, const char *key, bool flag) {
    amb_cbor_write_string(out, key);
    amb_cbor_write_bool(out, flag);
}

void amb_codec_put_uint(struct amb_buf *out, const char *key, uint64_t value) {
    amb_cbor_write_string(out, key);
    amb_cbor_write_uint(out, value);
}
