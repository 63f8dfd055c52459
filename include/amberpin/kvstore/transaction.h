/* A compare-and-swap transaction: operations that the store carries out together, and only if every key that
 * is compared has the revision expected. */
#ifndef AMBERPIN_TRANSACTION_H
#define AMBERPIN_TRANSACTION_H

#include "amberpin/base/util.h"

/* Start from {0}. Its memory goes to the store with amb_store_commit, which empties it. */
struct amb_txn {
    struct amb_buf compares, operations; /* encoded one after another */
    uint32_t compare_count, operation_count;
};

/* Commits only if the key has this revision; 0: if there is no such key. */
void amb_txn_compare(struct amb_txn *transaction, const char *key, uint64_t revision);

/* Sets a key to a value of CBOR, which is copied; it is removed with the lease. lease_id 0: on no lease. */
void amb_txn_put(struct amb_txn *transaction, const char *key, const struct amb_buf *value,
                 uint64_t lease_id);

/* Removes a key if it exists. */
void amb_txn_remove(struct amb_txn *transaction, const char *key);

#endif
