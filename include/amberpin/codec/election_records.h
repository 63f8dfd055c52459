/* Values of the keys by which controllers elect a leader, announce lease proxies and agree on a format. The
 * values outlive the program that wrote them: readers take what they know and ignore the rest. */
#ifndef AMBERPIN_ELECTION_RECORDS_H
#define AMBERPIN_ELECTION_RECORDS_H

#include "amberpin/base/util.h"
#include "amberpin/model/model.h"

#include <cbor.h>

/* The leader key: who leads, and a random number that tells this claim from all others. */
struct amb_leader_record {
    char member[AMB_NAME_SIZE]; /* empty if it can't be read */
    uint64_t nonce;             /* 0 if it can't be read */
};

void amb_leader_record_encode(const char *member, uint64_t nonce, struct amb_buf *value);
void amb_leader_record_decode(const cbor_item_t *value, struct amb_leader_record *record);

/* The key of a lease proxy: the zone whose agents it answers, and the leader's term that it answers under. */
void amb_lease_proxy_record_encode(const char *zone, uint64_t term, struct amb_buf *value);
/* The zone's name; empty if there is none. */
void amb_lease_proxy_record_decode(const cbor_item_t *value, char zone[AMB_NAME_SIZE]);

/* The key that names the format in use. */
void amb_format_record_encode(uint64_t format, struct amb_buf *value);
/* False: no value, or it names no format. */
bool amb_format_record_decode(const cbor_item_t *value, uint64_t *format);

#endif
