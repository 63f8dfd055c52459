/* Encodes and decodes the records of the leader, of lease proxies and of the format version in use. */
#include "amberpin/codec/election_records.h"

#include "amberpin/codec/cbor_item.h"
#include "amberpin/codec/cbor_writer.h"

void amb_leader_record_encode(const char *member, uint64_t nonce, struct amb_buf *value) {
    amb_cbor_write_map(value, 2);
    amb_cbor_write_string(value, "member");
    amb_cbor_write_string(value, member);
    amb_cbor_write_string(value, "nonce");
    amb_cbor_write_uint(value, nonce);
}

void amb_leader_record_decode(const struct amb_cbor_item *value, struct amb_leader_record *record) {
    *record = (struct amb_leader_record){0};
    amb_cbor_copy_string(amb_cbor_map_get(value, "member"), record->member, sizeof record->member);
    amb_cbor_get_uint(amb_cbor_map_get(value, "nonce"), &record->nonce);
}

void amb_lease_proxy_record_encode(const char *zone, uint64_t term, struct amb_buf *value) {
    amb_cbor_write_map(value, 2);
    amb_cbor_write_string(value, "zone");
    amb_cbor_write_string(value, zone);
    amb_cbor_write_string(value, "term");
    amb_cbor_write_uint(value, term);
}

void amb_lease_proxy_record_decode(const struct amb_cbor_item *value, char zone[AMB_NAME_SIZE]) {
    zone[0] = 0;
    amb_cbor_copy_string(amb_cbor_map_get(value, "zone"), zone, AMB_NAME_SIZE);
}

void amb_format_record_encode(uint64_t format, struct amb_buf *value) {
    amb_cbor_write_map(value, 1);
    amb_cbor_write_string(value, "format");
    amb_cbor_write_uint(value, format);
}

bool amb_format_record_decode(const struct amb_cbor_item *value, uint64_t *format) {
    return amb_cbor_get_uint(amb_cbor_map_get(value, "format"), format);
}
