/* Converts the store's answers into typed results. */
#ifndef AMBERPIN_KVSTORE_RESPONSES_H
#define AMBERPIN_KVSTORE_RESPONSES_H

#include "amberpin/base/call_result.h"

#include "amberpin/codec/cbor_item.h"
#include <stdint.h>

/* The result that an HTTP status means for any call. */
enum amb_call_result amb_store_call_result(int status);

/* The following also decode a value from the answer, which is set only with AMB_CALL_OK. A successful status
 * without the value proves nothing about what was done, so the result is AMB_CALL_NO_ANSWER. */

/* Answer to amb_store_grant_lease. */
enum amb_call_result amb_store_lease_result(int status, const struct amb_cbor_item *body, uint64_t *lease_id);
/* Answer to amb_store_commit. `revision`: the new revision of every key that was put. */
enum amb_call_result amb_store_commit_result(int status, const struct amb_cbor_item *body,
                                             uint64_t *revision);

#endif
