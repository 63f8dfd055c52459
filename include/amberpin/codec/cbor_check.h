/* Checks CBOR that comes from another process before memory is allocated for what it claims to hold. */
#ifndef AMBERPIN_CBOR_CHECK_H
#define AMBERPIN_CBOR_CHECK_H

#include <stdbool.h>
#include <stddef.h>

/* Whether the bytes are exactly one well-formed CBOR item, whose texts are UTF-8 and which is nested at most
 * as deeply as libcbor allows (CBOR_MAX_STACK_SIZE). Uses a fixed amount of stack and no heap, whatever the
 * bytes claim. */
bool amb_cbor_is_well_formed(const void *data, size_t len);

#endif
