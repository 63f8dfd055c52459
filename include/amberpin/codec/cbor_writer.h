/* Writing CBOR straight into a buffer. */
#ifndef AMBERPIN_CBOR_WRITER_H
#define AMBERPIN_CBOR_WRITER_H

#include "amberpin/base/util.h"

void amb_w_map(struct amb_buf *buffer, size_t pairs);
void amb_w_list(struct amb_buf *buffer, size_t items);
void amb_w_str(struct amb_buf *buffer, const char *s);
void amb_w_strn(struct amb_buf *buffer, const char *s, size_t n);
void amb_w_uint(struct amb_buf *buffer, uint64_t v);
void amb_w_num(struct amb_buf *buffer, double v);
void amb_w_bool(struct amb_buf *buffer, bool v);
void amb_w_null(struct amb_buf *buffer);

#endif
