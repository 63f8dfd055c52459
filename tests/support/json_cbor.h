/* Bodies written in tests as the protocol's page writes them: JSON text, sent as CBOR. */
#ifndef AMBERPIN_TESTS_JSON_CBOR_H
#define AMBERPIN_TESTS_JSON_CBOR_H

#include "amberpin/codec/messages.h"

#include <jansson.h>

/* Appends the value; its texts, whole numbers, other numbers, lists and maps keep their kinds. */
void cbor_from_json(struct amb_buf *out, const json_t *value);
/* The JSON text is formatted as by printf. The caller frees the buffer. */
struct amb_buf cbor_from_text(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* The other way; to be released. */
json_t *json_from_cbor(const cbor_item_t *value);

#endif
