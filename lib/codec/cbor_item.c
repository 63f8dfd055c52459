#include "amberpin/codec/cbor_item.h"

#include "amberpin/base/util.h"
#include "amberpin/codec/cbor_check.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

cbor_item_t *amb_cbor_parse(const void *data, size_t len) {
    /* libcbor allocates memory for the claimed number of items of a list or map before it reads them, and for
     * all open lists and maps together, so what they claim is checked first. */
    struct cbor_load_result result;
    return amb_cbor_is_well_formed(data, len) ? cbor_load(data, len, &result) : NULL;
}

static bool is_text(const cbor_item_t *item) {
    return item && cbor_isa_string(item) && cbor_string_is_definite(item);
}

static bool is_this_text(const cbor_item_t *item, const char *text, size_t len) {
    return is_text(item) && cbor_string_length(item) == len && !memcmp(cbor_string_handle(item), text, len);
}

const cbor_item_t *amb_cbor_map_get(const cbor_item_t *map, const char *key) {
    if (!map || !cbor_isa_map(map)) return NULL;
    const struct cbor_pair *pairs = cbor_map_handle(map);
    size_t key_len = strlen(key);
    for (size_t i = 0; i < cbor_map_size(map); i++)
        if (is_this_text(pairs[i].key, key, key_len)) return pairs[i].value;
    return NULL;
}

bool amb_cbor_copy_string(const cbor_item_t *item, char *out, size_t cap) {
    if (!is_text(item)) return false;
    size_t len = cbor_string_length(item);
    if (len >= cap || (len && memchr(cbor_string_handle(item), 0, len))) return false;
    if (len) memcpy(out, cbor_string_handle(item), len);
    out[len] = 0;
    return true;
}

char *amb_cbor_dup_string(const cbor_item_t *item) {
    if (!is_text(item)) return NULL;
    size_t cap = cbor_string_length(item) + 1;
    char *text = amb_alloc(cap);
    if (amb_cbor_copy_string(item, text, cap)) return text;
    free(text);
    return NULL;
}

bool amb_cbor_equals(const cbor_item_t *item, const char *text) {
    return is_this_text(item, text, strlen(text));
}

bool amb_cbor_get_uint(const cbor_item_t *item, uint64_t *out) {
    if (!item || !cbor_isa_uint(item)) return false;
    *out = cbor_get_int(item);
    return true;
}

bool amb_cbor_get_number(const cbor_item_t *item, double *out) {
    if (!item) return false;
    if (cbor_isa_uint(item))
        *out = (double)cbor_get_int(item);
    else if (cbor_isa_negint(item))
        *out = -1.0 - (double)cbor_get_int(item);
    else if (cbor_isa_float_ctrl(item) && cbor_float_get_width(item) != CBOR_FLOAT_0)
        *out = cbor_float_get_float(item);
    else
        return false;
    return isfinite(*out);
}

/* Whether the item is a simple value (true, false, null and the like). Must be checked before cbor_is_bool,
 * whose assertion would end the process. */
static bool is_simple(const cbor_item_t *item) {
    return cbor_isa_float_ctrl(item) && cbor_float_get_width(item) == CBOR_FLOAT_0;
}

bool amb_cbor_get_bool(const cbor_item_t *item, bool *out) {
    if (!item || !is_simple(item) || !cbor_is_bool(item)) return false;
    *out = cbor_get_bool(item);
    return true;
}

size_t amb_cbor_list_length(const cbor_item_t *list) {
    return list && cbor_isa_array(list) ? cbor_array_size(list) : 0;
}

const cbor_item_t *amb_cbor_list_item(const cbor_item_t *list, size_t index) {
    return cbor_array_handle(list)[index];
}

bool amb_cbor_is_absent(const cbor_item_t *item) {
    return !item || (is_simple(item) && !cbor_is_bool(item));
}
