/* Appends CBOR to a buffer. */
#ifndef AMBERPIN_CBOR_WRITER_H
#define AMBERPIN_CBOR_WRITER_H

#include "amberpin/base/util.h"

/* Write the head of a map or list. The caller then writes that many pairs (a key, then its value) or
 * items. */
void amb_cbor_write_map(struct amb_buf *buffer, size_t pairs);
void amb_cbor_write_list(struct amb_buf *buffer, size_t items);

void amb_cbor_write_string(struct amb_buf *buffer, const char *text);           /* zero-terminated */
void amb_cbor_write_text(struct amb_buf *buffer, const char *text, size_t len); /* of len bytes */
void amb_cbor_write_uint(struct amb_buf *buffer, uint64_t value);
void amb_cbor_write_number(struct amb_buf *buffer, double value); /* always as a double */
void amb_cbor_write_bool(struct amb_buf *buffer, bool value);
void amb_cbor_write_null(struct amb_buf *buffer);

#endif
