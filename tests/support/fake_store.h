/* An in-memory key-value store behind fake_http.h. It answers the transactions and reads that a node has
 * sent, one at a time with the outcome that the test chooses, under limits that the test may lower. */
#ifndef AMBERPIN_TESTS_FAKE_STORE_H
#define AMBERPIN_TESTS_FAKE_STORE_H

#include "amberpin/codec/messages.h"

struct amb_node;

struct fake_store_limits {
    double value_kb;  /* size in JSON form, as in the protocol */
    uint32_t txn_ops; /* changes per transaction; 0: unlimited */
    uint32_t burst;   /* changes until fake_store_refill; 0: unlimited */
};

enum fake_outcome {
    FAKE_APPLIED,      /* applied and answered */
    FAKE_ANSWER_LOST,  /* applied, but not answered */
    FAKE_REQUEST_LOST, /* neither applied nor answered */
    FAKE_APPLIED_LATE, /* not answered; applied by fake_store_serve_late */
};

void fake_store_reset(void);
void fake_store_set_limits(struct fake_store_limits new_limits);
void fake_store_refill(void);
/* Writes a key on behalf of another client; value NULL: removes it. Returns the new revision. */
uint64_t fake_store_put(const char *name, const struct amb_buf *value);
uint64_t fake_store_revision(const char *name); /* 0: no such key */
const struct amb_cbor_item *fake_store_value(const char *name);
size_t fake_store_count(const char *prefix);
const char *fake_store_key(const char *prefix, size_t index); /* in key order; NULL: no more */

/* Serves the oldest open call. False: there is none. */
bool fake_store_serve(enum fake_outcome outcome);
/* Applies the transactions with the outcome FAKE_APPLIED_LATE. Returns how many a guard refused and how many
 * were applied. */
void fake_store_serve_late(size_t *refused, size_t *applied);
/* Number of answers so far with this status. */
size_t fake_store_answers(int status);
/* Size of the largest value stored so far, in bytes of JSON. */
size_t fake_store_largest(void);

/* Restores the node from all records, as a new leader does. */
void fake_store_load_records(struct amb_node *node);

#endif
