/* Adapter from the library's client of the key-value store to the callbacks of the duty service. */
#ifndef AMBERPIN_DUTY_STORE_ADAPTER_H
#define AMBERPIN_DUTY_STORE_ADAPTER_H

#include "amberpin/duty/service.h"

/* Returns the key-value store functions that a duty service needs, implemented by `store`, which must outlive
 * the service. */
struct amb_duty_kvstore amb_duty_kvstore_from_client(struct amb_store *store);

#endif
