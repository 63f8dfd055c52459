/* Compare-and-swap transaction: operations that the store applies atomically, and only if every compared key
 * has the expected revision. */
#ifndef AMBERPIN_TRANSACTION_H
#define AMBERPIN_TRANSACTION_H

#include "amberpin/base/util.h"

/* Initialize with {0}. amb_store_commit frees the buffers and resets the transaction to empty. */
struct amb_txn {
    struct amb_buf compares, operations; /* encoded items, concatenated */
    uint32_t compare_count, operation_count;
};

/* Makes the commit conditional on the key having this revision; 0: on the key not existing. */
void amb_txn_compare(struct amb_txn *transaction, const char *key, uint64_t revision);

/* Sets a key to a CBOR value, which is copied. The key is removed with the lease; lease_id 0: no lease. */
void amb_txn_put(struct amb_txn *transaction, const char *key, const struct amb_buf *value,
                 uint64_t lease_id);

/* Removes a key if it exists. */
void amb_txn_remove(struct amb_txn *transaction, const char *key);

#endif
