/* A state service in memory behind fake_http.h: it answers the transactions and reads that a node has sent,
 * one at a time and as the test says, under limits that the test may lower. */
#ifndef AMBERPIN_TESTS_FAKE_STATE_H
#define AMBERPIN_TESTS_FAKE_STATE_H

#include "amberpin/codec/messages.h"

struct amb_node;

struct fake_state_limits {
    double value_kb;  /* counted in JSON, as the protocol does */
    uint32_t txn_ops; /* changes a transaction; 0: any number */
    uint32_t burst;   /* changes until fake_state_refill; 0: any number */
};

enum fake_fate {
    FAKE_CARRIED_OUT,      /* and answered */
    FAKE_ANSWER_LOST,      /* carried out, but no answer comes */
    FAKE_REQUEST_LOST,     /* never carried out, no answer */
    FAKE_CARRIED_OUT_LATE, /* no answer; carried out by fake_state_late */
};

void fake_state_reset(void);
void fake_state_limits(struct fake_state_limits to);
void fake_state_refill(void);
/* A key as somebody else writes it; value NULL: removed. Returns the stamp. */
uint64_t fake_state_put(const char *name, const struct amb_buf *value);
uint64_t fake_state_stamp(const char *name); /* 0: not there */
const cbor_item_t *fake_state_value(const char *name);
size_t fake_state_count(const char *prefix);
const char *fake_state_key(const char *prefix, size_t index); /* in the order of keys; NULL: no more */

/* The oldest call that is open. False: there is none. */
bool fake_state_serve(enum fake_fate fate);
/* Carries out what was kept to be carried out late. How many of it were refused by a guard, and how many were
 * not. */
void fake_state_late(size_t *refused, size_t *carried_out);
/* Answers so far with this status. */
size_t fake_state_answers(int status);
/* The largest value ever taken, in bytes of JSON. */
size_t fake_state_largest(void);

/* The node reads all records, as a new leader does. */
void fake_state_load_records(struct amb_node *node);

#endif
