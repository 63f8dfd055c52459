/* CBOR bodies. The wire's own names for fields and values live in this module's users only through the
 * W_ names below, so that the rest of the code can speak of jobs, tasks and machines. */
#ifndef AMBERPIN_CODEC_H
#define AMBERPIN_CODEC_H

#include "amberpin/model.h"

#include <cbor.h>

/* Reading. Each getter answers "not there" for null, a missing field or another type. */
cbor_item_t *amb_cbor_parse(const void *data, size_t len); /* NULL: not CBOR, or something after it */
const cbor_item_t *amb_cbor_get(const cbor_item_t *map, const char *key);
bool amb_cbor_str(const cbor_item_t *v, char *out, size_t cap);
bool amb_cbor_eq(const cbor_item_t *v, const char *text);
bool amb_cbor_uint(const cbor_item_t *v, uint64_t *out);
bool amb_cbor_num(const cbor_item_t *v, double *out);
bool amb_cbor_bool(const cbor_item_t *v, bool *out);
size_t amb_cbor_len(const cbor_item_t *list); /* 0 when not a list */
char *amb_cbor_text(const cbor_item_t *v);    /* of any length, to be freed; NULL: not a text */
const cbor_item_t *amb_cbor_at(const cbor_item_t *list, size_t i);

/* Writing, straight into a buffer. */
void amb_w_map(struct amb_buf *b, size_t pairs);
void amb_w_list(struct amb_buf *b, size_t items);
void amb_w_str(struct amb_buf *b, const char *s);
void amb_w_strn(struct amb_buf *b, const char *s, size_t n);
void amb_w_uint(struct amb_buf *b, uint64_t v);
void amb_w_num(struct amb_buf *b, double v);
void amb_w_bool(struct amb_buf *b, bool v);
void amb_w_null(struct amb_buf *b);

/* Messages. */
enum amb_parse { AMB_PARSE_OK, AMB_PARSE_BAD };
enum amb_parse amb_codec_spec(const cbor_item_t *m, struct amb_spec *s);
void amb_codec_put_spec(struct amb_buf *b, const struct amb_spec *s);
/* What a submission says of the jobs that it awaits, each name once; allocated, NULL: none. */
enum amb_parse amb_codec_awaits(const cbor_item_t *m, struct amb_awaits **out);
/* A whole submission. Readers that know nothing of `awaits` read the rest as before. */
void amb_codec_put_job(struct amb_buf *b, const struct amb_spec *s, const struct amb_awaits *awaits);
enum amb_parse amb_codec_report(const cbor_item_t *m, struct amb_report *r); /* r->tasks is allocated */
/* The same from a body's bytes, mostly without a tree of items. */
enum amb_parse amb_codec_read_report(const void *data, size_t len, struct amb_report *out);
/* The part of it that needs none. False: not a report, or one in an encoding that only amb_cbor_parse knows.
 */
bool amb_codec_report_quick(const void *data, size_t len, struct amb_report *out);
void amb_report_free(struct amb_report *r);
bool amb_codec_type(const cbor_item_t *map, struct amb_type *out);
void amb_codec_put_orders(struct amb_buf *b, const struct amb_order *orders, size_t n);
const char *amb_codec_job_state(enum amb_job_state s, bool running);
bool amb_ref_ok(const char *ref);

#endif
