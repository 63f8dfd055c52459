/* The leader's durable records of scale out and scale in: `b/r/ID` is a request for machines, and `b/returns`
 * names the machines that are being released. Their keys and fields appear only here and in
 * scaling_records.c. */
#ifndef AMBERPIN_CODEC_SCALING_RECORDS_H
#define AMBERPIN_CODEC_SCALING_RECORDS_H

#include "amberpin/codec/cbor_item.h"
#include "amberpin/codec/cbor_writer.h"
#include "amberpin/model/model.h"

/* ---- scale out ---- */

enum { AMB_SCALE_OUT_KEY_SIZE = 80 }; /* bytes of a request's key, including the terminating zero */

/* A request for machines of one type in one zone. */
struct amb_scale_out_record {
    char type[AMB_NAME_SIZE], zone[AMB_NAME_SIZE]; /* names in the catalogue; empty: could not be read */
    bool spot;
    uint32_t count;
};

void amb_codec_format_scale_out_key(char key[AMB_SCALE_OUT_KEY_SIZE], const char *request_id);
/* Returns the request's id, a part of the key. NULL: the key is not that of a request. */
const char *amb_codec_parse_scale_out_key(const char *key);
void amb_codec_encode_scale_out_record(struct amb_buf *out, const struct amb_scale_out_record *record);
/* Decodes the fields that can be read. Returns false if there is no count; the record is unusable then. */
bool amb_codec_decode_scale_out_record(const struct amb_cbor_item *value,
                                       struct amb_scale_out_record *record);

/* ---- scale in ---- */

#define AMB_SCALE_IN_KEY "b/returns"

/* Overhead of a record in bytes: for the whole record, and for each name. */
enum { AMB_SCALE_IN_ENVELOPE_BYTES = 64, AMB_SCALE_IN_NAME_BYTES = 3 };

void amb_codec_encode_scale_in_record(struct amb_buf *out, const char (*names)[AMB_NAME_SIZE],
                                      uint32_t count);
/* Copies the names that can be read, at most `capacity`, and returns their number. */
uint32_t amb_codec_decode_scale_in_record(const struct amb_cbor_item *value, char (*names)[AMB_NAME_SIZE],
                                          uint32_t capacity);
/* Whether the record names exactly these machines, in this order. */
bool amb_codec_scale_in_record_equals(const struct amb_cbor_item *value, const char (*names)[AMB_NAME_SIZE],
                                      uint32_t count);

#endif
