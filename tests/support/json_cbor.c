#include "json_cbor.h"

#include "cbor_items.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

static void put_integer(struct amb_buf *out, json_int_t value) {
    if (value >= 0) {
        amb_cbor_write_uint(out, (uint64_t)value);
        return;
    }
    unsigned char head[16];
    amb_buf_append(out, head, cbor_encode_negint((uint64_t)(-1 - value), head, sizeof head));
}

/* NOLINTNEXTLINE(misc-no-recursion): messages of tests have little nesting */
void cbor_from_json(struct amb_buf *out, const json_t *value) {
    const char *key;
    json_t *item;
    size_t i;
    switch (json_typeof(value)) {
    case JSON_OBJECT:
        amb_cbor_write_map(out, json_object_size(value));
        json_object_foreach((json_t *)value, key, item) {
            amb_cbor_write_string(out, key);
            cbor_from_json(out, item);
        }
        break;
    case JSON_ARRAY:
        amb_cbor_write_list(out, json_array_size(value));
        json_array_foreach((json_t *)value, i, item) cbor_from_json(out, item);
        break;
    case JSON_STRING: amb_cbor_write_text(out, json_string_value(value), json_string_length(value)); break;
    case JSON_INTEGER: put_integer(out, json_integer_value(value)); break;
    case JSON_REAL: amb_cbor_write_number(out, json_real_value(value)); break;
    case JSON_TRUE: amb_cbor_write_bool(out, true); break;
    case JSON_FALSE: amb_cbor_write_bool(out, false); break;
    case JSON_NULL: amb_cbor_write_null(out); break;
    }
}

struct amb_buf cbor_from_text(const char *format, ...) {
    char text[4096];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof text, format, args);
    va_end(args);
    json_error_t error;
    json_t *value = json_loads(text, JSON_DECODE_ANY, &error);
    if (!value) {
        fprintf(stderr, "invalid JSON: %s: %s\n", error.text, text);
        abort();
    }
    struct amb_buf out = {0};
    cbor_from_json(&out, value);
    json_decref(value);
    return out;
}

/* NOLINTNEXTLINE(misc-no-recursion): messages of tests have little nesting */
static json_t *json_from_tree(const cbor_item_t *value) {
    if (cbor_isa_uint(value)) return json_integer((json_int_t)cbor_get_int(value));
    if (cbor_isa_negint(value)) return json_integer(-1 - (json_int_t)cbor_get_int(value));
    if (cbor_isa_string(value))
        return json_stringn((const char *)cbor_string_handle(value), cbor_string_length(value));
    if (cbor_isa_map(value)) {
        json_t *map = json_object();
        for (size_t i = 0; i < cbor_map_size(value); i++) {
            const struct cbor_pair *pair = &cbor_map_handle(value)[i];
            json_t *key = json_from_tree(pair->key);
            json_object_set_new(map, json_string_value(key), json_from_tree(pair->value));
            json_decref(key);
        }
        return map;
    }
    if (cbor_isa_array(value)) {
        json_t *list = json_array();
        for (size_t i = 0; i < cbor_array_size(value); i++)
            json_array_append_new(list, json_from_tree(cbor_array_handle(value)[i]));
        return list;
    }
    if (!cbor_float_ctrl_is_ctrl(value)) return json_real(cbor_float_get_float(value));
    return cbor_is_bool(value) ? json_boolean(cbor_get_bool(value)) : json_null();
}

json_t *json_from_cbor(const struct amb_cbor_item *value) {
    cbor_item_t *tree = cbor_tree_of(value);
    json_t *json = json_from_tree(tree);
    cbor_decref(&tree);
    return json;
}
