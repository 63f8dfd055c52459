#include "amberpin/codec/fields.h"

#include "amberpin/codec/cbor_writer.h"

bool amb_word_read(const struct amb_word *words, const cbor_item_t *item, int *out) {
    for (; words->text; words++)
        if (amb_cbor_eq(item, words->text)) {
            *out = words->value;
            return true;
        }
    return false;
}

const char *amb_word_text(const struct amb_word *words, int value) {
    while (words->text && words->value != value) words++;
    return words->text ? words->text : "?";
}

bool amb_name_plain(const char *name) {
    if (!*name) return false;
    for (; *name; name++)
        if ((unsigned char)*name < 33 || *name == 127) return false;
    return true;
}

bool amb_field_name(const cbor_item_t *map, const char *key, char out[AMB_NAME_SIZE]) {
    return amb_cbor_str(amb_cbor_get(map, key), out, AMB_NAME_SIZE) && amb_name_plain(out);
}

bool amb_field_amount(const cbor_item_t *map, const char *key, double *out) {
    return amb_cbor_num(amb_cbor_get(map, key), out) && *out >= 0 && *out <= 1e9;
}

void amb_put_amount(struct amb_buf *out, const char *key, double amount) {
    amb_w_str(out, key);
    amb_w_num(out, amount);
}

void amb_put_text(struct amb_buf *out, const char *key, const char *text) {
    amb_w_str(out, key);
    amb_w_str(out, text);
}

void amb_put_flag(struct amb_buf *out, const char *key, bool flag) {
    amb_w_str(out, key);
    amb_w_bool(out, flag);
}
