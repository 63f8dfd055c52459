/* A key-value store in memory behind fake_http.h: it answers the transactions and reads that a node has sent,
 * one at a time and as the test says, under limits that the test may lower. */
#ifndef AMBERPIN_TESTS_FAKE_STORE_H
#define AMBERPIN_TESTS_FAKE_STORE_H

#include "amberpin/codec/messages.h"

struct amb_node;

struct fake_store_limits {
    double value_kb;  /* counted in JSON, as the protocol does */
    uint32_t txn_ops; /* changes a transaction; 0: any number */
    uint32_t burst;   /* changes until fake_state_refill; 0: any number */
};

enum fake_outcome {
    FAKE_APPLIED,      /* and answered */
    FAKE_ANSWER_LOST,  /* carried out, but no answer comes */
    FAKE_REQUEST_LOST, /* never carried out, no answer */
    FAKE_APPLIED_LATE, /* no answer; carried out by fake_state_late */
};

void fake_store_reset(void);
void fake_store_set_limits(struct fake_store_limits new_limits);
void fake_store_refill(void);
/* A key as somebody else writes it; value NULL: removed. Returns the stamp. */
uint64_t fake_store_put(const char *name, const struct amb_buf *value);
uint64_t fake_store_revision(const char *name); /* 0: not there */
const cbor_item_t *fake_store_value(const char *name);
size_t fake_store_count(const char *prefix);
const char *fake_store_key(const char *prefix, size_t index); /* in the order of keys; NULL: no more */

/* The oldest call that is open. False: there is none. */
bool fake_store_serve(enum fake_outcome fate);
/* Carries out what was kept to be carried out late. How many of it were refused by a guard, and how many were
 * not. */
void fake_store_serve_late(size_t *refused, size_t *carried_out);
/* Answers so far with this status. */
size_t fake_store_answers(int status);
/* The largest value ever taken, in bytes of JSON. */
size_t fake_store_largest(void);

/* The node reads all records, as a new leader does. */
void fake_store_load_records(struct amb_node *node);

#endif
