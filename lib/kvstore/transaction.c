/* Transaction builder. Each compare and operation is encoded as it is added. */
#include "amberpin/kvstore/transaction.h"

#include "amberpin/codec/kvstore_messages.h"

void amb_txn_compare(struct amb_txn *transaction, const char *key, uint64_t revision) {
    amb_kvstore_encode_compare(key, revision, &transaction->compares);
    transaction->compare_count++;
}

void amb_txn_put(struct amb_txn *transaction, const char *key, const struct amb_buf *value,
                 uint64_t lease_id) {
    amb_kvstore_encode_put(key, value, lease_id, &transaction->operations);
    transaction->operation_count++;
}

void amb_txn_remove(struct amb_txn *transaction, const char *key) {
    amb_kvstore_encode_remove(key, &transaction->operations);
    transaction->operation_count++;
}
