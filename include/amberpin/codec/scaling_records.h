/* The leader's durable records of scale out and scale in: `b/r/ID`, a request for machines, and `b/returns`,
 * the machines that are being released. Their keys and fields are spelled here and in scaling_records.c only.
 */
#ifndef AMBERPIN_CODEC_SCALING_RECORDS_H
#define AMBERPIN_CODEC_SCALING_RECORDS_H

#include "amberpin/codec/cbor_item.h"
#include "amberpin/codec/cbor_writer.h"
#include "amberpin/model/model.h"

/* ---- scale out ---- */

enum { AMB_SCALE_OUT_KEY_SIZE = 80 }; /* bytes of a request's key, with the terminating zero */

/* A request for machines of one kind. */
struct amb_scale_out_record {
    char type[AMB_NAME_SIZE], zone[AMB_NAME_SIZE]; /* names of the catalogue; empty: could not be read */
    bool spot;
    uint32_t count;
};

void amb_codec_format_scale_out_key(char key[AMB_SCALE_OUT_KEY_SIZE], const char *request_id);
/* The request's id, within the key; NULL: the key is of something else. */
const char *amb_codec_parse_scale_out_key(const char *key);
void amb_codec_encode_scale_out_record(struct amb_buf *out, const struct amb_scale_out_record *record);
/* Reads what can be read. False: there is no count, and the record can't be used. */
bool amb_codec_decode_scale_out_record(const cbor_item_t *value, struct amb_scale_out_record *record);

/* ---- scale in ---- */

#define AMB_SCALE_IN_KEY "b/returns"

/* Bytes of a record around the names, and around each name. */
enum { AMB_SCALE_IN_ENVELOPE_BYTES = 64, AMB_SCALE_IN_NAME_BYTES = 3 };

void amb_codec_encode_scale_in_record(struct amb_buf *out, const char (*names)[AMB_NAME_SIZE],
                                      uint32_t count);
/* Copies the names that can be read, at most `capacity`; their number. */
uint32_t amb_codec_decode_scale_in_record(const cbor_item_t *value, char (*names)[AMB_NAME_SIZE],
                                          uint32_t capacity);
/* Does the record name exactly these machines, in this order? */
bool amb_codec_scale_in_record_equals(const cbor_item_t *value, const char (*names)[AMB_NAME_SIZE],
                                      uint32_t count);

#endif
