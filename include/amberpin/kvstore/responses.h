/* Typed results of the store's answers, for those who act on them. */
#ifndef AMBERPIN_KVSTORE_RESPONSES_H
#define AMBERPIN_KVSTORE_RESPONSES_H

#include "amberpin/base/call_result.h"

#include <cbor.h>
#include <stdint.h>

/* What an HTTP status means for the call. */
enum amb_call_result amb_store_call_result(int status);

/* The same, and what the answer holds. Without the value an answer of success proves nothing about what was
 * done: AMB_CALL_NO_ANSWER. The value is set only with AMB_CALL_OK. */

/* To amb_store_grant_lease. */
enum amb_call_result amb_store_lease_result(int status, const cbor_item_t *body, uint64_t *lease_id);
/* To amb_store_commit: the revision of every key that was put. */
enum amb_call_result amb_store_commit_result(int status, const cbor_item_t *body, uint64_t *revision);

#endif
