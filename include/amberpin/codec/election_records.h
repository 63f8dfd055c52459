/* Values of the keys with which controllers elect a leader, announce lease proxies and agree on a format
 * version. Another version of the program may read them, so readers ignore fields that they do not know. */
#ifndef AMBERPIN_ELECTION_RECORDS_H
#define AMBERPIN_ELECTION_RECORDS_H

#include "amberpin/base/util.h"
#include "amberpin/model/model.h"

#include "amberpin/codec/cbor_item.h"

/* The leader key: the leader's member name, and a random number that identifies this claim. */
struct amb_leader_record {
    char member[AMB_NAME_SIZE]; /* empty if it cannot be read */
    uint64_t nonce;             /* 0 if it cannot be read */
};

void amb_leader_record_encode(const char *member, uint64_t nonce, struct amb_buf *value);
void amb_leader_record_decode(const struct amb_cbor_item *value, struct amb_leader_record *record);

/* The key of a lease proxy: the zone whose agents it answers, and the leader's term under which it does
 * so. */
void amb_lease_proxy_record_encode(const char *zone, uint64_t term, struct amb_buf *value);
/* Reads the zone's name; empty if there is none. */
void amb_lease_proxy_record_decode(const struct amb_cbor_item *value, char zone[AMB_NAME_SIZE]);

/* The key that holds the format version in use. */
void amb_format_record_encode(uint64_t format, struct amb_buf *value);
/* Returns false if there is no value or it holds no format version. */
bool amb_format_record_decode(const struct amb_cbor_item *value, uint64_t *format);

#endif
