/* Lets tests write message bodies as JSON text, as the protocol's description does, and send them as CBOR. */
#ifndef AMBERPIN_TESTS_JSON_CBOR_H
#define AMBERPIN_TESTS_JSON_CBOR_H

#include "amberpin/codec/messages.h"

#include <jansson.h>

/* Appends the value; strings, integers, floating-point numbers, lists and maps keep their types. */
void cbor_from_json(struct amb_buf *out, const json_t *value);
/* Formats the JSON text as printf does and encodes it. The caller frees the buffer. */
struct amb_buf cbor_from_text(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Converts CBOR to JSON. The caller releases the result. */
json_t *json_from_cbor(const struct amb_cbor_item *value);

#endif
