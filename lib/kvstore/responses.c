/* Conversion of answers into typed results. */
#include "amberpin/kvstore/responses.h"

#include "amberpin/codec/kvstore_messages.h"

enum amb_call_result amb_store_call_result(int status) {
    switch (status) {
    case AMB_KVSTORE_STATUS_OK: return AMB_CALL_OK;
    case AMB_KVSTORE_STATUS_NOT_FOUND: return AMB_CALL_NOT_FOUND;
    case AMB_KVSTORE_STATUS_CONFLICT: return AMB_CALL_CONFLICT;
    case AMB_KVSTORE_STATUS_NO_ANSWER: return AMB_CALL_NO_ANSWER;
    default: return AMB_CALL_REFUSED;
    }
}

enum amb_call_result amb_store_lease_result(int status, const struct amb_cbor_item *body,
                                            uint64_t *lease_id) {
    enum amb_call_result result = amb_store_call_result(status);
    if (result == AMB_CALL_OK && !amb_kvstore_decode_lease(body, lease_id)) return AMB_CALL_NO_ANSWER;
    return result;
}

enum amb_call_result amb_store_commit_result(int status, const struct amb_cbor_item *body,
                                             uint64_t *revision) {
    enum amb_call_result result = amb_store_call_result(status);
    if (result == AMB_CALL_OK && !amb_kvstore_decode_commit(body, revision)) return AMB_CALL_NO_ANSWER;
    return result;
}
