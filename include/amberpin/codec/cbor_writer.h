/* Writing CBOR straight into a buffer. */
#ifndef AMBERPIN_CBOR_WRITER_H
#define AMBERPIN_CBOR_WRITER_H

#include "amberpin/base/util.h"

void amb_w_map(struct amb_buf *b, size_t pairs);
void amb_w_list(struct amb_buf *b, size_t items);
void amb_w_str(struct amb_buf *b, const char *s);
void amb_w_strn(struct amb_buf *b, const char *s, size_t n);
void amb_w_uint(struct amb_buf *b, uint64_t v);
void amb_w_num(struct amb_buf *b, double v);
void amb_w_bool(struct amb_buf *b, bool v);
void amb_w_null(struct amb_buf *b);

#endif
