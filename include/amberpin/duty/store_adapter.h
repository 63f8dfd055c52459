/* Single-holder duties on the library's own client of the key-value store. */
#ifndef AMBERPIN_DUTY_STORE_ADAPTER_H
#define AMBERPIN_DUTY_STORE_ADAPTER_H

#include "amberpin/duty/service.h"

/* The functions that a duty service needs of the key-value store, by way of this store, which must live as
 * long as the service. */
struct amb_duty_kvstore amb_duty_kvstore_from_client(struct amb_store *store);

#endif
