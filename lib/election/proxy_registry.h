/* The registry of lease proxies on other nodes, as lease_proxy.c uses it. */
#ifndef AMBERPIN_PROXY_REGISTRY_H
#define AMBERPIN_PROXY_REGISTRY_H

#include "amberpin/election/lease_proxy.h"

/* Extends the covered time of every zone that has a proxy key to `now`. */
void proxy_registry_refresh(struct amb_lease_proxy *proxy, amb_ms now);

#endif
